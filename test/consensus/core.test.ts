import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createState, holdsLease, leaseMs, maxElectionTimeoutMs, step } from '../../src/core/consensus/index.ts'
import type { Effect, Message, State } from '../../src/core/consensus/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const random = createRandom(1)
const members = ['a', 'b', 'c'].map((id) => ({ id, address: id, voter: true }))

function receive (state: State, from: string, message: Message): Effect[] {
  return step(state, { type: 'message', from, message }, 10_000, random)
}

/** Creates a leader of term 1 whose first entry `b` has acknowledged. */
function createLeader (): State {
  const snapshot = { index: 0, term: 0, members, state: null }
  const state = createState('a', { hardState: { term: 0, votedFor: null }, snapshot, entries: [] }, 0, random)
  receive(state, 'b', { type: 'timeout-now', term: 0 })
  receive(state, 'b', { type: 'vote-reply', term: 1, granted: true })
  receive(state, 'b', { type: 'append-reply', term: 1, ok: true, match: 1, sentAt: 10_000, round: 0 })
  assert.deepEqual([state.role, state.commit], ['leader', 1])
  return state
}

test('a follower that lost acknowledged entries triggers no burst of appends', () => {
  const leader = createLeader()
  for (let count = 0; count < 3; count++) {
    assert.deepEqual(receive(leader, 'b', { type: 'append-reply', term: 1, ok: false, match: 0, sentAt: 10_000, round: 0 }), [])
  }
})

test('a vote is synced before it is sent', () => {
  const snapshot = { index: 0, term: 0, members, state: null }
  const state = createState('a', { hardState: { term: 0, votedFor: null }, snapshot, entries: [] }, 0, random)
  const effects = receive(state, 'b', { type: 'vote', term: 1, lastIndex: 0, lastTerm: 0, transfer: false })
  assert.deepEqual(effects.map((effect) => effect.type), ['save', 'save', 'send'])
})

test('an entry is synced before it is sent or applied', () => {
  const leader = createLeader()
  const effects = step(leader, { type: 'propose', id: 'p', command: 1 }, 10_000, random)
  assert.equal(effects[0].type, 'save')
})

test('a second member change is refused while the first is uncommitted', () => {
  const leader = createLeader()
  const added = [...members, { id: 'd', address: 'd', voter: false }]
  step(leader, { type: 'change-members', id: 'one', members: added }, 10_000, random)
  const effects = step(leader, { type: 'change-members', id: 'two', members }, 10_000, random)
  assert.equal(effects[0].type, 'refuse')
})

/** Acknowledges, as `b`, the newest append sent to it in `effects`. */
function acknowledge (leader: State, effects: readonly Effect[], match: number): Effect[] {
  const sent = effects.findLast((effect) => effect.type === 'send' && effect.to === 'b' && effect.message.type === 'append')
  assert.ok(sent?.type === 'send' && sent.message.type === 'append')
  const { sentAt, round } = sent.message
  return receive(leader, 'b', { type: 'append-reply', term: 1, ok: true, match, sentAt, round })
}

function confirmed (effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) => effect.type === 'confirm' ? [effect.id] : [])
}

test('a read is confirmed once a quorum acknowledges a message sent after it', () => {
  const leader = createLeader()
  const asked = step(leader, { type: 'read', id: 'r' }, 10_000, random)
  assert.deepEqual(confirmed(asked), [])
  assert.deepEqual(confirmed(acknowledge(leader, asked, 1)), ['r'])
})

test('an acknowledgement of a message sent before a read does not confirm it, even at the same clock reading', () => {
  const leader = createLeader()
  const before = step(leader, { type: 'propose', id: 'p', command: 1 }, 10_000, random)
  step(leader, { type: 'read', id: 'r' }, 10_000, random)
  assert.deepEqual(confirmed(acknowledge(leader, before, 2)), [])
})

test('a leader that receives an append of a newer term refuses its pending reads', () => {
  const leader = createLeader()
  step(leader, { type: 'read', id: 'r' }, 10_000, random)
  const effects = receive(leader, 'c', { type: 'append', term: 2, previousIndex: 0, previousTerm: 0, entries: [], commit: 0, sentAt: 0, round: 0 })
  assert.deepEqual(effects.flatMap((effect) => effect.type === 'refuse' ? [effect.id] : []), ['r'])
})

test('a follower refuses a read', () => {
  const snapshot = { index: 0, term: 0, members, state: null }
  const state = createState('a', { hardState: { term: 0, votedFor: null }, snapshot, entries: [] }, 0, random)
  assert.equal(step(state, { type: 'read', id: 'r' }, 0, random)[0].type, 'refuse')
})

test('a standby that has caught up is not promoted automatically, another learner is', () => {
  for (const standby of [true, false]) {
    const leader = createLeader()
    const added = step(leader, { type: 'change-members', id: 'm', members: [...members, { id: 'd', address: 'd', voter: false, standby }] }, 10_000, random)
    acknowledge(leader, added, 2)
    receive(leader, 'd', { type: 'append-reply', term: 1, ok: true, match: 2, sentAt: 10_000, round: 0 })
    step(leader, { type: 'tick' }, 10_001, random)
    const promoted = leader.entries.some(({ payload }) => payload.type === 'members' && payload.members.some(({ id, voter }) => id === 'd' && voter))
    assert.equal(promoted, !standby)
  }
})

test('the time that a start takes counts towards the election timeout', () => {
  const stored = { hardState: { term: 1, votedFor: null }, snapshot: { index: 0, term: 0, members, state: null }, entries: [] }
  const state = createState('a', stored, -maxElectionTimeoutMs, random)
  const effects = step(state, { type: 'tick' }, 25, random)
  assert.deepEqual(effects.map((effect) => effect.type === 'send' ? effect.message.type : effect.type), ['prevote', 'prevote'])
})

/** Creates a leader of term 2 whose first entry of that term \`b\` has acknowledged. Its earlier process led term 1. */
function createLeaderAgain (): State {
  const snapshot = { index: 0, term: 0, members, state: null }
  const state = createState('a', { hardState: { term: 1, votedFor: 'a' }, snapshot, entries: [] }, 0, random)
  receive(state, 'b', { type: 'timeout-now', term: 1 })
  receive(state, 'b', { type: 'vote-reply', term: 2, granted: true })
  receive(state, 'b', { type: 'append-reply', term: 2, ok: true, match: 1, sentAt: 10_000, round: 0 })
  assert.deepEqual([state.role, state.commit, holdsLease(state, 10_000)], ['leader', 1, true])
  return state
}

/** Returns the answer of \`c\`, which has heard of term 2, to an append that the leader of term 1 had sent. */
function answerToEarlierProcess (): Message {
  const snapshot = { index: 0, term: 0, members, state: null }
  const follower = createState('c', { hardState: { term: 2, votedFor: null }, snapshot, entries: [] }, 0, random)
  const effects = receive(follower, 'a', { type: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commit: 0, sentAt: 90_000, round: 50 })
  const sent = effects.find((effect) => effect.type === 'send')
  assert.ok(sent?.type === 'send' && sent.message.type === 'append-reply' && !sent.message.ok)
  return sent.message
}

// Guards against review/6: a leader took the answers to what its earlier process had sent for the own ones, and held its lease without a quorum.
test('an answer to a message of an earlier term neither extends the lease nor confirms a read', () => {
  const leader = createLeaderAgain()
  step(leader, { type: 'read', id: 'r' }, 10_000, random)
  const effects = receive(leader, 'c', answerToEarlierProcess())
  assert.deepEqual(confirmed(effects), [])
  assert.equal(holdsLease(leader, 10_000 + leaseMs), false)
})

test('a refusal that does not name the term of its message, as members of an earlier version send it, counts for neither', () => {
  const leader = createLeaderAgain()
  step(leader, { type: 'read', id: 'r' }, 10_000, random)
  const effects = receive(leader, 'c', { type: 'append-reply', term: 2, ok: false, match: 0, sentAt: 10_000, round: 1 })
  assert.deepEqual(confirmed(effects), [])
  assert.deepEqual(confirmed(receive(leader, 'c', { type: 'append-reply', term: 2, ok: true, match: 1, sentAt: 10_000, round: 1 })), ['r'])
})

test('a leader counts no answer to a message from its own future', () => {
  const leader = createLeaderAgain()
  step(leader, { type: 'read', id: 'r' }, 10_000, random)
  const effects = receive(leader, 'c', { type: 'append-reply', term: 2, ok: true, match: 1, sentAt: 90_000, round: 50 })
  assert.deepEqual(confirmed(effects), [])
  assert.equal(holdsLease(leader, 10_000 + leaseMs), false)
})
