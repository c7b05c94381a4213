import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createExpectedRetries, expectRetry, isAdmitted, pruneExpectedRetries, takeExpectedRetry } from '../../src/core/admission/index.ts'

test('an expected retry is matched once', () => {
  const expectedRetries = createExpectedRetries()
  expectRetry(expectedRetries, 'f', 1000)
  assert.equal(takeExpectedRetry(expectedRetries, 'f', 500), false, 'too early: the caller did not wait')
  assert.equal(takeExpectedRetry(expectedRetries, 'g', 1000), false)
  assert.equal(takeExpectedRetry(expectedRetries, 'f', 1000), true)
  assert.equal(takeExpectedRetry(expectedRetries, 'f', 1000), false)
})

test('retries of equal requests by several callers are each expected', () => {
  const expectedRetries = createExpectedRetries()
  for (const dueAt of [1000, 1200]) expectRetry(expectedRetries, 'f', dueAt)
  assert.deepEqual([1100, 1250, 1260].map((now) => takeExpectedRetry(expectedRetries, 'f', now)), [true, true, false])
})

test('retries that do not arrive in time are dropped', () => {
  const expectedRetries = createExpectedRetries()
  expectRetry(expectedRetries, 'f', 1000)
  assert.equal(takeExpectedRetry(expectedRetries, 'f', 9000), false)
  expectRetry(expectedRetries, 'g', 1000)
  pruneExpectedRetries(expectedRetries, 9000)
  assert.equal(expectedRetries.size, 0)
})

test('expected retries are admitted before new requests', () => {
  const admittedCount = (isExpectedRetry: boolean) => Array.from({ length: 100 }, (_, index) => isAdmitted(0.2, 2, index / 100, isExpectedRetry)).filter(Boolean).length
  assert.equal(admittedCount(false), 20)
  assert.ok(admittedCount(true) >= 50)
})
