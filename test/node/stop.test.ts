import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { beginsDuring } from '../../src/core/node/stop.ts'
import type { Stop } from '../../src/core/node/stop.ts'

const stop: Stop = { startedAt: 0, servesUntil: 2600, endsAt: 5500 }

test('a node that does not stop begins every request', () => {
  assert.equal(beginsDuring(undefined, { source: 'caller', timeoutMs: 60_000 }, 1e9), true)
})

test('a long request of a caller that cannot know of the stop yet is not refused', () => {
  assert.equal(beginsDuring(stop, { source: 'caller', timeoutMs: 60_000 }, 2599), true)
})

test('a request read late is begun only if it certainly ends before the stop does', () => {
  fc.assert(fc.property(fc.double({ min: 2600, max: 10_000, noNaN: true }), fc.double({ min: 0, max: 10_000, noNaN: true }), (now, timeoutMs) => {
    assert.equal(beginsDuring(stop, { source: 'caller', timeoutMs }, now), now + timeoutMs <= stop.endsAt)
  }), { seed: 27 })
})

test('a call of a request in progress is not begun and given up', () => {
  const parent = { deadlineAt: 4500, callsAt: 4200 }
  assert.equal(beginsDuring(stop, { source: 'caller', timeoutMs: parent.deadlineAt - parent.callsAt }, parent.callsAt), true)
  assert.equal(beginsDuring(stop, { source: 'caller', timeoutMs: 2000 }, 4880), false)
  assert.equal(beginsDuring(stop, { source: 'caller', timeoutMs: 2000, longestMs: 40 }, 4880), false)
})

test('a stop that is shorter than the time for unknowing callers begins nothing after its end', () => {
  const short: Stop = { startedAt: 0, servesUntil: 1000, endsAt: 1000 }
  assert.equal(beginsDuring(short, { source: 'caller', timeoutMs: 1 }, 1000), false)
})

// A call that another node forwards is cut by this stop, wherever its caller is.
test('a forwarded call is begun only if it certainly ends, or twice its longest recent time and 1.5 s do, before the stop of its target\'s node', () => {
  fc.assert(fc.property(fc.double({ min: 0, max: 10_000, noNaN: true }), fc.double({ min: 0, max: 10_000, noNaN: true }), fc.double({ min: 0, max: 6000, noNaN: true }), (now, timeoutMs, longestMs) => {
    const neededMs = Math.min(timeoutMs, 2 * longestMs + 1500)
    assert.equal(beginsDuring(stop, { source: 'node', timeoutMs, longestMs }, now), now + neededMs <= stop.endsAt)
  }), { seed: 37 })
})

test('a forwarded call of a route of which nothing is known is begun only if it certainly ends', () => {
  assert.equal(beginsDuring(stop, { source: 'node', timeoutMs: 5501 }, 0), false)
  assert.equal(beginsDuring(stop, { source: 'node', timeoutMs: 5500 }, 0), true)
})

test('short calls with a long timeout are not refused for most of a stop', () => {
  assert.equal(beginsDuring(stop, { source: 'node', timeoutMs: 60_000, longestMs: 50 }, 3800), true)
})
