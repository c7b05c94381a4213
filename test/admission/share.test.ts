import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createKnownShares, createShare, letsIn, recordBegunWait, recordShare, recordTurnedAway, settleShare, shareOf } from '../../src/core/admission/index.ts'
import type { Share } from '../../src/core/admission/index.ts'

/** Lets windows pass in which begun work waits for `waitMs`, or not at all. */
function pass (share: Share, windows: number, waitMs: number): number {
  for (let count = 0; count < windows; count++) {
    if (waitMs > 0) recordBegunWait(share, waitMs, share.windowAt)
    settleShare(share, share.windowAt + 400)
  }
  return share.value
}

test('held-up work lowers the share, the longer its wait the more, and never to nothing', () => {
  const [little, much] = [createShare(0), createShare(0)]
  assert.ok(pass(little, 3, 60) > pass(much, 3, 400))
  assert.ok(pass(much, 100, 400) >= 0.05)
})

test('short waits change nothing, and the share is whole again a few seconds after the load has gone', () => {
  const share = createShare(0)
  assert.equal(pass(share, 10, 30), 1)
  pass(share, 5, 400)
  assert.ok(share.value < 0.2)
  assert.equal(pass(share, 16, 0), 1)
})

test('time without any request recovers too', () => {
  const share = createShare(0)
  pass(share, 5, 400)
  settleShare(share, share.windowAt + 60_000)
  assert.equal(share.value, 1)
})

test('urgent requests are turned away last', () => {
  const admitted = [0, 1, 2, 3].map((priority) => Array.from({ length: 100 }, (_, index) => letsIn(0.3, priority, index / 100)).filter(Boolean).length)
  assert.deepEqual(admitted, [100, 60, 30, 30])
})

test('a service bears what its nodes say on average, and everything when none spoke lately', () => {
  const known = createKnownShares()
  assert.equal(shareOf(known, 's', 0), 1)
  recordShare(known, 's', 'n1', 0.2, 0)
  recordShare(known, 's', 'n2', 0.6, 1000)
  assert.equal(shareOf(known, 's', 1000), 0.4)
  assert.equal(shareOf(known, 's', 3500), 0.6)
  assert.equal(shareOf(known, 's', 9000), 1)
})

test('a target that turns begun work away lowers the share, a few refusals do not', () => {
  const [few, many] = [createShare(0), createShare(0)]
  for (let count = 0; count < 20; count++) {
    recordBegunWait(few, 0, 0)
    recordBegunWait(many, 0, 0)
    if (count < 2) recordTurnedAway(few, 0)
    if (count < 10) recordTurnedAway(many, 0)
  }
  settleShare(few, 400)
  settleShare(many, 400)
  assert.deepEqual([few.value, many.value], [1, 0.6])
})
