import assert from 'node:assert/strict'
import { test } from 'node:test'
import { systemClock } from '../../src/core/clock/index.ts'
import { createGate } from '../../src/core/node/gate.ts'

const now = systemClock.now()
const entry = (id: string) => ({ id, kind: 'r', priority: -1, workspace: 'w', weight: 1, arrivedAt: now, deadlineAt: now + 5000 })

test('a call that waits for its turn when a stop ends is refused as not run, not given up', async () => {
  const gate = createGate(1, systemClock)
  assert.deepEqual(await gate.enter(entry('running')), { type: 'started' })
  const waiting = gate.enter(entry('waiting'))
  assert.equal(gate.removeWaiting(), 1)
  assert.deepEqual(await waiting, { type: 'shed', reason: 'stopping' })
  assert.equal(gate.removeWaiting(), 0)
  assert.equal(gate.running(), 1)
  gate.close()
})

/** Creates a gate on a clock that the test moves. */
function createMovedGate (usesRoom: boolean) {
  const time = { now: 0 }
  return { time, gate: createGate(10, { now: () => time.now, date: () => new Date() }, { usesRoom }) }
}

test('load counts by the room, which is half of the slots just after a start', async () => {
  const { time, gate } = createMovedGate(true)
  assert.deepEqual(await gate.enter({ ...entry('a'), arrivedAt: 0 }), { type: 'started' })
  const request = gate.meter?.startRequest('r')
  assert.deepEqual([gate.room(), gate.load(), gate.limit()], [5, 0.2, 10])
  time.now = 2000
  assert.deepEqual([gate.room(), gate.load()], [10, 0.1])
  request?.end('good')
  gate.reset(20)
  assert.deepEqual([gate.room(), gate.limit()], [10, 20])
  gate.close()
})

test('requests that wait for calls of their own take slots, and no room', async () => {
  const { time, gate } = createMovedGate(true)
  time.now = 2000
  assert.deepEqual(await gate.enter({ ...entry('a'), arrivedAt: 0 }), { type: 'started' })
  gate.meter?.startRequest('r')
  const endCall = gate.meter?.startCall()
  assert.deepEqual([gate.meter?.state().working, gate.load()], [0, 0.1])
  endCall?.()
  assert.equal(gate.meter?.state().working, 1)
  gate.close()
})

test('without the setting the room is the limit', () => {
  const { gate } = createMovedGate(false)
  assert.deepEqual([gate.room(), gate.meter], [10, undefined])
  gate.close()
})

test('slots of requests that wait for calls of their own may be held beside the room', async () => {
  const { time, gate } = createMovedGate(true)
  assert.deepEqual(await gate.enter({ ...entry('a'), arrivedAt: 0 }), { type: 'started' })
  gate.meter?.startRequest('r')
  assert.equal(gate.heldRoom(), 5)
  const endCall = gate.meter?.startCall()
  assert.equal(gate.heldRoom(), 6)
  endCall?.()
  time.now = 2000
  assert.equal(gate.heldRoom(), 10)
  gate.close()
})
