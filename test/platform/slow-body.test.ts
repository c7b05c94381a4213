import assert from 'node:assert/strict'
import { test } from 'node:test'
import { maxInProgress } from '../../src/core/node/pipeline.ts'
import { get, pause, rawConnection, withServer } from './stopping.ts'

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

test('a request that waits behind slow ones of its connection is answered as soon as they are', { timeout: 60_000 }, () => withServer(async ({ machines, server }) => {
  server.respondWith(() => {})
  const caller = await rawConnection(`${machines.sidecarIp(1)}:${machines.outboundPort}`)
  caller.read()
  caller.socket.write(Array.from({ length: maxInProgress + 1 }, (_, index) => get(`line-${index}`, 12_000)).join(''))
  await pause(1000 + answerSlackMs)
  assert.equal(caller.state().text.match(/HTTP\/1\.1 \d/g)?.length, maxInProgress + 1)
}, 'idempotent', '1s'))
