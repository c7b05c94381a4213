import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { IncomingMessage } from 'node:http'
import { eventually } from './machines.ts'
import { echo, patience, pause, timedSend, withServer } from './stopping.ts'

// The node of its server gave it up although the node of its caller was not stopping, or stopped later.
test('a call that outlasts the stop of its server\'s node is refused at once as not run, not cut', () => withServer(async ({ machines, server }) => {
  let workMs = 3000
  server.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), workMs))
  assert.equal((await timedSend(machines, 'first')).text, 'whole answer')
  const ended = machines.kill('sidecar-2', 'SIGTERM')
  await pause(1500)
  workMs = 4500
  const late = await timedSend(machines, 'late')
  const ran = server.received.some(({ headers }) => headers['x-dogwoodspring-request-id'] === 'late')
  assert.deepEqual({ status: late.status, ran }, { status: 503, ran: false }, late.text)
  assert.ok(late.tookMs < 1000, `${late.tookMs} ms`)
  assert.ok(Number(late.headers['retry-after']) > 0)
  assert.equal(await ended, 0)
}))

// A request in progress failed with its call, though both had time.
test('a short call of a request in progress is not refused by the stop that waits for that request', () => withServer(async ({ machines, server }) => {
  const isCall = (request: IncomingMessage) => request.url?.startsWith('/open/') === true
  server.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), isCall(request) ? 20 : 4200))
  const sendCall = (id: string) => machines.sendFromMachine(1, '/open/x', { 'x-dogwoodspring-request-id': id, 'x-dogwoodspring-key': '', ...patience })
  assert.equal((await sendCall('first')).status, 200)
  const long = timedSend(machines, 'long')
  await eventually(async () => server.received.some(({ headers }) => headers['x-dogwoodspring-request-id'] === 'long'), 1000)
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await pause(3000)
  const late = await sendCall('late')
  assert.equal(late.status, 200, late.text)
  assert.equal((await long).text, 'whole answer')
  assert.equal(await ended, 0)
}))
