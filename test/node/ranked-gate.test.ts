import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createGate } from '../../src/core/node/gate.ts'

let now = 0
const clock = { now: () => now, date: () => new Date(now) }
const slots = 20

/** Enters a request that makes calls, or one that needs its target only. */
function enter (gate: ReturnType<typeof createGate>, id: string, needsCalls: boolean, rank = 2) {
  return gate.enter({ id, kind: 'r', priority: -1, rank, needsCalls, workspace: '', weight: 1, arrivedAt: now, deadlineAt: now + 60_000 })
}

/** Lets a number of requests that need the target only run at once and end. */
async function enterAndEnd (gate: ReturnType<typeof createGate>, count: number) {
  for (let entered = 0; entered < count; entered++) assert.deepEqual(await enter(gate, `working ${entered}`, false, 0), { type: 'started' })
  for (let ended = 0; ended < count; ended++) gate.exit(undefined, `working ${ended}`)
}

test('requests that wait for their calls leave slots to those that need the target only, until they end', async () => {
  const gate = createGate(slots, clock, { isRanked: true })
  await enterAndEnd(gate, 3)
  for (let count = 0; count < 17; count++) {
    assert.deepEqual(enter(gate, `holder ${count}`, true), { type: 'started' })
    gate.callStarted()
  }
  assert.deepEqual([gate.waitingSlots(), gate.reservedSlots()], [17, 3])
  const kept = enter(gate, 'kept waiting', true)
  assert.ok(kept instanceof Promise)
  for (let count = 0; count < 3; count++) assert.deepEqual(enter(gate, `direct ${count}`, false, 0), { type: 'started' })
  gate.exit(undefined, 'direct 0')
  gate.callEnded()
  gate.exit(undefined, 'holder 0')
  assert.deepEqual(await kept, { type: 'started' })
  assert.equal(gate.running(), slots - 1)
  gate.close()
})

test('slots held by waiting requests are still known after another process of the target has started', () => {
  const gate = createGate(slots, clock, { isRanked: true })
  for (let count = 0; count < 4; count++) void enter(gate, `holder ${count}`, true)
  for (let count = 0; count < 4; count++) gate.callStarted()
  gate.reset(slots)
  assert.equal(gate.waitingSlots(), 4)
  for (let count = 0; count < 4; count++) gate.callEnded()
  for (let count = 0; count < 4; count++) gate.exit(undefined, `holder ${count}`)
  assert.deepEqual([gate.waitingSlots(), gate.running()], [0, 0])
  gate.close()
})

test('slots stay reserved only while requests come that can use them', async () => {
  now = 0
  const gate = createGate(slots, clock, { isRanked: true })
  await enterAndEnd(gate, 1)
  for (let count = 0; count < 17; count++) {
    void enter(gate, `holder ${count}`, true)
    gate.callStarted()
  }
  assert.equal(gate.reservedSlots(), 1, 'no more than were needed at once')
  await enterAndEnd(gate, 3)
  assert.equal(gate.reservedSlots(), 3)
  now = 10_000
  assert.equal(gate.reservedSlots(), 0)
  assert.deepEqual(enter(gate, 'last', true), { type: 'started' })
  gate.close()
})

test('new requests are not refused for calls in progress of a higher rank, nor for calls that are kept out of reserved slots', () => {
  now = 0
  const gate = createGate(slots, clock, { isRanked: true })
  const classes = [{ rank: 0, needsCalls: false }, { rank: 2, needsCalls: false }, { rank: 2, needsCalls: true }]
  const fractions = () => classes.map(({ rank, needsCalls }) => gate.admissionFraction(rank, needsCalls))
  assert.deepEqual(fractions(), [1, 1, 1])
  const startsLate = (id: string, needsCalls: boolean, rank: number) => {
    for (let count = gate.running(); count < slots; count++) void enter(gate, `${id} ${count}`, false)
    assert.ok(enter(gate, id, needsCalls, rank) instanceof Promise)
    now += 300
    gate.exit(undefined)
    now += 500
  }
  startsLate('chained', true, 2)
  assert.deepEqual(fractions().map((fraction) => fraction < 1), [false, false, true])
  startsLate('low', false, 2)
  assert.deepEqual(fractions().map((fraction) => fraction < 1), [false, true, true])
  startsLate('high', false, 0)
  assert.deepEqual(fractions().map((fraction) => fraction < 1), [true, true, true])
  gate.close()
})

test('a gate without ranks neither counts nor reserves', () => {
  const gate = createGate(slots, clock)
  for (let count = 0; count < slots; count++) {
    assert.deepEqual(enter(gate, `holder ${count}`, true), { type: 'started' })
    gate.callStarted()
  }
  assert.deepEqual([gate.waitingSlots(), gate.reservedSlots()], [0, 0])
  gate.close()
})
