import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Member } from '../../src/core/consensus/index.ts'
import { planComposition, replaceVoterAfterMs, watchMembers } from '../../src/core/control/composition.ts'
import type { GroupView, LivingInstance } from '../../src/core/control/composition.ts'

function voter (id: string): Member {
  return { id, address: `10.0.0.${id.charCodeAt(0)}:1`, voter: true }
}

function standby (id: string): Member {
  return { ...voter(id), voter: false, standby: true }
}

function living (...ids: string[]): LivingInstance[] {
  return ids.map((id) => ({ id, address: voter(id).address, startedAt: 0 }))
}

function view (members: Member[], alive: LivingInstance[], changes: Partial<GroupView> = {}): GroupView {
  return { self: 'a', members, living: alive, missingSince: new Map(), isCaughtUp: () => true, ...changes }
}

function ids (members: readonly Member[] | undefined): string[] | undefined {
  return members?.map(({ id, voter: votes }) => votes ? id : `${id}?`)
}

test('a complete group stays as it is', () => {
  assert.equal(planComposition(view([voter('a'), voter('b'), voter('c'), standby('d')], living('a', 'b', 'c', 'd')), 0), undefined)
})

test('a fourth instance follows without a vote', () => {
  const planned = planComposition(view([voter('a'), voter('b'), voter('c')], living('a', 'b', 'c', 'd')), 0)
  assert.deepEqual(ids(planned), ['a', 'b', 'c', 'd?'])
  assert.equal(planned?.[3].standby, true)
})

test('a member that comes back under a new id is replaced step by step, one voter at a time', () => {
  const reborn = { id: 'c-new', address: voter('c').address, startedAt: 5 }
  const alive = [...living('a', 'b', 'c'), reborn]
  let members: Member[] = [voter('a'), voter('b'), voter('c')]
  const steps: unknown[] = []
  for (let planned; (planned = planComposition(view(members, alive), 0)) !== undefined; members = planned) steps.push(ids(planned))
  assert.deepEqual(steps, [['a', 'b'], ['a', 'b', 'c-new?'], ['a', 'b', 'c-new']])
})

test('the place of a voter that is missing for long goes to a standby that has caught up', () => {
  const missingSince = new Map([['c', 0]])
  const members = [voter('a'), voter('b'), voter('c'), standby('d')]
  const alive = living('a', 'b', 'd')
  assert.equal(planComposition(view(members, alive, { missingSince }), replaceVoterAfterMs - 1), undefined)
  assert.equal(planComposition(view(members, alive, { missingSince, isCaughtUp: () => false }), replaceVoterAfterMs), undefined)
  const promoted = planComposition(view(members, alive, { missingSince }), replaceVoterAfterMs)
  assert.deepEqual(ids(promoted), ['a', 'b', 'c', 'd'])
  assert.deepEqual(ids(planComposition(view(promoted ?? [], alive, { missingSince }), replaceVoterAfterMs)), ['a', 'b', 'd'])
})

test('the leader never removes itself, and a missing voter stays while nobody can take its place', () => {
  const missingSince = new Map([['a', 0], ['b', 0]])
  assert.equal(planComposition(view([voter('a'), voter('b'), voter('c')], living('c'), { missingSince }), 1e6), undefined)
})

test('absence is counted from when a member was first missed', () => {
  const missingSince = new Map<string, number>()
  const members = [voter('a'), voter('b')]
  watchMembers(missingSince, members, living('a'), 10)
  watchMembers(missingSince, members, living('a'), 20)
  assert.deepEqual([...missingSince], [['b', 10]])
  watchMembers(missingSince, members, living('a', 'b'), 30)
  assert.deepEqual([...missingSince], [])
})
