import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Member, Target } from '../../src/core/membership/index.ts'
import { countEndpoints, endpointsByService, nextEndpoints } from '../../src/core/node/endpoints.ts'

function member (id: string, status: Member['status'], state: Target['state']): Member {
  const target = { service: 's', slots: 1, connections: 1, state, startedAt: 0 }
  return { id, startedAt: 0, boot: id, incarnation: 0, status, role: 'node', domain: 'd', address: id, target }
}

/** Times in ms at which the nodes named by the keys stop. */
type StopEnds = Record<string, number>

function endpointsOf (members: Member[], stopEnds: StopEnds = {}) {
  return endpointsByService(members, { of: (boot) => boot in stopEnds ? { knownAt: 0, endsAt: stopEnds[boot] } : undefined }).get('s')
}

function nodesAfter (members: Member[], stopEnds: StopEnds, tried: string[] = [], refusedBy: string[] = []): string[] {
  return nextEndpoints(endpointsOf(members, stopEnds), { tried: new Set(tried), refusedBy: new Set(refusedBy), deadlineAt: 1000 }).map(({ node }) => node)
}

const endpointNodes = (...members: Member[]) => nodesAfter(members, {})
const leavingNode = (id: string) => member(id, 'alive', 'leaving')

test('healthy targets go before suspected ones, and those before leaving ones', () => {
  const leaving = member('leaving', 'alive', 'leaving')
  const suspected = member('suspected', 'suspect', 'up')
  const sound = member('sound', 'alive', 'up')
  const down = member('down', 'alive', 'down')
  assert.deepEqual(endpointNodes(down, leaving, suspected, sound), ['sound'])
  assert.deepEqual(endpointNodes(down, leaving, suspected), ['suspected'])
  assert.deepEqual(endpointNodes(down, leaving), ['leaving'])
  assert.deepEqual(endpointNodes(down), [])
})

test('a call is not sent to the node that stops first when another one stops after its deadline', () => {
  const members = ['early', 'late', 'later'].map(leavingNode)
  assert.deepEqual(nodesAfter(members, { early: 900, late: 1000, later: 5000 }), ['late', 'later'])
  assert.deepEqual(nodesAfter(members, { early: 100, late: 600, later: 900 }), ['late', 'later'])
  assert.deepEqual(nodesAfter(members, { early: 100, late: 600, later: 900 }, ['late', 'later']), ['early'])
})

test('a call refused by all nodes that stay is offered to a leaving one that has time for it, and to no other', () => {
  const members = [member('sound', 'alive', 'up'), ...['early', 'late', 'unknown'].map(leavingNode)]
  const stopEnds = { early: 900, late: 1000 }
  assert.deepEqual(nodesAfter(members, stopEnds), ['sound'])
  assert.deepEqual(nodesAfter(members, stopEnds, ['sound']), ['late'])
  assert.equal(countEndpoints(endpointsOf(members, stopEnds), 1000), 2)
})

test('a target that has refused a call does not get it again', () => {
  const members = [member('sound', 'alive', 'up'), leavingNode('late')]
  assert.deepEqual(nodesAfter(members, { late: 1000 }, ['sound', 'late'], ['sound']), ['late'])
  assert.deepEqual(nodesAfter(members, { late: 1000 }, ['sound', 'late'], ['sound', 'late']), [])
})
