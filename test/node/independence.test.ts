import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createIndependence } from '../../src/core/node/independence.ts'
import { createRandom } from '../../src/core/random/index.ts'

/** Plays calls to a callee of which a fraction fails, beside requests of routes that need some calls each. Returns the routes found independent. */
function play (failedFraction: number, callsOf: Record<string, number>, steps: number, independence = createIndependence({ now: () => 0, date: () => new Date(0) })): string[] {
  const random = createRandom(3)
  for (let step = 0; step < steps; step++) {
    for (const [route, calls] of Object.entries(callsOf)) {
      let hasFailed = false
      for (let call = 0; call < calls; call++) {
        const failed = random.next() < failedFraction
        independence.recordCallEnd('last/lookup', failed)
        hasFailed ||= failed
      }
      independence.recordRequestEnd(route, hasFailed)
    }
  }
  return Object.keys(callsOf).filter((route) => independence.isIndependent(route, 'last/lookup'))
}

test('a route whose requests end well while calls fail does not need the callee', () => {
  assert.deepEqual(play(0.5, { check: 4, posting: 0 }, 40), ['posting'])
  assert.deepEqual(play(0.3, { check: 1, posting: 0 }, 60), ['posting'])
})

test('calls that end well, and few failed ones, tell nothing', () => {
  assert.deepEqual(play(0, { check: 4, posting: 0 }, 100), [])
  assert.deepEqual(play(0.1, { check: 4, posting: 0 }, 100), [])
})

test('what was found stays in calm, and is given up when the requests of the route fail with the calls', () => {
  const independence = createIndependence({ now: () => 0, date: () => new Date(0) })
  play(0.5, { check: 4, posting: 0 }, 100, independence)
  assert.deepEqual(play(0, { check: 4, posting: 0 }, 100, independence), ['posting'])
  assert.deepEqual(play(0.5, { check: 4, posting: 2 }, 60, independence), [])
})
