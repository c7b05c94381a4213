import assert from 'node:assert/strict'
import { test } from 'node:test'
import { acceptBeacon, advanceRevision, checkFresh, createFreshness, maxBeaconAgeMs } from '../../src/core/freshness/index.ts'
import type { Beacon } from '../../src/core/freshness/index.ts'

function beacon (sequence: number, revision: number, issuedAt: number, term = 1): Beacon {
  return { term, sequence, revision, issuedAt, leader: 'a', address: '127.0.0.1:1' }
}

test('node without a beacon is stale', () => {
  assert.equal(checkFresh(createFreshness(), 0).ok, false)
})

test('beacon keeps a node fresh until its maximum age', () => {
  const state = createFreshness()
  acceptBeacon(state, beacon(1, 0, 0), 0, 0, 0)
  assert.equal(checkFresh(state, maxBeaconAgeMs).ok, true)
  assert.equal(checkFresh(state, maxBeaconAgeMs + 1).ok, false)
})

test('beacon keeps a node fresh only once its revision is in force', () => {
  const state = createFreshness()
  acceptBeacon(state, beacon(1, 7, 0), 0, 0, 0)
  assert.equal(checkFresh(state, 1).ok, false)
  advanceRevision(state, 7)
  assert.equal(checkFresh(state, 1).ok, true)
})

test('relayed and repeated beacons do not prolong freshness', () => {
  const state = createFreshness()
  acceptBeacon(state, beacon(1, 0, 0), 2500, 2500, 2500)
  assert.equal(acceptBeacon(state, beacon(1, 0, 0), 0, 2600, 2600), false)
  assert.equal(checkFresh(state, 3100).ok, false)
})

test('beacon delayed by a frozen process is stale by the wall clock', () => {
  const state = createFreshness()
  acceptBeacon(state, beacon(1, 0, 0), 0, 60_000, 60_000)
  assert.equal(checkFresh(state, 60_000).ok, false)
})

test('beacon of an older term is ignored', () => {
  const state = createFreshness()
  acceptBeacon(state, beacon(1, 0, 0, 3), 0, 0, 0)
  assert.equal(acceptBeacon(state, beacon(9, 0, 0, 2), 0, 0, 0), false)
})
