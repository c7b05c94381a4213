import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createBudget, createRetryRatios, shareAllowance, earnRetry, giveBack, lend, mayRetry, spend, takeRetry } from '../../src/core/retries/index.ts'
import type { Budget } from '../../src/core/retries/index.ts'

interface Shape {
  parallel: Shape[]
  failures: number
  lost: boolean
}

const shape = fc.letrec<{ shape: Shape }>((tie) => ({
  shape: fc.record({
    parallel: fc.oneof({ depthSize: 'small', withCrossShrink: true }, fc.constant<Shape[]>([]), fc.array(tie('shape'), { maxLength: 4 })),
    failures: fc.integer({ min: 0, max: 5 }),
    lost: fc.boolean()
  })
})).shape

/** Runs a call whose attempts all want to be repeated, with parallel children; returns the extra attempts made. */
function runCall ({ parallel, failures, lost }: Shape, budget: Budget): number {
  let extra = 0
  for (let attempt = 0; attempt <= failures; attempt++) {
    const lent = lend(budget)
    const inner = createBudget(lent)
    const open = parallel.map((child) => ({ child, inner }))
    for (const { child } of open) extra += runCall(child, inner)
    giveBack(budget, lent, lost ? undefined : inner.used)
    if (attempt === failures || !spend(budget)) break
    extra++
  }
  return extra
}

test('no tree of calls makes more extra attempts than its budget', () => {
  fc.assert(fc.property(shape, fc.integer({ min: 0, max: 5 }), (root, extra) => {
    assert.ok(runCall(root, createBudget(extra)) <= extra)
  }), { seed: 9, numRuns: 500 })
})

test('parallel children cannot both borrow', () => {
  const budget = createBudget(2)
  assert.equal(lend(budget), 2)
  assert.equal(lend(budget), 0)
  giveBack(budget, 2, 1)
  assert.equal(budget.left, 1)
})

test('borrower that reports nothing used everything', () => {
  const budget = createBudget(2)
  giveBack(budget, lend(budget), undefined)
  assert.equal(spend(budget), false)
})

test('what may have run is repeated only when idempotent', () => {
  const failed = { notRun: false, crashed: false, suspect: false, elsewhere: true }
  assert.equal(mayRetry(failed, false, 1000), false)
  assert.equal(mayRetry(failed, true, 1000), true)
  assert.equal(mayRetry({ ...failed, notRun: true }, false, 1000), true)
  assert.equal(mayRetry(failed, true, 1), false)
  assert.equal(mayRetry({ ...failed, crashed: true, suspect: true }, true, 1000), false)
})

test('retries of a service are earned by its successes', () => {
  const ratios = createRetryRatios()
  let taken = 0
  while (takeRetry(ratios, 's')) taken++
  for (let count = 0; count < 11; count++) earnRetry(ratios, 's')
  assert.equal(taken, 10)
  assert.equal(takeRetry(ratios, 's'), true)
  assert.equal(takeRetry(ratios, 's'), false)
})

test('nodes share the retries that the fleet may make at once', () => {
  const made = Array.from({ length: 16 }, () => {
    const ratios = createRetryRatios()
    shareAllowance(ratios, 47, 16)
    let count = 0
    while (takeRetry(ratios, 's')) count++
    return count
  })
  const sum = made.reduce((total, count) => total + count, 0)
  assert.ok(sum <= 47 && sum >= 16, `${sum} retries`)
})
