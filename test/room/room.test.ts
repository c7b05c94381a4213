import assert from 'node:assert/strict'
import { test } from 'node:test'
import { changeSlots, createTargetRoom, endCall, endRequest, restartTarget, startCall, startRequest, stateRoom, workingRequests, workingTimeOf } from '../../src/core/room/index.ts'
import type { TargetRoom } from '../../src/core/room/index.ts'
import { runTarget } from './target-model.ts'
import type { Load } from './target-model.ts'

const slots = 40
const workMs = 100
/** Requests per ms that the slots bear at speed 1. */
const full = slots / workMs
const seeds = [1, 2, 3, 4, 5]

function assertClose (actual: number | undefined, expected: number, part: number): void {
  assert.ok(actual !== undefined && Math.abs(actual - expected) <= expected * part, `${actual} is not within ${part} of ${expected}`)
}

function steady (part: number, overrides: Partial<Load> = {}): Load {
  return { slots, workMs, rate: () => part * full, ...overrides }
}

/** Returns the times at which a knee of the target counted as found. */
function kneeTimes (load: Load, untilMs: number): number[] {
  const times: number[] = []
  runTarget(load, untilMs, (room, now) => {
    if (room.curve.knee < 1) times.push(now)
  })
  return times
}

test('three targets of speeds 0.7, 0.7 and 1.6 state working times in that proportion', () => {
  for (const speed of [0.7, 0.7, 1.6]) {
    const room = runTarget(steady(0.4 * speed, { speed: () => speed }), 4000, () => {})
    assertClose(workingTimeOf(room, 'a', 4000), workMs / speed, 0.15)
  }
})

test('knee at 0.95 of the slots is found where the load reaches it at times', () => {
  const slowdown = (fraction: number) => fraction > 0.95 - 1e-9 ? 1.3 : 1
  for (const seed of seeds) {
    const room = runTarget(steady(0.75, { seed, slowdown }), 30_000, () => {})
    assert.equal(stateRoom(room, 30_000).room, 37)
    const wave = runTarget(steady(0, { seed, slowdown, rate: (now) => full * (0.85 + 0.25 * Math.sin(now / 1500)) }), 60_000, () => {})
    assert.equal(stateRoom(wave, 60_000).room, 37)
  }
})

/** Returns the rate of callers who follow what was stated `lagMs` ago, and the function that records statements. */
function followStatements (lagMs: number): { rate: (now: number) => number, record: (room: TargetRoom, now: number) => void } {
  const stated: number[] = []
  return {
    rate: (now) => Math.max(0.1 * full, stated[Math.floor((now - lagMs) / 100)] ?? 1.5 * full),
    record: (room, now) => void stated.push(stateRoom(room, now).room / (workingTimeOf(room, 'a', now) ?? workMs))
  }
}

test('knee is found where all slots are in use, as callers follow the stated room', () => {
  for (const seed of seeds) {
    const { rate, record } = followStatements(300)
    const room = runTarget(steady(0, { seed, rate, slowdown: (fraction) => fraction > 0.95 - 1e-9 ? 1.3 : 1 }), 30_000, record)
    assertClose(room.curve.knee, 0.95, 1e-9)
  }
})

test('target without a knee has all its slots stated again once its curve is known', () => {
  const rooms: number[] = []
  const { rate, record } = followStatements(300)
  runTarget(steady(0, { rate }), 60_000, (room, now) => {
    record(room, now)
    if (now > 50_000) rooms.push(stateRoom(room, now).room)
  })
  assert.equal(Math.min(...rooms), slots)
})

test('target without a knee shows none under a wave', () => {
  for (const seed of seeds) assert.deepEqual(kneeTimes(steady(0, { seed, rate: (now) => full * (0.85 + 0.35 * Math.sin(now / 1500)) }), 60_000), [])
})

test('target that slows down to a fifth for 6 s shows it within 2 s, has no knee and recovers', () => {
  for (const seed of seeds) {
    const speed = (now: number) => now >= 10_000 && now < 16_000 ? 0.2 : 1
    const times = new Map<number, number | undefined>()
    const load = steady(0.6, { seed, speed })
    const room = runTarget(load, 30_000, (at, now) => void times.set(now, workingTimeOf(at, 'a', now)))
    assertClose(times.get(9900), workMs, 0.15)
    assertClose(times.get(12_000), workMs / 0.2, 0.25)
    assertClose(times.get(15_900), workMs / 0.2, 0.25)
    assertClose(times.get(18_000), workMs, 0.25)
    assertClose(times.get(29_900), workMs, 0.15)
    assertClose(stateRoom(room, 30_000).speed, 1, 0.25)
    assert.deepEqual(kneeTimes(load, 30_000), [])
  }
})

test('repeated changes of the whole target are no knee', () => {
  for (const seed of seeds) {
    const speed = (now: number) => now % 14_000 > 8000 ? 0.2 : 1
    assert.deepEqual(kneeTimes(steady(0, { seed, speed, rate: (now) => full * (0.85 + 0.25 * Math.sin(now / 1500)) }), 60_000), [])
  }
})

test('noise on single requests is neither a change of speed nor a knee', () => {
  for (const seed of seeds) {
    const load = steady(0.7, { seed, noise: (random) => random < 0.15 ? 2.5 : 1 })
    const speeds: number[] = []
    runTarget(load, 30_000, (room, now) => {
      if (now >= 5000) speeds.push(stateRoom(room, now).speed)
    })
    assert.ok(Math.min(...speeds) > 1 / 1.25 && Math.max(...speeds) < 1.25, `${Math.min(...speeds)} to ${Math.max(...speeds)}`)
    assert.deepEqual(kneeTimes(load, 30_000), [])
  }
})

test('requests that failed early do not make a target look faster', () => {
  const room = runTarget(steady(0.6, { failing: (now) => now < 10_000 ? 0 : 0.8 }), 15_000, () => {})
  assertClose(workingTimeOf(room, 'a', 15_000), workMs, 0.25)
})

test('restarted target starts slowly from its slots with nothing remembered', () => {
  const room = runTarget(steady(0.9, { slowdown: (fraction) => fraction > 0.94 ? 1.3 : 1 }), 20_000, () => {})
  const old = startRequest(room, 'a', 20_000)
  restartTarget(room, 30, 20_000)
  assert.deepEqual([stateRoom(room, 20_000).room, workingTimeOf(room, 'a', 20_000), workingRequests(room)], [15, undefined, 0])
  endRequest(room, old, 'failed', 20_100)
  assert.deepEqual([stateRoom(room, 21_000).room, workingRequests(room)], [30, 0])
})

test('cold target that is slow for three seconds is known at its speed two seconds later', () => {
  const room = runTarget(steady(0.3, { speed: (now) => now < 3000 ? 0.3 : 1 }), 5000, () => {})
  assertClose(workingTimeOf(room, 'a', 5000), workMs, 0.25)
})

test('changed slots begin a new curve', () => {
  const room = createTargetRoom(10, 0)
  changeSlots(room, 20, 2000)
  assert.equal(stateRoom(room, 2000).room, 20)
})

/** Runs requests of two kinds in turn, of which one waits half of its time for a call. `attributed` tells whether the call names its request. */
function runCallers (attributed: boolean): TargetRoom {
  const room = createTargetRoom(slots, 0)
  const events: Array<{ at: number, run: (now: number) => void }> = []
  for (let start = 0; start < 20_000; start += 40) {
    // The direct requests come in bursts, so that the numbers of both kinds vary.
    events.push({
      at: start,
      run (now) {
        const request = startRequest(room, 'calling', now)
        const named = attributed ? request : undefined
        events.push({ at: now + 50, run: (at) => startCall(room, named, at) }, { at: now + 150, run: (at) => endCall(room, named, at) })
        events.push({ at: now + 200, run: (at) => endRequest(room, request, 'good', at) })
      }
    })
    if (start % 2000 < 1000) {
      events.push({
        at: start + 10,
        run (now) {
          const request = startRequest(room, 'direct', now)
          events.push({ at: now + 60, run: (at) => endRequest(room, request, 'good', at) })
        }
      })
    }
  }
  while (events.length > 0) {
    events.sort((left, right) => right.at - left.at)
    const { at, run } = events.pop() ?? { at: 0, run () {} }
    run(at)
  }
  return room
}

test('time in calls is no working time, also where calls name no request', () => {
  for (const attributed of [true, false]) {
    const room = runCallers(attributed)
    assertClose(workingTimeOf(room, 'calling', 20_200), 100, attributed ? 0.15 : 0.3)
    assertClose(workingTimeOf(room, 'direct', 20_200), 60, attributed ? 0.15 : 0.3)
    assert.equal(workingRequests(room), 0)
  }
})

test('working time is not stated where several calls of a request at a time hide it', () => {
  const room = createTargetRoom(slots, 0)
  for (let now = 0; now < 20_000; now += 100) {
    const request = startRequest(room, 'a', now)
    for (let call = 0; call < 4; call++) startCall(room, undefined, now + 1)
    for (let call = 0; call < 4; call++) endCall(room, undefined, now + 97)
    endRequest(room, request, 'good', now + 99)
  }
  assert.equal(workingTimeOf(room, 'a', 20_000), undefined)
})

test('more calls than requests are no negative work', () => {
  const room = createTargetRoom(slots, 0)
  const request = startRequest(room, 'a', 0)
  for (let call = 0; call < 3; call++) startCall(room, undefined, 10)
  assert.equal(workingRequests(room), 0)
  for (let call = 0; call < 3; call++) endCall(room, undefined, 50)
  assert.equal(workingRequests(room), 1)
  endRequest(room, request, 'good', 100)
  assert.equal(workingRequests(room), 0)
})

test('call that ends after its request changes nothing', () => {
  const room = createTargetRoom(slots, 0)
  const request = startRequest(room, 'a', 0)
  startCall(room, request, 10)
  endRequest(room, request, 'cancelled', 20)
  endCall(room, request, 30)
  assert.equal(workingRequests(room), 0)
})

test('at most 64 kinds are kept', () => {
  const room = createTargetRoom(slots, 0)
  for (let kind = 0; kind < 200; kind++) endRequest(room, startRequest(room, `k${kind}`, kind), 'good', kind)
  assert.equal(room.work.kinds.size, 64)
  assert.equal(workingRequests(room), 0)
})
