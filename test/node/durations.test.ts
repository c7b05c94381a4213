import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createDurations } from '../../src/core/node/durations.ts'

function createAt (start: number) {
  const clock = { time: start, now: () => clock.time, date: () => new Date(0) }
  const durations = createDurations(clock)
  const take = (route: string, ms: number, counts = true) => {
    const end = durations.begin(route)
    clock.time += ms
    end(counts)
  }
  return { clock, durations, take }
}

test('nothing is known of a route before one of its calls has ended', () => {
  const { clock, durations, take } = createAt(1000)
  durations.begin('r')
  clock.time += 700
  take('r', 10, false)
  assert.equal(durations.longest('r'), undefined)
  assert.equal(durations.longest('other'), undefined)
})

test('a call that still runs and is longer than all that ended counts', () => {
  const { clock, durations, take } = createAt(1000)
  take('r', 80)
  const end = durations.begin('r')
  assert.equal(durations.longest('r'), 80)
  clock.time += 900
  assert.equal(durations.longest('r'), 900)
  end(true)
  assert.equal(durations.longest('r'), 900)
})

test('a long call is remembered for at least 5 s, and not for ever', () => {
  const { clock, durations, take } = createAt(4990)
  take('r', 400)
  clock.time += 4900
  take('r', 20)
  assert.equal(durations.longest('r'), 400)
  clock.time += 10_000
  assert.equal(durations.longest('r'), undefined)
})

test('many routes take bounded memory', () => {
  const { durations, take } = createAt(1000)
  for (let number = 0; number < 1500; number++) take(`r-${number}`, 1)
  assert.equal(durations.longest('r-0'), undefined)
  assert.ok((durations.longest('r-1499') ?? 0) >= 1)
})
