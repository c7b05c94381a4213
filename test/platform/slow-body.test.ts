import assert from 'node:assert/strict'
import { test } from 'node:test'
import { pause, rawConnection, withServer } from './stopping.ts'

/** Time after the timeout of a route within which each request has a final answer, in ms. */
const answerSlackMs = 500

test('a request whose body does not arrive is answered at the timeout of its route', { timeout: 60_000 }, () => withServer(async ({ machines, server }) => {
  const before = server.received.length
  const caller = await rawConnection(`${machines.sidecarIp(1)}:${machines.outboundPort}`)
  caller.read()
  const head = ['POST /p/x HTTP/1.1', 'host: a.example', 'x-dogwoodspring-request-id: slow-1', 'x-dogwoodspring-deadline-ms: 12000', 'x-dogwoodspring-key: secret', 'content-length: 100000']
  caller.socket.write(`${head.join('\r\n')}\r\n\r\n${'x'.repeat(50_000)}`)
  await pause(800)
  assert.equal(caller.state().text, '')
  await pause(200 + answerSlackMs)
  assert.match(caller.state().text, /^HTTP\/1\.1 503 .*retry-after/s)
  assert.equal(server.received.length, before)
}, 'upload', '1s'))
