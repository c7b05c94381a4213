import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createDurations } from '../../src/core/node/durations.ts'
import type { CallEnd } from '../../src/core/node/durations.ts'

function createAt (start: number) {
  const clock = { time: start, now: () => clock.time, date: () => new Date(0) }
  const durations = createDurations(clock)
  const take = (route: string, ms: number, ended: CallEnd = 'answered') => {
    const end = durations.begin(route)
    clock.time += ms
    end(ended)
  }
  const takeMany = (route: string, ms: number) => {
    for (let number = 0; number < 20; number++) take(route, ms)
  }
  return { clock, durations, take, takeMany }
}

test('nothing is known of a route before enough of its calls were answered', () => {
  const { clock, durations, take, takeMany } = createAt(15_000)
  durations.begin('r')
  clock.time += 700
  for (let number = 0; number < 19; number++) take('r', 10)
  for (let number = 0; number < 30; number++) take('r', 1, 'failed')
  take('r', 10, 'not-run')
  assert.equal(durations.longest('r'), undefined)
  assert.equal(durations.longest('other'), undefined)
  takeMany('other', 10)
  assert.equal(durations.longest('other'), 10)
})

test('a call that failed or still runs, and is longer than all that were answered, counts', () => {
  const { clock, durations, take, takeMany } = createAt(15_000)
  takeMany('r', 80)
  take('r', 200, 'failed')
  const end = durations.begin('r')
  assert.equal(durations.longest('r'), 200)
  clock.time += 900
  assert.equal(durations.longest('r'), 900)
  end('answered')
  assert.equal(durations.longest('r'), 900)
})

test('a long call is remembered for at least 15 s, and not for ever', () => {
  const { clock, durations, take, takeMany } = createAt(14_500)
  take('r', 400)
  clock.time += 14_000
  takeMany('r', 20)
  assert.equal(durations.longest('r'), 400)
  clock.time += 30_000
  assert.equal(durations.longest('r'), undefined)
})

test('many routes take bounded memory', () => {
  const { durations, takeMany } = createAt(15_000)
  for (let number = 0; number < 1500; number++) takeMany(`r-${number}`, 1)
  assert.equal(durations.longest('r-0'), undefined)
  assert.ok((durations.longest('r-1499') ?? 0) >= 1)
})

test('the mean counts calls that were answered well in the last periods', () => {
  const { clock, durations, take } = createAt(0)
  assert.equal(durations.mean('r'), undefined)
  take('r', 100)
  take('r', 300)
  take('r', 5000, 'failed')
  take('r', 1, 'not-run')
  assert.equal(durations.mean('r'), 200)
  clock.time += 40_000
  assert.equal(durations.mean('r'), undefined)
})
