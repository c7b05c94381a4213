import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createState, maxSnapshotPartLength, step } from '../../src/core/consensus/index.ts'
import type { Effect, HardState, Message, Snapshot, State } from '../../src/core/consensus/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const random = createRandom(1)
const members = ['a', 'b', 'c'].map((id) => ({ id, address: id, voter: true }))
const initial: Snapshot = { index: 0, term: 0, members, state: null }
const startedAt = 10_000

/** Time between two rounds, after which a message may be sent again, in ms. */
const roundMs = 1000

/** Text of the snapshot at an index; those of all indexes have the same length. */
function textAt (index: number): string {
  return String(index).padStart(4, '0').repeat(maxSnapshotPartLength * 5 / 8)
}

/** Creates an instance that starts with a snapshot. */
function createInstance (id: string, snapshot: Snapshot, hardState: HardState): State {
  return createState(id, { hardState, snapshot, entries: [] }, 0, random)
}

/** Returns the member that is neither `id` nor the receiver. */
function otherThan (id: string): string {
  return id === 'a' ? 'b' : 'a'
}

/** Creates a leader whose log begins with the snapshot at `index`, in the term after `term`. */
function createLeader (id: string, index: number, term: number): State {
  const leader = createInstance(id, { index, term, members, state: textAt(index) }, { term, votedFor: null })
  const from = otherThan(id)
  step(leader, { type: 'message', from, message: { type: 'timeout-now', term } }, startedAt, random)
  step(leader, { type: 'message', from, message: { type: 'vote-reply', term: term + 1, granted: true } }, startedAt, random)
  assert.equal(leader.role, 'leader')
  return leader
}

function sentTo (to: string, effects: readonly Effect[]): Message[] {
  return effects.flatMap((effect) => effect.type === 'send' && effect.to === to ? [effect.message] : [])
}

/** What happens to one message of the leader, and before it: the receiver loses its power, or another leader begins to send its snapshot. */
const fate = fc.constantFrom('arrives', 'arrives', 'arrives', 'is lost', 'arrives twice', 'arrives late', 'power fails', 'leader changes')

test('a snapshot whose parts are lost, repeated, late, cut by a power loss or mixed with those of another is never taken for whole', () => {
  let installed = 0
  fc.assert(fc.property(fc.array(fate, { minLength: 8, maxLength: 30 }), (fates) => {
    let leader = createLeader('a', 7, 1)
    let follower = createInstance('c', initial, { term: 0, votedFor: null })
    const late: Array<{ from: string, message: Message }> = []
    let now = startedAt
    const receive = (from: string, message: Message) => {
      const effects = step(follower, { type: 'message', from, message }, now, random)
      for (const effect of effects) {
        if (effect.type !== 'snapshot') continue
        assert.ok(effect.snapshot.state === textAt(effect.snapshot.index), `the snapshot at ${effect.snapshot.index} is not whole`)
        installed++
      }
      return sentTo(from, effects)
    }
    const pass = (what: string, message: Message): Message[] => {
      if (what === 'is lost') return []
      if (what === 'arrives late') {
        late.push({ from: leader.id, message })
        return []
      }
      const replies = receive(leader.id, message)
      if (what === 'arrives twice') replies.push(...receive(leader.id, message))
      return replies.flatMap((reply) => sentTo('c', step(leader, { type: 'message', from: 'c', message: reply }, now, random)))
    }
    const nextRound = () => {
      now += roundMs
      const { term } = leader.hardState
      step(leader, { type: 'message', from: otherThan(leader.id), message: { type: 'append-reply', term, ok: true, match: 0, sentAt: now, round: 0 } }, now, random)
      return sentTo('c', step(leader, { type: 'tick' }, now, random))
    }
    let waiting: Message[] = []
    for (const [position, what] of fates.entries()) {
      if (what === 'power fails') follower = createInstance('c', follower.snapshot, follower.hardState)
      if (what === 'leader changes') {
        leader = createLeader(otherThan(leader.id), 7 + position, leader.hardState.term)
        waiting = []
      }
      if (waiting.length === 0) waiting = nextRound()
      const message = waiting.shift()
      if (message !== undefined) waiting.push(...pass(what, message))
      if (position % 3 === 2) for (const delayed of late.splice(0)) receive(delayed.from, delayed.message)
    }
  }), { seed: 5, numRuns: 100 })
  assert.ok(installed > 20, `${installed} snapshots were installed`)
})
