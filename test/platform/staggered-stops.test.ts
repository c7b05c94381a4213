import assert from 'node:assert/strict'
import { test } from 'node:test'
import { echo, pause, timedSend, withServer } from './stopping.ts'

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
