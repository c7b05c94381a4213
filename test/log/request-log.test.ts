import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { createLog, createRequestLog, droppedEvent, requestEvents } from '../../src/core/log/index.ts'
import type { EventFields, LineWriter } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'

const refusal: EventFields<'requestRefused'> = {
  code: 'over_rate', reason: 'workspace w is over its rate', method: 'GET', host: 'h', route: 'r', workspace: 'w', status: 429, limit: { rate: 1, burst: 1 }, rateState: null, retryAfterMs: null, revision: 7, elapsedMs: 0
}

interface Line {
  message: string
  details: Record<string, unknown>
}

/** Creates a request log with a clock that the test sets. */
function createLoggedRequests () {
  const lines: Line[] = []
  const bytes = { written: 0 }
  const time = { now: 0 }
  const metrics = createMetrics()
  const writer: LineWriter = {
    write (line) {
      bytes.written += Buffer.byteLength(line) + 1
      lines.push(JSON.parse(line))
    },
    finish () {}
  }
  const requestLog = createRequestLog('n-1', createLog(true, writer), metrics, { now: () => time.now, date: () => new Date(time.now) })
  return { requestLog, lines, bytes, time, metrics }
}

/** Refuses `perSecond` requests a second for ten seconds. Returns the lines and bytes written. */
function refuseFor10s (perSecond: number, reason = refusal.reason) {
  const { requestLog, lines, bytes, time, metrics } = createLoggedRequests()
  const total = perSecond * 10
  for (let index = 0; index < total; index++) {
    time.now = index * 1000 / perSecond
    requestLog.write('requestRefused', () => ({ id: `id-${index}`, chain: null, ...refusal, reason }))
  }
  assert.equal(lines.length + metrics.value('log_lines_dropped_total{event="request_refused"}'), total, 'each line is written or counted')
  return { lines: lines.length, bytes: bytes.written }
}

test('volume of a kind is the same at three times the load that fills it', () => {
  const { volume } = requestEvents.requestRefused
  const maxLines = volume.lines * 11
  const full = refuseFor10s(2 * volume.lines)
  const threefold = refuseFor10s(6 * volume.lines)
  assert.ok(full.lines > volume.lines * 9 && full.lines <= maxLines, `${full.lines} lines`)
  assert.ok(threefold.lines <= maxLines, `${threefold.lines} lines`)
  assert.ok(threefold.bytes <= volume.bytes * 11 + 1000, `${threefold.bytes} bytes`)
})

test('long lines are bounded by bytes before the number of lines is reached', () => {
  const { volume } = requestEvents.requestRefused
  const { lines, bytes } = refuseFor10s(3 * volume.lines, 'x'.repeat(2000))
  assert.ok(lines < volume.lines * 5, `${lines} lines`)
  assert.ok(bytes <= volume.bytes * 11 + 3000, `${bytes} bytes in 10 s`)
})

test('a flood of one kind leaves the lines of another, and says how many it lost', async () => {
  const { requestLog, lines } = createLoggedRequests()
  for (let index = 0; index < 1000; index++) requestLog.write('requestRefused', () => ({ id: `id-${index}`, chain: null, ...refusal }))
  requestLog.write('requestAbandoned', () => ({ id: 'other', chain: null, method: 'GET' }))
  assert.equal(lines.at(-1)?.details.id, 'other')
  await pause(1200)
  const { event, of, lines: dropped, node } = lines.at(-1)?.details ?? {}
  assert.deepEqual([event, of, node], [droppedEvent, 'request_refused', 'n-1'])
  assert.equal(Number(dropped) + lines.length - 2, 1000)
})

test('names of events are unique and their messages differ', () => {
  const kinds = Object.values(requestEvents)
  assert.equal(new Set(kinds.map(({ name }) => name)).size, kinds.length)
  assert.equal(new Set(kinds.map(({ message }) => message)).size, kinds.length)
})
