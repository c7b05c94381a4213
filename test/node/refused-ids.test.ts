import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Clock } from '../../src/core/clock/index.ts'
import { createRefusedIds } from '../../src/core/node/refused-ids.ts'

test('refused id is kept until its deadline, for the connections that carried the refusal', () => {
  let now = 0
  const ids = createRefusedIds({ now: () => now } as Clock)
  const [pool, laterPool] = [{}, {}]
  ids.add(pool, 'a', 5000)
  ids.add(pool, 'b', 500)
  now = 2000
  ids.add(pool, 'c', 3000)
  assert.deepEqual(['a', 'b', 'c'].map((id) => ids.has(pool, id)), [true, false, true])
  assert.equal(ids.has(laterPool, 'a'), false)
  now = 5000
  assert.equal(ids.has(pool, 'a'), false)
})
