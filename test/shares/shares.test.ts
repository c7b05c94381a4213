import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../src/core/random/index.ts'
import { createCredits, createAllocator, createStatements, divideRoom, mayBegin, ownShareOf, pruneCredits, pruneStatements, recordArrival, recordDeparture, recordStart, recordStatement, statedShareOf, updateAllocator } from '../../src/core/shares/index.ts'
import type { ClassState } from '../../src/core/shares/index.ts'

const inProgress = { route: 'last', rank: 1, isInProgress: true }

function sumServed (demands: Array<{ rank: number, amount: number }>, fractions: number[]): number {
  return demands.reduce((sum, { amount }, index) => sum + amount * fractions[index], 0)
}

test('room for all is not divided', () => {
  assert.deepEqual(divideRoom([{ rank: 0, amount: 40 }, { rank: 2, amount: 60 }, { rank: 3, amount: 0 }], 100), [1, 1, 1])
  assert.deepEqual(divideRoom([], 10), [])
})

test('within a rank the class that asks for little gets all of it', () => {
  const demands = [{ rank: 1, amount: 150 }, { rank: 1, amount: 5 }]
  const fractions = divideRoom(demands, 95)
  assert.equal(fractions[1], 1)
  assert.ok(Math.abs(sumServed(demands, fractions) - 95) < 0.1)
})

test('no rank is starved, and none is served a smaller part than a lower one', () => {
  const demands = [{ rank: 0, amount: 100 }, { rank: 1, amount: 100 }, { rank: 3, amount: 100 }]
  const [first, second, third] = divideRoom(demands, 100)
  assert.ok(first > second && second > third)
  assert.ok(third / first > 0.8)
  assert.ok(Math.abs(first + second + third - 1) < 0.01)
})

test('with little too much asked only the lowest rank is short', () => {
  const [first, second] = divideRoom([{ rank: 0, amount: 50 }, { rank: 2, amount: 55 }], 100)
  assert.equal(first, 1)
  assert.ok(Math.abs(second - 50 / 55) < 0.01)
})

test('a small class of low rank is not served a larger part than a short one of high rank', () => {
  const [high, low] = divideRoom([{ rank: 0, amount: 300 }, { rank: 2, amount: 3 }], 100)
  assert.ok(low <= high)
})

test('a target without an end for a long time is short, although nothing was refused', () => {
  const allocator = createAllocator(0)
  for (let now = 0; now < 2000; now += 20) {
    const state = recordArrival(allocator, inProgress, 1, now)
    if (now < 400) {
      recordStart(state, now)
      recordDeparture(allocator, state, 'ended', 0, now)
    } else if (now < 600) recordStart(state, now)
    updateAllocator(allocator, 10, now)
  }
  assert.ok(ownShareOf(allocator, inProgress) < 0.5)
})

// Issue 55: targets with half of their slots in use stated shares of 0.12 to 0.33 in the first second of traffic.
test('requests that have had no time to end are no shortage, at first and after a pause', () => {
  const allocator = createAllocator(0)
  const running: Array<{ state: ClassState, startedAt: number }> = []
  const shares: number[] = []
  for (let now = 0; now < 8000; now += 16) {
    while (running.length > 0 && running[0].startedAt <= now - 600) {
      const { state } = running.shift()!
      recordDeparture(allocator, state, 'ended', 600, now)
    }
    if (now < 2000 || now >= 5000) {
      const state = recordArrival(allocator, inProgress, 1, now)
      recordStart(state, now)
      running.push({ state, startedAt: now })
    }
    updateAllocator(allocator, 72, now)
    shares.push(ownShareOf(allocator, inProgress))
  }
  assert.equal(Math.min(...shares), 1)
})

test('the start of a node, busy before its first calls, is not put down to them', () => {
  const readUse = (now: number) => ({ busyMs: 3000 + 0.2 * now, latenessMs: 0, otherRequests: 0 })
  const allocator = createAllocator(0, readUse(0))
  for (let now = 10; now <= 2000; now += 10) {
    const state = recordArrival(allocator, inProgress, 1, now)
    recordStart(state, now)
    recordDeparture(allocator, state, 'ended', 0, now)
    updateAllocator(allocator, 10, now, () => readUse(now))
    assert.ok(allocator.processor.utilization < 0.25)
  }
})

test('classes are few, however many routes there are, and idle ones are forgotten', () => {
  const allocator = createAllocator(0)
  for (let route = 0; route < 500; route++) recordDeparture(allocator, recordArrival(allocator, { route: `r${route}`, rank: route % 3, isInProgress: false }, 1, 0), 'not-started', 0, 0)
  assert.ok(allocator.classes.size <= 70)
  for (let now = 200; now < 20_000; now += 200) updateAllocator(allocator, 10, now)
  assert.equal(allocator.classes.size, 0)
})

test('a statement counts by room, ages out, and lets requests in step by step when nobody confirms it', () => {
  const known = createStatements()
  const source = { callee: 's/r', rank: 1 }
  recordStatement(known, { ...source, node: 'n0' }, { share: 1, room: 10 }, 0)
  assert.equal(known.size, 0)
  recordStatement(known, { ...source, node: 'n1' }, { share: 0.2, room: 30 }, 0)
  recordStatement(known, { ...source, node: 'n2' }, { share: 0.6, room: 10 }, 0)
  assert.ok(Math.abs(statedShareOf(known, 's/r', 1, 0) - 0.3) < 1e-9)
  assert.equal(statedShareOf(known, 's/r', 3, 0), statedShareOf(known, 's/r', 1, 0))
  assert.equal(statedShareOf(known, 's/other', 1, 0), 1)
  recordStatement(known, { ...source, node: 'n1' }, { share: 0.2, room: 30 }, 2000)
  assert.ok(Math.abs(statedShareOf(known, 's/r', 1, 4000) - 0.2) < 1e-9)
  assert.ok(Math.abs(statedShareOf(known, 's/r', 1, 5500) - 0.4) < 1e-9)
  assert.equal(statedShareOf(known, 's/r', 1, 8000), 1)
  assert.equal(known.size, 0)
})

test('a rank for which there is room keeps its own statements beside a short one', () => {
  const known = createStatements()
  recordStatement(known, { callee: 's/r', rank: 2, node: 'n' }, { share: 0.3, room: undefined }, 0)
  recordStatement(known, { callee: 's/r', rank: 0, node: 'n' }, { share: 1, room: undefined }, 0)
  assert.equal(statedShareOf(known, 's/r', 0, 0), 1)
  assert.equal(statedShareOf(known, 's/r', 2, 0), 0.3)
})

test('statements on routes that nobody calls any more are dropped', () => {
  const known = createStatements()
  for (let route = 0; route < 500; route++) recordStatement(known, { callee: `s/r${route}`, rank: 1, node: 'n' }, { share: 0.1, room: 10 }, 0)
  recordStatement(known, { callee: 's/now', rank: 1, node: 'n' }, { share: 0.1, room: 10 }, 9000)
  pruneStatements(known, 10_000)
  assert.deepEqual([...known.keys()], ['s/now'])
})

/** Asks `count` times and returns how many requests are begun. */
function countBegun (count: number, share: number, stepMs: number, workspaceOf: (index: number) => string, isRetry: (index: number) => boolean = () => false): number[] {
  const credits = createCredits()
  const random = createRandom(1)
  const begun: number[] = []
  for (let index = 0; index < count; index++) {
    const newRequest = { key: 'r', workspace: workspaceOf(index), weight: 1, isExpectedRetry: isRetry(index) }
    if (mayBegin(credits, newRequest, share, index * stepMs, random)) begun.push(index)
  }
  return begun
}

test('the begun part is the share, for one workspace, for many, and for few requests', () => {
  for (const share of [0.05, 0.3, 0.62, 0.95]) {
    assert.ok(Math.abs(countBegun(1000, share, 5, () => 'w').length / 1000 - share) < 0.02)
    assert.ok(Math.abs(countBegun(1000, share, 5, (index) => `w${index % 37}`).length / 1000 - share) < 0.02)
    assert.ok(Math.abs(countBegun(300, share, 700, (index) => `w${index % 37}`).length / 300 - share) < 0.03)
  }
})

test('expected retries go first, and the sum begun stays at the share', () => {
  const isRetry = (index: number) => index % 5 === 0
  const begun = countBegun(1000, 0.4, 5, () => 'w', isRetry)
  assert.ok(begun.filter(isRetry).length > 0.9 * 200)
  assert.ok(Math.abs(begun.length - 400) < 20)
})

test('expected retries that would take all of the share leave a part to first requests', () => {
  const isRetry = (index: number) => index % 2 === 0
  const begun = countBegun(1000, 0.4, 5, () => 'w', isRetry)
  const retries = begun.filter(isRetry).length
  assert.ok(Math.abs(begun.length - 400) < 20)
  assert.ok(retries > 250 && begun.length - retries > 80, `${retries} of ${begun.length}`)
})

test('routes with room again are forgotten', () => {
  const credits = createCredits()
  mayBegin(credits, { key: 'r', workspace: 'w', weight: 1, isExpectedRetry: false }, 0.5, 0, createRandom(1))
  pruneCredits(credits, 6000)
  assert.equal(credits.size, 0)
})

test('direct requests that the target refuses and that come again hold no slots, and are not turned away for them', () => {
  const allocator = createAllocator(0)
  const direct = { route: 'direct', rank: 1, isInProgress: false }
  const running: Array<{ endsAt: number, state: ReturnType<typeof recordArrival> }> = []
  for (let now = 0; now < 6000; now += 10) {
    for (const { state } of running.filter(({ endsAt }) => endsAt <= now)) recordDeparture(allocator, state, 'ended', 100, now)
    running.splice(0, running.length, ...running.filter(({ endsAt }) => endsAt > now))
    const state = recordArrival(allocator, direct, 1, now)
    recordStart(state, now)
    if (now % 20 === 0) running.push({ endsAt: now + 100, state })
    else recordDeparture(allocator, state, 'refused', 0, now)
    updateAllocator(allocator, 8, now)
  }
  assert.equal(ownShareOf(allocator, direct), 1)
})
