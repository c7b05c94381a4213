import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Member } from '../../src/core/consensus/index.ts'
import { planMembershipChange, removeLearnerAfterMs, replaceAfterMs, trackMissing } from '../../src/core/control/composition.ts'
import type { GroupView, LiveInstance } from '../../src/core/control/composition.ts'

function voter (id: string): Member {
  return { id, address: `10.0.0.${id.charCodeAt(0)}:1`, voter: true }
}

function standby (id: string): Member {
  return { ...voter(id), voter: false, standby: true }
}

function liveInstances (...ids: string[]): LiveInstance[] {
  return ids.map((id) => ({ id, address: voter(id).address, startedAt: 0 }))
}

function view (members: Member[], alive: LiveInstance[], changes: Partial<GroupView> = {}): GroupView {
  return { self: 'a', members, liveInstances: alive, missingSince: new Map(), isCaughtUp: () => true, faultTolerance: 1, ...changes }
}

function ids (members: readonly Member[] | undefined): string[] | undefined {
  return members?.map(({ id, voter: votes }) => votes ? id : `${id}?`)
}

test('plans no change for a complete group', () => {
  assert.equal(planMembershipChange(view([voter('a'), voter('b'), voter('c'), standby('d')], liveInstances('a', 'b', 'c', 'd')), 0), undefined)
})

test('adds a fourth instance as a standby without a vote', () => {
  const planned = planMembershipChange(view([voter('a'), voter('b'), voter('c')], liveInstances('a', 'b', 'c', 'd')), 0)
  assert.deepEqual(ids(planned), ['a', 'b', 'c', 'd?'])
  assert.equal(planned?.[3].standby, true)
})

test('replaces a member that returns under a new id step by step, one voter at a time', () => {
  const restarted = { id: 'c-new', address: voter('c').address, startedAt: 5 }
  const alive = [...liveInstances('a', 'b', 'c'), restarted]
  let members: Member[] = [voter('a'), voter('b'), voter('c')]
  const steps: unknown[] = []
  for (let planned; (planned = planMembershipChange(view(members, alive), 0)) !== undefined; members = planned) steps.push(ids(planned))
  assert.deepEqual(steps, [['a', 'b'], ['a', 'b', 'c-new?'], ['a', 'b', 'c-new']])
})

test('replaces a voter that has been missing for replaceAfterMs by a standby that has caught up', () => {
  const missingSince = new Map([['c', 0]])
  const members = [voter('a'), voter('b'), voter('c'), standby('d')]
  const alive = liveInstances('a', 'b', 'd')
  assert.equal(planMembershipChange(view(members, alive, { missingSince }), replaceAfterMs - 1), undefined)
  assert.equal(planMembershipChange(view(members, alive, { missingSince, isCaughtUp: () => false }), replaceAfterMs), undefined)
  const promoted = planMembershipChange(view(members, alive, { missingSince }), replaceAfterMs)
  assert.deepEqual(ids(promoted), ['a', 'b', 'c', 'd'])
  assert.deepEqual(ids(planMembershipChange(view(promoted ?? [], alive, { missingSince }), replaceAfterMs)), ['a', 'b', 'd'])
})

test('never removes the leader, and keeps a missing voter while no standby can replace it', () => {
  const missingSince = new Map([['a', 0], ['b', 0]])
  assert.equal(planMembershipChange(view([voter('a'), voter('b'), voter('c')], liveInstances('c'), { missingSince }), 1e6), undefined)
})

test('counts the absence of a member from when it was first found missing', () => {
  const missingSince = new Map<string, number>()
  const members = [voter('a'), voter('b')]
  trackMissing(missingSince, members, liveInstances('a'), 10)
  trackMissing(missingSince, members, liveInstances('a'), 20)
  assert.deepEqual([...missingSince], [['b', 10]])
  trackMissing(missingSince, members, liveInstances('a', 'b'), 30)
  assert.deepEqual([...missingSince], [])
})

test('a large group that loses sight of instances for a while keeps the voters that bear two lost disks', () => {
  const members = [...['a', 'b', 'c', 'd', 'e'].map(voter), standby('f'), standby('g')]
  const missingSince = new Map(['d', 'e', 'f', 'g'].map((id) => [id, 0]))
  const alive = liveInstances('a', 'b', 'c')
  assert.equal(planMembershipChange(view(members, alive, { missingSince }), replaceAfterMs), undefined)
  assert.deepEqual(ids(planMembershipChange(view(members, alive, { missingSince }), removeLearnerAfterMs)), ['a', 'b', 'c', 'e', 'f?', 'g?'])
})
