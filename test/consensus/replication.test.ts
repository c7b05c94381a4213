import assert from 'node:assert/strict'
import { test } from 'node:test'
import { appendTimeoutMs, createState, heartbeatIntervalMs, maxAppendBytes, maxSnapshotPartLength, maxUncommittedBytes, step } from '../../src/core/consensus/index.ts'
import type { Effect, Event, Message, Snapshot, State } from '../../src/core/consensus/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const random = createRandom(1)
const members = ['a', 'b', 'c'].map((id) => ({ id, address: id, voter: true }))
const initial: Snapshot = { index: 0, term: 0, members, state: null }
const startedAt = 10_000
const largeCommand = 'x'.repeat(600_000)

function createInstance (id: string): State {
  return createState(id, { hardState: { term: 0, votedFor: null }, snapshot: initial, entries: [] }, 0, random)
}

function advance (state: State, event: Event, now = startedAt): Effect[] {
  return step(state, event, now, random)
}

function receive (state: State, from: string, message: Message, now?: number): Effect[] {
  return advance(state, { type: 'message', from, message }, now)
}

/** Creates a leader of term 1 with `count` large commands that `b` has acknowledged and `c` has never answered. */
function createLeader (count: number): State {
  const leader = createInstance('a')
  receive(leader, 'b', { type: 'timeout-now', term: 0 })
  receive(leader, 'b', { type: 'vote-reply', term: 1, granted: true })
  const acknowledge = (match: number) => receive(leader, 'b', { type: 'append-reply', term: 1, ok: true, match, sentAt: startedAt, round: 0 })
  acknowledge(1)
  for (let index = 1; index <= count; index++) {
    advance(leader, { type: 'propose', id: `p${index}`, command: largeCommand })
    acknowledge(index + 1)
  }
  assert.equal(leader.commit, count + 1)
  return leader
}

function sentTo (to: string, effects: readonly Effect[]): Message[] {
  return effects.flatMap((effect) => effect.type === 'send' && effect.to === to ? [effect.message] : [])
}

function entriesIn (messages: readonly Message[]): number {
  return messages.reduce((sum, message) => sum + (message.type === 'append' ? message.entries.length : 0), 0)
}

/** Answers a heartbeat as `c`, whose log is empty. */
function answer (leader: State, now: number): Effect[] {
  return receive(leader, 'c', { type: 'append-reply', term: 1, ok: true, match: 0, sentAt: now, round: 0 }, now)
}

test('a member that is far behind is not sent more bytes at a time than one message may hold', () => {
  const leader = createLeader(20)
  const now = startedAt + appendTimeoutMs
  const [message] = sentTo('c', answer(leader, now))
  assert.ok(message.type === 'append' && message.entries.length > 0)
  assert.ok(JSON.stringify(message.entries).length < maxAppendBytes + largeCommand.length)
})

test('entries whose acknowledgement can still come are not sent again', () => {
  const leader = createLeader(20)
  const now = startedAt + appendTimeoutMs
  assert.ok(entriesIn(sentTo('c', answer(leader, now))) > 0)
  let repeated = 0
  for (let time = now + 25; time < now + appendTimeoutMs; time += 25) {
    receive(leader, 'b', { type: 'append-reply', term: 1, ok: true, match: 21, sentAt: time, round: 0 }, time)
    repeated += entriesIn(sentTo('c', advance(leader, { type: 'tick' }, time)))
  }
  assert.equal(repeated, 0)
})

test('entries are sent again after they were lost and the member has answered a heartbeat', () => {
  const leader = createLeader(2)
  advance(leader, { type: 'undelivered', to: 'c', sentAt: startedAt })
  const later = startedAt + heartbeatIntervalMs
  assert.equal(entriesIn(sentTo('c', advance(leader, { type: 'tick' }, later))), 0)
  assert.ok(entriesIn(sentTo('c', answer(leader, later))) > 0)
})

/** Lets `c` receive the leader's messages until none is left; `isLost` decides which of them do not arrive. Returns the parts of snapshots that were sent. */
function replicateTo (follower: State, leader: State, isLost: (sent: number) => boolean): Message[] {
  const parts: Message[] = []
  let sent = 0
  for (let now = startedAt + appendTimeoutMs; now < startedAt + 60_000; now += heartbeatIntervalMs) {
    receive(leader, 'b', { type: 'append-reply', term: 1, ok: true, match: leader.commit, sentAt: now, round: 0 }, now)
    const waiting = sentTo('c', advance(leader, { type: 'tick' }, now))
    for (let message = waiting.shift(); message !== undefined; message = waiting.shift()) {
      if (message.type === 'snapshot') parts.push(message)
      if (isLost(sent++)) continue
      for (const reply of sentTo('a', receive(follower, 'a', message, now))) waiting.push(...sentTo('c', receive(leader, 'c', reply, now)))
    }
  }
  return parts
}

for (const [name, isLost] of [['no message', () => false], ['every third message', (sent: number) => sent % 3 === 2]] as const) {
  test(`a large snapshot reaches an empty member whole, in bounded parts, when ${name} is lost`, () => {
    const leader = createLeader(3)
    const text = JSON.stringify([...Array(400_000).keys()])
    advance(leader, { type: 'compact', snapshot: { index: 4, term: 1, members, state: text } })
    const follower = createInstance('c')
    const parts = replicateTo(follower, leader, isLost)
    assert.equal(follower.snapshot.state, text)
    assert.equal(follower.commit, leader.commit)
    assert.ok(parts.length >= text.length / maxSnapshotPartLength)
    assert.ok(parts.every((part) => part.type === 'snapshot' && part.text.length <= maxSnapshotPartLength))
  })
}

test('a leader goes on with the snapshot that it began to send when it makes a newer one', () => {
  const leader = createLeader(3)
  const text = 's'.repeat(3 * maxSnapshotPartLength)
  advance(leader, { type: 'compact', snapshot: { index: 3, term: 1, members, state: text } })
  const now = startedAt + appendTimeoutMs
  const [first] = sentTo('c', answer(leader, now))
  assert.ok(first.type === 'snapshot')
  advance(leader, { type: 'compact', snapshot: { index: 4, term: 1, members, state: `${text}!` } })
  const [second] = sentTo('c', receive(leader, 'c', { type: 'snapshot-reply', term: 1, index: 3, received: first.text.length, sentAt: now, round: 0 }, now))
  assert.ok(second.type === 'snapshot')
  assert.deepEqual([second.index, second.offset], [3, maxSnapshotPartLength])
})

test('changes that no quorum has taken do not fill the memory of the leader', () => {
  const leader = createLeader(0)
  const refused = [...Array(40).keys()].flatMap((index) => advance(leader, { type: 'propose', id: `p${index}`, command: largeCommand }))
    .flatMap((effect) => effect.type === 'refuse' ? [effect.id] : [])
  assert.ok(refused.length > 30 && refused.length < 40)
  const bytes = leader.entries.reduce((sum, entry) => sum + JSON.stringify(entry).length, 0)
  assert.ok(bytes < maxUncommittedBytes + 2 * largeCommand.length)
})
