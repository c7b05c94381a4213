import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../src/core/random/index.ts'
import { createReturns, planReturn, recordArrival } from '../../src/core/returns/index.ts'
import { createCredits, mayBegin } from '../../src/core/shares/index.ts'

const route = { route: 's/r', rank: 1 }
const deadlineMs = 5000

/** Refuses callers of an entry node for 20 s; those for which room was set aside return as told. Returns the parts begun of them, of first requests and of all. */
function refuse (perSecond: number, share: number) {
  const random = createRandom(3)
  const credits = createCredits()
  const returns = createReturns()
  const counts = { booked: { came: 0, begun: 0 }, first: { came: 0, begun: 0 } }
  let due: number[] = []
  const come = (isBooked: boolean, now: number) => {
    recordArrival(returns, route, isBooked, now)
    const isBegun = mayBegin(credits, { key: 'r', workspace: 'w', weight: 1, isExpectedRetry: isBooked }, share, now, random)
    const count = counts[isBooked ? 'booked' : 'first']
    count.came++
    if (isBegun) count.begun++
    if (isBegun || isBooked) return
    const { type, afterMs } = planReturn(returns, { ...route, deadlineAt: now + deadlineMs, usualMs: 50 }, () => share, random.next(), now)
    if (type === 'booked') due.push(now + afterMs)
  }
  for (let now = 0; now < 20_000; now++) {
    const coming = due.filter((at) => at <= now)
    due = due.filter((at) => at > now)
    coming.forEach(() => come(true, now))
    if (random.next() < perSecond / 1000) come(false, now)
  }
  const { booked, first } = counts
  return { booked: booked.begun / booked.came, first: first.begun / first.came, all: (booked.begun + first.begun) / (booked.came + first.came) }
}

test('returns for which room was set aside are begun, also where many come within a moment, and first requests keep their part', () => {
  for (const perSecond of [20, 100, 500]) {
    const { booked, first, all } = refuse(perSecond, 0.5)
    assert.ok(booked > 0.95 && first > 0.25, `${perSecond}/s: ${booked} of booked, ${first} of first`)
    assert.ok(Math.abs(all - 0.5) < 0.03, `${perSecond}/s: ${all} of all`)
  }
})
