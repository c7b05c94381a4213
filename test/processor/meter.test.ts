import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { systemClock } from '../../src/core/clock/index.ts'
import type { Log } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createProcessorMeter, loopBusyMs } from '../../src/core/processor/index.ts'

interface Line { utilization: number, latenessMs: number, counts: Record<string, number> }

function createLog () {
  const lines: Line[] = []
  const log = { info: (_: string, details: Line) => void lines.push(details), warn () {}, error () {} } as unknown as Log
  return { lines, log }
}

/** Keeps the event loop busy for a time. */
function work (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until) Math.sqrt(until)
}

test('a busy event loop shows in the reading, in metrics and in one line a second with what was done meanwhile', async () => {
  const { lines, log } = createLog()
  const metrics = createMetrics()
  let runs = 3
  const meter = createProcessorMeter({ node: 'n', readBusyMs: loopBusyMs, readCounts: () => ({ good: runs, failed: 0 }), clock: systemClock, log, metrics })
  const before = meter.read()
  for (let turn = 0; turn < 5; turn++) {
    work(300)
    runs += 2
    await pause(1)
  }
  const after = meter.read()
  assert.ok(after.busyMs - before.busyMs >= 1400)
  assert.equal(lines.length, 1)
  assert.ok(lines[0].utilization >= 0.8)
  assert.ok(lines[0].latenessMs >= 150)
  assert.deepEqual(Object.keys(lines[0].counts), ['good'])
  assert.match(metrics.expose(), /event_loop_lateness_seconds/)
  meter.close()
})

test('an event loop that is late at the moment says so before its next check', async () => {
  const { log } = createLog()
  const meter = createProcessorMeter({ node: 'n', readBusyMs: loopBusyMs, readCounts: () => ({}), clock: systemClock, log, metrics: createMetrics() })
  await pause(1)
  work(400)
  assert.ok(meter.read().latenessMs >= 250)
  meter.close()
})

test('an idle event loop writes no line', async () => {
  const { lines, log } = createLog()
  const meter = createProcessorMeter({ node: 'n', readBusyMs: () => 0, readCounts: () => ({}), clock: systemClock, log, metrics: createMetrics() })
  await pause(1300)
  assert.deepEqual(lines, [])
  meter.close()
})
