import assert from 'node:assert/strict'
import { test } from 'node:test'
import { configuration, createMachines, eventually } from './machines.ts'
import type { AppServer, Machines, Reply } from './machines.ts'

/** Time from SIGTERM to SIGKILL, and the part of it in which a server may still be working on a request that is given up, in ms. */
const graceMs = 6000
const lastSixthMs = graceMs / 6

const patience = { 'x-dogwoodspring-deadline-ms': '12000' }

/** A caller's machine, and the server of another machine that its requests reach. */
interface Setting {
  machines: Machines
  server: AppServer
  /** Answers each request `workMs` after it reached the server, unless its connection has closed by then. */
  workFor: (workMs: number) => void
}

async function withServer (use: (setting: Setting) => Promise<void>): Promise<void> {
  const machines = await createMachines()
  try {
    for (const number of [1, 2, 3]) machines.startCore(number, true)
    const caller = await machines.startSidecar(1, 'other')
    const server = await machines.startSidecar(2, 'shop')
    await eventually(async () => await caller.sendHeartbeat('ready') === 200 && await server.sendHeartbeat('ready') === 200)
    const [listener] = (configuration(3, 'shop') as { listeners: Array<{ host: string, routeRules: Array<{ action: object }> }> }).listeners
    const [rule] = listener.routeRules
    const listeners = [{ ...listener, routeRules: [{ ...rule, action: { ...rule.action, timeout: '9s' } }] }]
    await eventually(async () => (await machines.replaceConfiguration(1, '0', { ...configuration(3, 'shop'), listeners })).status === 200)
    await eventually(async () => (await machines.send(1, '/p/x', patience)).status === 200)
    const beats = setInterval(() => void server.sendHeartbeat('ready'), 1500)
    const workFor = (workMs: number) => server.respondWith((request, response) => {
      const headers = { 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] }
      setTimeout(() => response.writeHead(200, headers).end('whole answer'), workMs)
    })
    await use({ machines, server, workFor }).finally(() => clearInterval(beats))
  } finally {
    await machines.stop()
  }
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Sends a request and returns its reply with the time that it took in ms. */
async function timedSend (machines: Machines, id: string): Promise<Reply & { tookMs: number }> {
  const startedAt = performance.now()
  const reply = await machines.send(1, '/p/x', { ...patience, 'x-dogwoodspring-request-id': id })
  return { ...reply, tookMs: performance.now() - startedAt }
}

// Late requests were begun and given up with the process.
test('a request read long after SIGTERM is refused at once or answered, never given up', () => withServer(async ({ machines, server, workFor }) => {
  workFor(4500)
  const early = timedSend(machines, 'early')
  await eventually(async () => server.received.length >= 2, 1000)
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await pause(3500)
  workFor(3000)
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
      const headers = { 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] }
      finishWork = () => void response.writeHead(200, headers).end('whole answer')
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
test('a request given up at the end of a stop gets a final answer before SIGKILL is due', () => withServer(async ({ machines, server, workFor }) => {
  workFor(graceMs + 2000)
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
