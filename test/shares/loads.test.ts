import assert from 'node:assert/strict'
import { test } from 'node:test'
import { meanOf, play, rateFor } from './load.ts'
import type { Load, Played, RouteLoad } from './load.ts'

/** Requests of eight calls that ask for `times` the room of the last service. */
function eightCalls (times: number | ((seconds: number) => number), name = 'many', rank = 2): RouteLoad {
  return { name, rank, calls: 8, rate: (seconds) => rateFor(typeof times === 'number' ? times : times(seconds), 8) }
}

/** Requests that go to the last service directly and ask for `times` its room. */
function direct (times: number, rank: number): RouteLoad {
  return { name: 'direct', rank, calls: 0, rate: () => rateFor(times, 1) }
}

function served (played: Played, name: string, from: number, to: number): number {
  const { well, offered } = played.tally(name, from, to)
  return well / offered
}

/** Returns the part of the begun requests that ended well. */
function endedWell (played: Played, name: string, from: number, to: number): number {
  const { well, begun } = played.tally(name, from, to)
  return well / begun
}

function deviationOf (values: readonly number[]): number {
  const mean = meanOf(values)
  return Math.sqrt(meanOf(values.map((value) => (value - mean) ** 2)))
}

/** Returns the time in s from `from` until the mean share is 1, but for a hundredth. */
function timeUntilAll (played: Played, name: string, from: number, to: number): number {
  const index = played.shares(name, from, to).findIndex((share) => share > 0.99)
  return index < 0 ? Infinity : index / 10
}

test('eight calls a request at 1.5 times the room: what is begun ends well, the room is used, the share does not swing', () => {
  const played = play({ routes: [eightCalls(1.5)], seconds: 20 })
  assert.ok(endedWell(played, 'many', 2, 18) > 0.95)
  assert.ok(played.used(5, 18) > 0.9)
  assert.ok(served(played, 'many', 5, 18) > 0.58)
  assert.ok(deviationOf(played.shares('many', 6, 18)) < 0.05)
})

test('the same load without shares: half of all requests are begun in vain, so the replay is a hard one', () => {
  const played = play({ routes: [eightCalls(1.5)], seconds: 20, isLimited: false })
  assert.ok(endedWell(played, 'many', 5, 15) < 0.5)
})

test('twice the room: shares follow as well', () => {
  const played = play({ routes: [eightCalls(2)], seconds: 20 }, 2)
  assert.ok(endedWell(played, 'many', 5, 18) > 0.95)
  assert.ok(played.used(5, 18) > 0.9)
})

test('one of four targets at half speed from the tenth second on: fewer requests are begun, and those end well', () => {
  const played = play({ routes: [eightCalls(1.5)], seconds: 24, speed: (target, seconds) => target === 0 && seconds >= 10 ? 0.5 : 1 })
  assert.ok(endedWell(played, 'many', 10, 12) > 0.9)
  assert.ok(endedWell(played, 'many', 12, 22) > 0.95)
  assert.ok(played.used(12, 22) > 0.9)
  assert.ok(deviationOf(played.shares('many', 14, 22)) < 0.05)
})

test('a direct route of rank 0 beside eight calls a request loses nothing', () => {
  const played = play({ routes: [eightCalls(1.5), direct(0.1, 0)], seconds: 20 })
  assert.ok(served(played, 'direct', 0, 18) > 0.99)
  assert.ok(endedWell(played, 'many', 2, 18) > 0.95)
})

test('a direct route of equal rank that asks for little is not refused at its entry', () => {
  const played = play({ routes: [eightCalls(1.5), direct(0.1, 2)], seconds: 20 })
  const { begun, offered } = played.tally('direct', 0, 18)
  assert.ok(begun / offered > 0.99)
  assert.ok(served(played, 'direct', 2, 18) > 0.97)
})

test('a wave of 55% around the room: work is not wasted in its crest, and all is begun in its trough', () => {
  const played = play({ routes: [eightCalls((seconds) => 1 + 0.55 * Math.sin(seconds * 2 * Math.PI / 10))], seconds: 30 })
  assert.ok(endedWell(played, 'many', 10, 28) > 0.9)
  assert.ok(Math.max(...played.shares('many', 16, 20)) > 0.99)
  assert.ok(Math.max(...played.shares('many', 26, 28)) > 0.9)
})

test('a burst of one route to twice its rate leaves a route of higher rank that asks for less alone', () => {
  const played = play({ routes: [eightCalls((seconds) => seconds >= 5 && seconds < 15 ? 1.4 : 0.7), eightCalls(0.2, 'other', 1)], seconds: 22 })
  assert.ok(served(played, 'other', 0, 20) > 0.99)
  assert.ok(endedWell(played, 'many', 7, 20) > 0.95)
  assert.ok(timeUntilAll(played, 'many', 15, 20) <= 3)
})

test('half of 60 entry nodes vanish with their demand: the others get their part', () => {
  const played = play({ routes: [eightCalls((seconds) => seconds < 8 ? 1.6 : 0.8)], seconds: 20, entries: (seconds) => seconds < 8 ? 60 : 30 })
  assert.ok(timeUntilAll(played, 'many', 8, 16) <= 2.5)
  assert.ok(served(played, 'many', 11, 18) > 0.99)
})

test('room that comes back at once is used within two seconds', () => {
  const load: Load = { routes: [eightCalls(0.9)], seconds: 18, speed: (_, seconds) => seconds < 10 ? 0.5 : 1 }
  const played = play(load)
  assert.ok(meanOf(played.shares('many', 8, 10)) < 0.6)
  assert.ok(timeUntilAll(played, 'many', 10, 16) <= 2)
})

test('targets that refuse half of their calls for 8 s: requests of eight calls are not begun, direct ones go on', () => {
  const load: Load = { routes: [eightCalls(0.5), direct(0.05, 2)], seconds: 22, refused: (seconds) => seconds >= 5 && seconds < 13 ? 0.5 : 0 }
  const played = play(load)
  assert.ok(meanOf(played.shares('many', 8, 13)) < 0.1)
  const { begun, offered } = played.tally('direct', 5, 13)
  assert.equal(begun, offered)
  assert.ok(timeUntilAll(played, 'many', 13, 20) <= 5)
})

test('a workspace at seven times the part of twenty others is cut first', () => {
  const workspaces = (draw: number) => draw < 7 / 27 ? 'hot' : `w${Math.floor((draw * 27 - 7))}`
  const played = play({ routes: [{ ...eightCalls(1.5), workspaces }], seconds: 20 })
  const others = Array.from({ length: 20 }, (_, index) => served(played, `w${index}`, 3, 18))
  assert.ok(Math.min(...others) > 2 * served(played, 'hot', 3, 18))
  assert.ok(meanOf(others) > 0.7)
  assert.ok(played.used(5, 18) > 0.9)
})

test('in calm no share is stated', () => {
  const played = play({ routes: [eightCalls(0.7), direct(0.1, 0)], seconds: 15 })
  assert.ok(played.shares('many', 0, 15).every((share) => share === 1))
  assert.equal(served(played, 'many', 0, 13), 1)
})

test('targets of few slots at 0.8 of their room: chance alone makes nobody wait for a share', () => {
  const routes = [{ ...eightCalls(0), rate: () => rateFor(0.6, 8, 8) }, { ...direct(0, 0), rate: () => rateFor(0.2, 1, 8) }]
  const played = play({ slots: 8, routes, seconds: 40 })
  for (const { name } of routes) {
    const { begun, offered } = played.tally(name, 0, 38)
    assert.equal(begun, offered)
  }
})

/** A node that reads 1,250 calls a second at most, beside a target with room for more than twice as many: 0.53 of what the targets bear. */
const shortProcessor = { slots: 120, processorMs: { call: 0.5, answer: 0.3 }, callTimeoutMs: 700 }

/** Requests of eight calls that ask for `times` what the processors of the nodes beside the targets carry. */
function eightCallsOfProcessors (times: (seconds: number) => number): RouteLoad {
  return { name: 'many', rank: 2, calls: 8, rate: (seconds) => times(seconds) * 4 * 1250 / 8 }
}

// Issue 55: nodes beside the last service ran out of processor time, which no decision knew.
for (const times of [1.5, 2, 3]) {
  test(`nodes of the last service short of processor time by ${times}: what is begun ends well and most of that time is used for it`, () => {
    const played = play({ ...shortProcessor, routes: [eightCallsOfProcessors(() => times)], seconds: 20 })
    assert.ok(endedWell(played, 'many', 5, 18) > 0.95)
    assert.ok(served(played, 'many', 5, 18) > 0.7 / times)
    assert.ok(deviationOf(played.shares('many', 8, 18)) < 0.1)
  })
}

test('a burst beyond the processor time of the nodes of the last service: all is begun again within three seconds after it', () => {
  const played = play({ ...shortProcessor, routes: [eightCallsOfProcessors((seconds) => seconds >= 5 && seconds < 12 ? 2 : 0.6)], seconds: 22 })
  assert.ok(served(played, 'many', 1, 5) > 0.99)
  assert.ok(endedWell(played, 'many', 8, 12) > 0.9)
  assert.ok(timeUntilAll(played, 'many', 12, 20) <= 3)
})

test('processor time that suffices limits nobody', () => {
  const played = play({ ...shortProcessor, routes: [eightCallsOfProcessors(() => 0.75)], seconds: 15 })
  assert.ok(played.shares('many', 0, 15).every((share) => share === 1))
  assert.ok(served(played, 'many', 0, 13) > 0.99)
})
