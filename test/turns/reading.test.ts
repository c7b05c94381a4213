import assert from 'node:assert/strict'
import { test } from 'node:test'
import { addTurn, isReadingDone, maxReadingMs, noReading } from '../../src/core/turns/reading.ts'
import type { Turn } from '../../src/core/turns/reading.ts'

const short: Turn = { durationMs: 0.1, hasAccepted: false }
const accepting: Turn = { durationMs: 0.1, hasAccepted: true }
const long: Turn = { durationMs: maxReadingMs + 300, hasAccepted: false }

function isDoneAfter (...turns: Turn[]): boolean {
  return isReadingDone(turns.reduce(addTurn, noReading))
}

test('a turn that may have begun to poll before is not taken for a whole poll', () => {
  assert.equal(isDoneAfter(short), false)
  assert.equal(isDoneAfter(short, short), true)
})

test('a connection that was accepted is read before reading ends', () => {
  assert.equal(isDoneAfter(short, accepting, short), false)
  assert.equal(isDoneAfter(short, accepting, short, short), true)
})

test('what arrived during a long turn is read', () => {
  assert.equal(isDoneAfter(long), false)
  assert.equal(isDoneAfter({ ...long, durationMs: 30 }, short), false)
  assert.equal(isDoneAfter(long, short), true)
})

test('reading ends although connections arrive in every turn', () => {
  const turns = Array.from({ length: 200 }, () => ({ durationMs: 1, hasAccepted: true }))
  assert.equal(isDoneAfter(...turns.slice(0, maxReadingMs - 1)), false)
  assert.equal(isDoneAfter(...turns.slice(0, maxReadingMs)), true)
})
