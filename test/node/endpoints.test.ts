import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Member, Target } from '../../src/core/membership/index.ts'
import { endpointsByService } from '../../src/core/node/attempts.ts'

function member (id: string, status: Member['status'], state: Target['state']): Member {
  const target = { service: 's', slots: 1, connections: 1, state, startedAt: 0 }
  return { id, startedAt: 0, boot: id, incarnation: 0, status, role: 'node', domain: 'd', address: id, target }
}

function endpointNodes (...members: Member[]): string[] {
  return (endpointsByService(members, { of: () => undefined }).get('s') ?? []).map(({ node }) => node)
}

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
