import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../src/core/random/index.ts'
import { createReturns, planRateReturn, planReturn, planSoon, planSpread, recordArrival } from '../../src/core/returns/index.ts'
import type { PlannedReturn, RefusedRequest } from '../../src/core/returns/index.ts'
import { bucketMs, minReturnMs, promisedFraction } from '../../src/core/returns/constants.ts'

/** Time that a request of the tests usually takes, in ms. */
const usualMs = 200

/** A caller that a node refused, and what it was told. */
interface Told {
  refusedAt: number
  deadlineAt: number
  rank: number
  planned: PlannedReturn
}

function returnsAt ({ refusedAt, planned }: Told): number {
  return refusedAt + planned.afterMs
}

/** Requests that arrive at one node evenly; those of one in `every` ms have the rank and deadline. */
interface Load {
  rank: number
  timeoutMs: number
  every: number
}

/** Plays loads from `fromMs` to `untilMs`. Requests beyond the share are refused by lot; those that return are not played. */
function play (returns: ReturnType<typeof createReturns>, loads: readonly Load[], fromMs: number, untilMs: number, shareOf: (rank: number, now: number) => number): Told[] {
  const random = createRandom(7)
  const told: Told[] = []
  for (let now = fromMs; now < untilMs; now++) {
    for (const { rank, timeoutMs, every } of loads) {
      if (now % every !== 0) continue
      recordArrival(returns, { route: 'r', rank }, false, now)
      if (random.next() < shareOf(rank, now)) continue
      const request: RefusedRequest = { route: 'r', rank, deadlineAt: now + timeoutMs, usualMs }
      const planned = planReturn(returns, request, (_, of, at) => shareOf(of, at), random.next(), now)
      told.push({ refusedAt: now, deadlineAt: request.deadlineAt, rank, planned })
    }
  }
  return told
}

const short = (rank: number): Load => ({ rank, timeoutMs: 1500, every: 4 })
const long = (rank: number): Load => ({ rank, timeoutMs: 5000, every: 4 })
const booked = (told: readonly Told[]) => told.filter(({ planned }) => planned.type === 'booked')

test('callers with deadlines of 1.5 s and 5 s are told times that they heed and can use', () => {
  const told = play(createReturns(), [short(2), long(2)], 0, 5000, () => 0.6)
  assert.ok(told.length > 500)
  for (const caller of told) {
    const leftMs = caller.deadlineAt - caller.refusedAt
    assert.ok(caller.planned.afterMs <= leftMs / 3, `${caller.planned.afterMs} of ${leftMs} ms`)
    assert.ok(caller.planned.afterMs + usualMs <= leftMs)
    assert.ok(caller.planned.afterMs >= minReturnMs)
  }
})

test('a request that takes most of the time left leaves less of it for the return', () => {
  const planned = planReturn(createReturns(), { route: 'r', rank: 0, deadlineAt: 1500, usualMs: 1300 }, () => 0.5, 0.99, 0)
  assert.ok(planned.afterMs <= 200)
  const late = planReturn(createReturns(), { route: 'r', rank: 0, deadlineAt: 300, usualMs: 280 }, () => 0.5, 0.99, 0)
  assert.deepEqual(late, { type: 'late', afterMs: 100 })
  assert.deepEqual(planSoon({ deadlineAt: -50, usualMs: 0 }, 0.5, 0), { type: 'late', afterMs: 0 })
})

test('under a steady shortage no bucket is promised to more callers than fit', () => {
  const share = 0.4
  const told = play(createReturns(), [long(2)], 0, 20_000, () => share)
  const perBucket = new Map<number, number>()
  for (const caller of booked(told)) {
    const bucket = Math.floor(returnsAt(caller) / bucketMs)
    perBucket.set(bucket, (perBucket.get(bucket) ?? 0) + 1)
  }
  const fits = promisedFraction * share * bucketMs / 4
  const steady = [...perBucket].filter(([bucket]) => bucket * bucketMs > 3000 && bucket * bucketMs < 20_000).map(([, count]) => count)
  const mean = steady.reduce((sum, count) => sum + count, 0) / (17_000 / bucketMs)
  assert.ok(Math.max(...steady) <= fits + 2, `${Math.max(...steady)} in one bucket for ${fits}`)
  assert.ok(mean > 0.8 * fits && mean < 1.1 * fits, `${mean} a bucket for ${fits}`)
})

test('who was refused earlier returns earlier, of one rank', () => {
  const told = booked(play(createReturns(), [long(2)], 0, 5000, () => 0.4)).filter(({ refusedAt }) => refusedAt > 2500)
  assert.ok(told.length > 50)
  for (const [index, caller] of told.entries()) {
    // The room is an estimate from arrivals, so that a place may become free one bucket before the last.
    if (index > 0) assert.ok(returnsAt(caller) > returnsAt(told[index - 1]) - 2 * bucketMs)
  }
  const inOrder = told.filter((caller, index) => index === 0 || returnsAt(caller) >= returnsAt(told[index - 1])).length
  assert.ok(inOrder > 0.9 * told.length, `${inOrder} of ${told.length} in order`)
})

test('higher ranks get the earlier buckets', () => {
  const told = booked(play(createReturns(), [long(0), long(2)], 0, 10_000, (rank) => rank === 0 ? 0.7 : 0.3)).filter(({ refusedAt }) => refusedAt > 2000)
  const meanOf = (rank: number) => {
    const times = told.filter((caller) => caller.rank === rank).map(({ planned }) => planned.afterMs)
    return times.reduce((sum, ms) => sum + ms, 0) / times.length
  }
  assert.ok(meanOf(0) < meanOf(2), `${meanOf(0)} and ${meanOf(2)} ms`)
  const bookedPart = (rank: number) => told.filter((caller) => caller.rank === rank).length
  assert.ok(bookedPart(0) > 0 && bookedPart(2) > 0, 'nobody is left out')
})

test('when room comes back, no promise outlasts the shortage, and later buckets are free again', () => {
  const returns = createReturns()
  const share = (now: number) => now < 4000 ? 0.2 : 1
  const told = play(returns, [long(2)], 0, 4000, (_, now) => share(now))
  assert.ok(booked(told).length > 0)
  const back = planReturn(returns, { route: 'r', rank: 2, deadlineAt: 9000, usualMs }, () => 1, 0.5, 4000)
  assert.equal(back.type, 'spread', 'what was refused for another reason than the share needs no place')
  const latest = Math.max(...booked(told).map(returnsAt))
  assert.ok(latest <= 4000 + 5000 / 3, 'no promise outlasts the shortage for longer than its caller could wait')
  const again = planReturn(returns, { route: 'r', rank: 2, deadlineAt: 15_000, usualMs }, () => 0.9, 0.5, 10_000)
  assert.equal(again.type, 'spread', 'without arrivals there is no rate to promise from')
  play(returns, [long(2)], 10_000, 12_000, () => 0.9)
  const later = planReturn(returns, { route: 'r', rank: 2, deadlineAt: 17_000, usualMs }, () => 0.9, 0.5, 12_000)
  assert.equal(later.type, 'booked')
})

test('callers that another node can serve return soon, and at different times', () => {
  const times = [0.1, 0.5, 0.9].map((draw) => planSoon({ deadlineAt: 5000, usualMs }, draw, 0).afterMs)
  assert.equal(new Set(times).size, 3)
  assert.ok(Math.max(...times) <= 250)
})

test('callers refused by a full queue or a lost target return in the later half of what they can use', () => {
  const timesFor = (timeoutMs: number) => [0, 0.5, 0.99].map((draw) => planSpread({ deadlineAt: timeoutMs, usualMs }, draw, 0).afterMs)
  assert.deepEqual([Math.min(...timesFor(1500)), Math.max(...timesFor(1500)) <= 500], [250, true])
  assert.deepEqual([Math.min(...timesFor(5000)), Math.max(...timesFor(5000)) <= 1500], [750, true])
  assert.equal(planSpread({ deadlineAt: 220, usualMs }, 0.5, 0).type, 'late')
})

test('a caller over the rate of its workspace returns when the rate allows a request again', () => {
  const returns = createReturns()
  const told = Array.from({ length: 20 }, () => planRateReturn(returns, { workspace: 'w', rate: 10 / 1000, deadlineAt: 5000, usualMs }, 0.5, 0))
  const times = told.filter(({ type }) => type === 'booked').map(({ afterMs }) => afterMs)
  assert.ok(times.length >= 7 && times.length <= 9, `${times.length} promises in 1.67 s at half of 10 a second`)
  // One each 200 ms, in buckets of 50 ms.
  for (const [index, time] of times.entries()) assert.ok(index === 0 || time - times[index - 1] >= 200 - 2 * bucketMs)
  assert.ok(told.every(({ afterMs }) => afterMs <= 5000 / 3))
  assert.equal(planRateReturn(returns, { workspace: 'v', rate: 0, deadlineAt: 5000, usualMs }, 0.5, 0).type, 'spread')
})

test('an entry node that has lost its state plans as one that has refused nobody', () => {
  const before = createReturns()
  play(before, [long(2)], 0, 3000, () => 0.4)
  const request: RefusedRequest = { route: 'r', rank: 2, deadlineAt: 8000, usualMs }
  const lost = planReturn(createReturns(), request, () => 0.4, 0.5, 3000)
  assert.equal(lost.type, 'spread')
  assert.ok(lost.afterMs <= 5000 / 3)
})
