import assert from 'node:assert/strict'
import { test } from 'node:test'
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
test('a short call of a request in progress is not refused by the stop that waits for that request', () => withServer(async ({ machines, ownServer, server }) => {
  server.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), 20))
  ownServer.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), 4200))
  const sendCall = (id: string) => machines.sendFromMachine(1, '/open/x', { 'x-dogwoodspring-request-id': id, 'x-dogwoodspring-key': '', ...patience })
  for (let number = 0; number < 20; number++) assert.equal((await sendCall(`first-${number}`)).status, 200)
  const long = machines.send(1, '/own/x', { ...patience, 'x-dogwoodspring-request-id': 'long' })
  await eventually(async () => ownServer.received.length > 0, 1000)
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await pause(2900)
  const late = await sendCall('late')
  assert.equal(late.status, 200, late.text)
  assert.equal((await long).text, 'whole answer')
  assert.equal(await ended, 0)
}))

// A caller on the machine of a server, without a key, looks like that server.
test('a late request without a key is not taken for a call of a server that works on nothing', () => withServer(async ({ machines }) => {
  const sendCall = (id: string) => machines.sendFromMachine(1, '/open/x', { 'x-dogwoodspring-request-id': id, 'x-dogwoodspring-key': '', ...patience })
  for (let number = 0; number < 20; number++) assert.equal((await sendCall(`first-${number}`)).status, 200)
  const slow = machines.send(1, '/open/x', { 'x-dogwoodspring-request-id': 'slow', ...patience })
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await slow
  await pause(2700)
  const late = await sendCall('late')
  assert.ok(late.status === 503 || late.status === 0, `${late.status}`)
  assert.equal(await ended, 0)
}))
