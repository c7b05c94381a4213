import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isInProgress } from '../../src/core/node/origin.ts'

const targetCall = { fromTargetAddress: true, hasKey: false, isOpen: true, callersHaveKeys: true }

test('request without a key from the target belongs to a request in progress', () => {
  assert.equal(isInProgress(targetCall), true)
})

test('request from the target\'s machine is new when it carries a key, needs one, or callers have none', () => {
  for (const change of [{ hasKey: true }, { isOpen: false }, { callersHaveKeys: false }, { fromTargetAddress: false }]) assert.equal(isInProgress({ ...targetCall, ...change }), false)
})
