import assert from 'node:assert/strict'
import { test } from 'node:test'
import { eventually } from './machines.ts'
import type { AppServer } from './machines.ts'
import { echo, graceMs, pause, timedSend, withServer } from './stopping.ts'

/** Part of the time of a stop in which a server may still be working on a request that is given up, in ms. */
const lastSixthMs = graceMs / 6

/** Answers each request `workMs` after it reached the server. */
function workFor (server: AppServer, workMs: number): void {
  server.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), workMs))
}

// Late requests were begun and given up with the process.
test('a request read long after SIGTERM is refused at once or answered, never given up', () => withServer(async ({ machines, server }) => {
  workFor(server, 4500)
  const early = timedSend(machines, 'early')
  await eventually(async () => server.received.length >= 2, 1000)
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await pause(3500)
  workFor(server, 3000)
  const late = await timedSend(machines, 'late')
  assert.equal(late.status, 503, late.text)
  assert.ok(late.tookMs < 1000, `${late.tookMs} ms`)
  assert.ok(Number(late.headers['retry-after']) > 0)
  assert.equal(server.received.some(({ headers }) => headers['x-dogwoodspring-request-id'] === 'late'), false, 'a refused request has not run')
  assert.equal((await early).text, 'whole answer')
  assert.equal(await ended, 0)
}))

for (const stopping of [1, 2]) {
  const place = stopping === 1 ? 'at the node of its caller' : 'at the node of its server'
  // The stop ended over a second before SIGKILL was due.
  test(`a request is not given up before the last sixth of the time that a stop has, ${place}`, () => withServer(async ({ machines, server }) => {
    let finishWork = () => {}
    server.respondWith((request, response) => {
      finishWork = () => void response.writeHead(200, echo(request)).end('whole answer')
    })
    const reply = timedSend(machines, 'long')
    await eventually(async () => server.received.length >= 2, 1000)
    const ended = machines.kill(`sidecar-${stopping}`, 'SIGTERM')
    await pause(graceMs - lastSixthMs)
    finishWork()
    assert.equal((await reply).text, 'whole answer')
    assert.equal(await ended, 0)
  }))
}

// Connections were closed without an answer.
test('a request given up at the end of a stop gets a final answer before SIGKILL is due', () => withServer(async ({ machines, server }) => {
  workFor(server, graceMs + 2000)
  const running = timedSend(machines, 'endless')
  await eventually(async () => server.received.length >= 2, 1000)
  const startedAt = performance.now()
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  const reply = await running
  assert.equal(reply.status, 504, 'an answer that does not claim that the request has not run')
  assert.ok(performance.now() - startedAt < graceMs)
  assert.equal(await ended, 0)
  assert.ok(performance.now() - startedAt < graceMs)
}))
