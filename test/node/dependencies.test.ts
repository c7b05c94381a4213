import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createDependencies } from '../../src/core/node/dependencies.ts'
import type { Dependencies } from '../../src/core/node/dependencies.ts'
import { createRandom } from '../../src/core/random/index.ts'

const stepMs = 1

/** Load of one route: rank of its requests, by default 0, requests per second, duration of a request, and calls in each request. */
interface Load {
  route: string
  rank?: number
  perSecond: number
  runMs: number
  calls: Array<{ callee: string, count: number }>
  /** Times at which its requests begin and end to come, in ms. Default: always. */
  fromMs?: number
  untilMs?: number
}

function simulate (loads: readonly Load[], seconds: number): Dependencies {
  let now = 0
  const random = createRandom(5)
  const dependencies = createDependencies({ now: () => now, date: () => new Date(now) })
  let due: Array<{ at: number, run: () => void }> = []
  const start = ({ route, rank = 0, runMs, calls }: Load) => {
    dependencies.recordStart(route, rank)
    const length = runMs * (0.5 + random.next())
    for (const { callee, count } of calls) {
      for (let index = 0; index < count; index++) due.push({ at: now + length * (index + 1) / (count + 1), run: () => dependencies.recordCall(callee) })
    }
    due.push({ at: now + length, run: () => dependencies.recordEnd(route, rank) })
  }
  for (; now < seconds * 1000; now += stepMs) {
    for (const { run } of due.filter(({ at }) => at <= now)) run()
    due = due.filter(({ at }) => at > now)
    for (const load of loads) {
      const { perSecond, fromMs = 0, untilMs = Infinity } = load
      if (now >= fromMs && now < untilMs && random.next() < perSecond * stepMs / 1000) start(load)
    }
  }
  return dependencies
}

test('a route without calls is distinguished from one that makes calls at the same time', () => {
  const dependencies = simulate([
    { route: 'photos', perSecond: 5, runMs: 110, calls: [] },
    { route: 'index', perSecond: 60, runMs: 130, calls: [{ callee: 'intake/roster', count: 5 }] }
  ], 10)
  assert.deepEqual(dependencies.neededCallees('photos'), [])
  assert.deepEqual(dependencies.neededCallees('index'), ['intake/roster'])
})

test('a route without calls is not blamed when the runs of the one that makes them become short', () => {
  const dependencies = simulate([
    { route: 'posting', perSecond: 120, runMs: 140, calls: [] },
    { route: 'check', perSecond: 150, runMs: 400, calls: [{ callee: 'last/lookup', count: 4 }], untilMs: 10_000 },
    { route: 'check', perSecond: 150, runMs: 10, calls: [{ callee: 'last/lookup', count: 1 }], fromMs: 10_000 }
  ], 14)
  assert.deepEqual(dependencies.neededCallees('posting'), [])
  assert.deepEqual(dependencies.neededCallees('check'), ['last/lookup'])
})

test('routes that call different services each have their own callees', () => {
  const dependencies = simulate([
    { route: 'a', perSecond: 20, runMs: 100, calls: [{ callee: 'x/1', count: 1 }] },
    { route: 'b', perSecond: 20, runMs: 100, calls: [{ callee: 'y/1', count: 2 }] }
  ], 20)
  assert.deepEqual(dependencies.neededCallees('a'), ['x/1'])
  assert.deepEqual(dependencies.neededCallees('b'), ['y/1'])
})

test('a route without calls needs no callees', () => {
  const dependencies = simulate([{ route: 'a', perSecond: 20, runMs: 50, calls: [] }], 5)
  assert.deepEqual(dependencies.neededCallees('a'), [])
  assert.deepEqual(dependencies.neededCallees('unknown'), [])
})

test('the rank of a call is drawn from the routes that make it', () => {
  const dependencies = simulate([
    { route: 'direct', rank: 0, perSecond: 60, runMs: 100, calls: [] },
    { route: 'reading', rank: 2, perSecond: 20, runMs: 100, calls: [{ callee: 'x/1', count: 4 }] }
  ], 20)
  const random = createRandom(7)
  const ranks = Array.from({ length: 500 }, () => dependencies.drawRank('x/1', random))
  assert.ok(ranks.filter((rank) => rank === 2).length > 450, String(ranks.filter((rank) => rank === 2).length))
})

test('a callee about which nothing is known gets the rank of any running request, and none when nothing runs', () => {
  const dependencies = createDependencies({ now: () => 0, date: () => new Date(0) })
  const random = createRandom(7)
  assert.equal(dependencies.drawRank('x/1', random), undefined)
  for (const rank of [1, 3, 3, 3]) dependencies.recordStart('a', rank)
  const thirds = Array.from({ length: 400 }, () => dependencies.drawRank('x/1', random)).filter((rank) => rank === 3).length
  assert.ok(Math.abs(thirds - 300) < 40, String(thirds))
  dependencies.recordEnd('a', 1)
  assert.equal(dependencies.drawRank('x/1', random), 3)
})

test('a route whose requests end well while calls fail needs no callee, even if it seems to make them', () => {
  const dependencies = simulate([{ route: 'posting', perSecond: 60, runMs: 100, calls: [{ callee: 'x/1', count: 1 }] }], 5)
  assert.deepEqual(dependencies.neededCallees('posting'), ['x/1'])
  for (let count = 0; count < 40; count++) {
    dependencies.recordCallEnd('x/1', count % 2 === 0)
    dependencies.recordStart('posting', 0)
    dependencies.recordEnd('posting', 0, false)
  }
  assert.deepEqual(dependencies.neededCallees('posting'), [])
})

test('an estimate over many routes and callees holds up no requests for long', () => {
  let now = 0
  const dependencies = createDependencies({ now: () => now, date: () => new Date(now) })
  for (let step = 0; step < 2000; step++) {
    now += 5
    dependencies.recordStart(`r${step % 64}`, 0)
    for (let callee = 0; callee < 25; callee++) dependencies.recordCall(`s/${callee}`)
  }
  const times = [1, 2, 3].map(() => {
    now += 2000
    const before = performance.now()
    dependencies.neededCallees('r0')
    return performance.now() - before
  })
  assert.ok(Math.min(...times) < 200, `${times}`)
})
