import assert from 'node:assert/strict'
import { test } from 'node:test'
import { systemClock } from '../../src/core/clock/index.ts'
import { createGate } from '../../src/core/node/gate.ts'

const now = systemClock.now()
const entry = (id: string) => ({ id, kind: 'r', priority: -1, workspace: 'w', weight: 1, arrivedAt: now, deadlineAt: now + 5000 })

test('a call that waits for its turn when a stop ends is refused as not run, not given up', async () => {
  const gate = createGate(1, systemClock, false)
  assert.deepEqual(await gate.enter(entry('running')), { type: 'started' })
  const waiting = gate.enter(entry('waiting'))
  assert.equal(gate.removeWaiting(), 1)
  assert.deepEqual(await waiting, { type: 'shed', reason: 'stopping' })
  assert.equal(gate.removeWaiting(), 0)
  assert.equal(gate.running(), 1)
  gate.close()
})
