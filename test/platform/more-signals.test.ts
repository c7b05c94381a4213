import assert from 'node:assert/strict'
import { test } from 'node:test'
import { configuration, createMachines, eventually } from './machines.ts'
import type { AppServer, Machines } from './machines.ts'
import { echo, graceMs, pause, stopEndsMs, timedSend, withServer } from './stopping.ts'

/** Time from SIGTERM to the answer of a request that outlasts the time in which everything is served, in ms. */
const longWorkMs = 4500

/** Answers each request `workMs` after it reached the server. */
function workFor (server: AppServer, workMs: number): void {
  server.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), workMs))
}

/** Sends a signal to a process; to none when it has ended. */
function signal (machines: Machines, name: string, sent: NodeJS.Signals): void {
  if (machines.isRunning(name)) process.kill(machines.pidOf(name), sent)
}

/** Sends signals to a process, one every `everyMs`, until it has ended. */
async function signalUntilEnded (machines: Machines, name: string, signals: readonly NodeJS.Signals[], everyMs: number): Promise<number | string> {
  let next = 0
  const timer = setInterval(() => signal(machines, name, signals[next++ % signals.length]), everyMs)
  try {
    return await machines.endOf(name)
  } finally {
    clearInterval(timer)
  }
}

interface Series {
  text: string
  signals: NodeJS.Signals[]
  /** Times after the first SIGTERM at which the signals are sent, in ms. */
  atMs: number[]
}

const series: Series[] = [
  { text: 'a second SIGTERM at once', signals: ['SIGTERM'], atMs: [0] },
  { text: 'SIGHUP and a second SIGTERM', signals: ['SIGHUP', 'SIGTERM', 'SIGHUP'], atMs: [100, 1000, 2000] },
  { text: 'signals after callers are no longer served', signals: ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGHUP'], atMs: [2700, 3000, 3500, 4000] }
]

for (const [sidecar, place] of [[1, 'of its caller'], [2, 'of its server']] as const) {
  for (const { text, signals, atMs } of series) {
    test(`${text} during a stop of the node ${place} cut no request and change no end`, () => withServer(async ({ machines, server }) => {
      const name = `sidecar-${sidecar}`
      workFor(server, longWorkMs)
      const before = server.received.length
      const reply = timedSend(machines, 'long')
      await eventually(async () => server.received.length > before, 2000)
      const startedAt = performance.now()
      const ended = machines.kill(name, 'SIGTERM')
      for (const [index, sent] of signals.entries()) {
        await pause(startedAt + atMs[index] - performance.now())
        signal(machines, name, sent)
      }
      assert.equal((await reply).text, 'whole answer', machines.logOf(name).slice(-1500))
      assert.equal(await ended, 0, machines.logOf(name).slice(-1500))
      assert.ok(performance.now() - startedAt < graceMs)
    }))
  }
}

test('a second SIGTERM neither shortens nor lengthens the time of a request that outlasts its stop', () => withServer(async ({ machines, server }) => {
  server.respondWith(() => {})
  const before = server.received.length
  const reply = timedSend(machines, 'endless')
  await eventually(async () => server.received.length > before, 2000)
  const startedAt = performance.now()
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await pause(3000)
  signal(machines, 'sidecar-1', 'SIGTERM')
  assert.equal((await reply).status, 504)
  const answeredMs = performance.now() - startedAt
  assert.ok(answeredMs > stopEndsMs - 100 && answeredMs < graceMs, `${answeredMs} ms after the first SIGTERM`)
  assert.equal(await ended, 0)
}))

// The last steps of a stop are short: only a dense series of signals meets them.
for (const signals of [['SIGTERM'], ['SIGHUP'], ['SIGHUP', 'SIGTERM', 'SIGINT']] as const) {
  test(`${signals.join(', ')} every few milliseconds of a stop do not keep a sidecar from ending with 0 in time`, () => withServer(async ({ machines, server }) => {
    workFor(server, 1500)
    const before = server.received.length
    const reply = timedSend(machines, 'long')
    await eventually(async () => server.received.length > before, 2000)
    const startedAt = performance.now()
    signal(machines, 'sidecar-1', 'SIGTERM')
    const end = signalUntilEnded(machines, 'sidecar-1', signals, 5)
    assert.equal((await reply).text, 'whole answer')
    assert.equal(await end, 0, machines.logOf('sidecar-1').slice(-1500))
    assert.ok(performance.now() - startedAt < graceMs)
  }))
}

test('a round of SIGTERM to a node in use and to one that has just started cuts nothing and ends both with 0', () => withServer(async ({ machines, server }) => {
  workFor(server, 3000)
  const before = server.received.length
  const reply = timedSend(machines, 'long')
  await eventually(async () => server.received.length > before, 2000)
  await machines.startSidecar(3, 'third')
  await eventually(async () => machines.logOf('sidecar-3').includes('"node started"'), 10_000)
  const ends = Promise.all([machines.kill('sidecar-3', 'SIGTERM'), machines.kill('sidecar-1', 'SIGTERM')])
  assert.equal((await reply).text, 'whole answer')
  assert.deepEqual(await ends, [0, 0], machines.logOf('sidecar-3').slice(-1500))
}))

test('signals during the stop of a control instance cut no order, and it ends with 0', async () => {
  const machines = await createMachines()
  try {
    for (const number of [1, 2, 3]) machines.startCore(number, true)
    await eventually(async () => (await machines.replaceConfiguration(1, '0', configuration(3, 'shop'))).status === 200)
    const orders = [1, 2, 3, 4, 5].map(() => machines.replaceConfiguration(1, 'r3', configuration(4, 'shop')))
    signal(machines, 'core-1', 'SIGTERM')
    const end = signalUntilEnded(machines, 'core-1', ['SIGHUP', 'SIGTERM'], 3)
    const statuses = (await Promise.all(orders)).map(({ status }) => status)
    assert.equal(await end, 0, machines.logOf('core-1').slice(-1500))
    assert.match(machines.logOf('core-1'), /instance stopped/, 'all steps of the stop are done')
    if (!statuses.includes(200)) return
    await eventually(async () => /"version":"r4"/.test((await machines.readConfiguration(2)).text))
  } finally {
    await machines.stop()
  }
})
