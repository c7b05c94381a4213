import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createBudget, createRetryTokens, divideFleetRetries, depositRetryToken, releaseBudget, reserveBudget, mayRetry, consumeAttempt, takeRetryToken } from '../../src/core/retries/index.ts'
import type { Budget } from '../../src/core/retries/index.ts'

interface Shape {
  parallel: Shape[]
  failures: number
  reportLost: boolean
}

const shape = fc.letrec<{ shape: Shape }>((tie) => ({
  shape: fc.record({
    parallel: fc.oneof({ depthSize: 'small', withCrossShrink: true }, fc.constant<Shape[]>([]), fc.array(tie('shape'), { maxLength: 4 })),
    failures: fc.integer({ min: 0, max: 5 }),
    reportLost: fc.boolean()
  })
})).shape

/** Runs a call with failing attempts and parallel children. Returns the number of extra attempts. */
function runCall ({ parallel, failures, reportLost }: Shape, budget: Budget): number {
  let extra = 0
  for (let attempt = 0; attempt <= failures; attempt++) {
    const reserved = reserveBudget(budget)
    const childBudget = createBudget(reserved)
    const children = parallel.map((child) => ({ child, childBudget }))
    for (const { child } of children) extra += runCall(child, childBudget)
    releaseBudget(budget, reserved, reportLost ? undefined : childBudget.used)
    if (attempt === failures || !consumeAttempt(budget)) break
    extra++
  }
  return extra
}

test('no tree of calls makes more extra attempts than its budget', () => {
  fc.assert(fc.property(shape, fc.integer({ min: 0, max: 5 }), (root, extra) => {
    assert.ok(runCall(root, createBudget(extra)) <= extra)
  }), { seed: 9, numRuns: 500 })
})

test('parallel outgoing calls cannot reserve the same budget', () => {
  const budget = createBudget(2)
  assert.equal(reserveBudget(budget), 2)
  assert.equal(reserveBudget(budget), 0)
  releaseBudget(budget, 2, 1)
  assert.equal(budget.left, 1)
})

test('reservation without a report counts as used', () => {
  const budget = createBudget(2)
  releaseBudget(budget, reserveBudget(budget), undefined)
  assert.equal(consumeAttempt(budget), false)
})

test('a request that may have run is retried only when it is idempotent', () => {
  const failed = { notRun: false, crashed: false, suspect: false, elsewhere: true }
  assert.equal(mayRetry(failed, false, 1000), false)
  assert.equal(mayRetry(failed, true, 1000), true)
  assert.equal(mayRetry({ ...failed, notRun: true }, false, 1000), true)
  assert.equal(mayRetry(failed, true, 1), false)
  assert.equal(mayRetry({ ...failed, crashed: true, suspect: true }, true, 1000), false)
})

test('retry tokens of a service are deposited by its successes', () => {
  const retryTokens = createRetryTokens()
  let taken = 0
  while (takeRetryToken(retryTokens, 's')) taken++
  for (let count = 0; count < 11; count++) depositRetryToken(retryTokens, 's')
  assert.equal(taken, 10)
  assert.equal(takeRetryToken(retryTokens, 's'), true)
  assert.equal(takeRetryToken(retryTokens, 's'), false)
})

test('retries that the fleet may make at once are divided among its nodes', () => {
  const made = Array.from({ length: 16 }, () => {
    const retryTokens = createRetryTokens()
    divideFleetRetries(retryTokens, 47, 16)
    let count = 0
    while (takeRetryToken(retryTokens, 's')) count++
    return count
  })
  const sum = made.reduce((total, count) => total + count, 0)
  assert.ok(sum <= 47 && sum >= 16, `${sum} retries`)
})
