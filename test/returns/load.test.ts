import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../src/core/random/index.ts'
import { createReturns, partForOthers, planReturn, recordArrival } from '../../src/core/returns/index.ts'

/** Requests per second that the services of the route bear, and most that they take at once. */
const room = 100
const burst = 5

/** Time over which the entry counts requests to find their share, in ms. */
const shareWindowMs = 300

const route = { route: 'r', rank: 2 }
const untilMs = 60_000

/** A caller that returns once, if it is told a time that it heeds. */
interface Caller {
  deadlineAt: number
  hasReturned: boolean
  isBooked: boolean
}

/** Callers by their end, as parts of all. `begun` without room are those that a service further down would turn away. */
interface Ends {
  served: number
  begunWithoutRoom: number
}

/** Says when a refused caller is to return, in ms from now, and whether room is set aside for it. */
type Plan = (caller: Caller, share: number, now: number) => { afterMs: number, isBooked: boolean }

/** Plays callers at one entry, which begins the share of the requests for which there is room. */
function play (ratePerMs: (now: number) => number, timeoutOf: (number: number) => number, isPlanned: boolean): Ends {
  const random = createRandom(3)
  const returns = createReturns()
  const byLot: Plan = () => ({ afterMs: 500 + 1000 * random.next(), isBooked: false })
  const planned: Plan = ({ deadlineAt }, share, now) => {
    const { type, afterMs } = planReturn(returns, { ...route, deadlineAt, usualMs: 200 }, () => share, random.next(), now)
    return { afterMs, isBooked: type === 'booked' }
  }
  const plan = isPlanned ? planned : byLot
  const returning = new Map<number, Caller[]>()
  let [tokens, demand, arriving, total, served, begunWithoutRoom] = [burst, 0, 0, 0, 0, 0]
  for (let now = 0; now < untilMs; now++) {
    tokens = Math.min(burst, tokens + room / 1000)
    demand *= Math.exp(-1 / shareWindowMs)
    const callers = returning.get(now) ?? []
    returning.delete(now)
    for (arriving += ratePerMs(now); arriving >= 1; arriving--) callers.push({ deadlineAt: now + timeoutOf(total++), hasReturned: false, isBooked: false })
    for (const caller of callers) {
      demand++
      recordArrival(returns, route, caller.isBooked, now)
      const share = Math.min(1, room * shareWindowMs / 1000 / demand)
      const preference = isPlanned ? partForOthers(returns, route, share, now) : caller.hasReturned ? 3 : 1
      if (caller.isBooked || random.next() < share * preference) {
        if (tokens < 1) {
          begunWithoutRoom++
          continue
        }
        tokens--
        served++
        continue
      }
      const { afterMs, isBooked } = plan(caller, share, now)
      if (caller.hasReturned || afterMs > (caller.deadlineAt - now) / 3) continue
      const at = Math.ceil(now + afterMs)
      returning.set(at, [...returning.get(at) ?? [], { ...caller, hasReturned: true, isBooked }])
    }
  }
  return { served: served / total, begunWithoutRoom: begunWithoutRoom / total }
}

const loads = {
  wave: (now: number) => 0.1 * (1 + 0.55 * Math.sin(now / 1000)),
  bursts: (now: number) => now % 6000 < 1500 ? 0.25 : 0.05
}

test('a wave of ±55% and bursts: callers with a deadline of 1.5 s, which heed 0.5 s at most, are served more often than with 0.5 to 1.5 s by lot', () => {
  for (const [name, rate] of Object.entries(loads)) {
    const [before, after] = [play(rate, () => 1500, false), play(rate, () => 1500, true)]
    assert.ok(after.served > before.served + 0.03, `${name}: ${JSON.stringify({ before, after })}`)
  }
})

test('a wave of ±55% and bursts: callers with deadlines of 1.5 s and 5 s together, or of 5 s, are served no less', () => {
  for (const [name, rate] of Object.entries(loads)) {
    for (const timeoutOf of [(number: number) => number % 2 === 0 ? 1500 : 5000, () => 5000]) {
      const [before, after] = [play(rate, timeoutOf, false), play(rate, timeoutOf, true)]
      assert.ok(after.served >= before.served, `${name}: ${JSON.stringify({ before, after })}`)
    }
  }
})

test('three times the room for a minute: nine of ten requests that begin have room, and nine tenths of the room are used', () => {
  for (const timeoutMs of [1500, 5000]) {
    const { served, begunWithoutRoom } = play(() => 0.3, () => timeoutMs, true)
    assert.ok(served > 0.9 * (served + begunWithoutRoom), `${begunWithoutRoom} begun without room, ${served} served`)
    assert.ok(served > 0.9 / 3)
  }
})
