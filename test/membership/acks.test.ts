import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createMembership, step } from '../../src/core/membership/index.ts'
import type { Effect, Event, Member, State } from '../../src/core/membership/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const random = createRandom(1)

function createMember (id: string, startedAt = 1000): Member {
  return { id, startedAt, boot: `${id}-${startedAt}`, incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: `127.0.0.${id.charCodeAt(0)}:7000` }
}

function advance (state: State, event: Event, now: number): Effect[] {
  return step(state, event, now, random)
}

/** Creates a process that knows two members and has just probed one of them. */
function createProber (startedAt = 1000) {
  const state = createMembership(createMember('a', startedAt), [], 0)
  advance(state, { type: 'merge', members: [createMember('b'), createMember('c')], domain: 'd' }, 0)
  const ping = advance(state, { type: 'tick' }, 0).find((effect) => effect.type === 'send' && effect.packet.type === 'ping')
  assert.ok(ping?.type === 'send' && ping.packet.type === 'ping')
  return { state, sequence: ping.packet.sequence, probed: state.probes[0].id }
}

function ack (state: State, from: Member, sequence: number): void {
  advance(state, { type: 'packet', packet: { type: 'ack', sequence, from, updates: [], digest: 0 }, address: from.address }, 100)
}

// Guards against a member that counts as alive by the answer of another, or of a process before it.
test('an ack counts for the member that was probed', () => {
  const { state, sequence, probed } = createProber()
  ack(state, createMember(probed === 'b' ? 'c' : 'b'), sequence)
  assert.equal(state.probes.length, 1)
  ack(state, createMember(probed), sequence)
  assert.equal(state.probes.length, 0)
})

test('an ack of an earlier process of the member does not count', () => {
  const { state, sequence, probed } = createProber()
  ack(state, createMember(probed, 900), sequence)
  assert.equal(state.probes.length, 1)
})

test('an ack to an earlier process does not count', () => {
  const earlier = createProber(1000)
  const { state } = createProber(5000)
  for (const member of ['b', 'c']) ack(state, createMember(member), earlier.sequence)
  assert.equal(state.probes.length, 1)
})

test('an ack is relayed for the member that was to be pinged only', () => {
  const state = createMembership(createMember('a'), [], 0)
  const asker = createMember('b')
  const target = createMember('c')
  const pings = advance(state, { type: 'packet', packet: { type: 'ping-request', sequence: 7, from: asker, address: target.address, updates: [], digest: 0 }, address: asker.address }, 0)
  const ping = pings.find((effect) => effect.type === 'send' && effect.address === target.address)
  assert.ok(ping?.type === 'send' && ping.packet.type === 'ping')
  const { sequence } = ping.packet
  const relayedFrom = (from: Member) => advance(state, { type: 'packet', packet: { type: 'ack', sequence, from, updates: [], digest: 0 }, address: from.address }, 50)
    .filter((effect) => effect.type === 'send' && effect.address === asker.address).length
  assert.equal(relayedFrom(createMember('d')), 0)
  assert.equal(relayedFrom(target), 1)
})
