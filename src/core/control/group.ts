import { randomId } from '../auth/index.ts'
import { createState, membersOf, step } from '../consensus/index.ts'
import type { Effect, Entry, Event, Member, Message, Snapshot, State, Stored } from '../consensus/index.ts'
import { fail } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import type { LogStore } from '../storage/index.ts'
import type { Environment } from '../peers/index.ts'

const tickMs = 25
const proposalTimeoutMs = 3000

/** Entries between two snapshots. */
export const snapshotEvery = 1000

/** What the group applies its entries to. */
export interface Machine {
  apply: (command: unknown) => unknown
  save: () => unknown
  restore: (state: unknown) => void
}

/** Runs the consensus core of one instance against its disk and its network. */
export interface Group {
  state: State
  receive: (from: string, message: Message) => void
  /** Proposes a command and waits until it is applied here. */
  propose: (command: unknown) => Promise<Outcome<unknown>>
  changeMembers: (change: (members: Member[]) => Member[]) => Promise<Outcome<unknown>>
  /** Succeeds once a quorum has confirmed, after the call, that this instance leads and knows all that was acknowledged. */
  confirm: () => Promise<Outcome<unknown>>
  /** Hands leadership over before a planned stop. */
  transfer: () => void
  /** Why the storage no longer works, or undefined. */
  failure: () => string | undefined
  /** Monotonic time at which this instance last became leader. */
  leaderSince: () => number
  close: () => void
}

/** Opens the group on what the storage holds. `send` must not block. */
export function createGroup (
  id: string,
  stored: Stored,
  store: LogStore,
  machine: Machine,
  send: (to: string, message: Message) => void,
  environment: Environment
): Group {
  const { clock, random, log } = environment
  const state = createState(id, stored, clock.now(), random)
  const pending = new Map<string, (result: Outcome<unknown>) => void>()
  let members = stored.snapshot.members
  let applied = stored.snapshot.index
  let appliedTerm = stored.snapshot.term
  let failure: string | undefined
  let role = state.role
  let leaderSince = -Infinity
  if (stored.snapshot.state !== null) machine.restore(stored.snapshot.state)

  const advance = (event: Event) => {
    if (failure !== undefined) return
    for (const effect of step(state, event, clock.now(), random)) {
      if (failure !== undefined) return
      carryOut(effect)
    }
    if (state.role === 'leader' && role !== 'leader') leaderSince = clock.now()
    if (state.role !== role) log.info('consensus role changed', { role: state.role, term: state.hardState.term })
    role = state.role
  }
  const carryOut = (effect: Effect) => {
    switch (effect.type) {
      case 'save': guard(() => store.save(effect.hardState, effect.entries ?? [])); break
      case 'snapshot':
        guard(() => store.saveSnapshot(effect.snapshot, state.hardState, effect.entries))
        if (effect.restore && failure === undefined) restore(effect.snapshot)
        break
      case 'send': send(effect.to, effect.message); break
      case 'apply': apply(effect.entry); break
      case 'confirm': settle(effect.id, { ok: true, value: null }); break
      case 'refuse': settle(effect.id, fail('noLeader', { reason: effect.reason })); break
    }
  }
  const guard = (write: () => void) => {
    try {
      write()
    } catch (error) {
      failure = error instanceof Error ? error.message : String(error)
      log.error('storage failed; this instance takes no further part until it is restarted', { failure })
      for (const proposal of pending.keys()) settle(proposal, fail('outcomeUnknown', { reason: 'the storage of the leader failed' }))
    }
  }
  const settle = (proposal: string, result: Outcome<unknown>) => {
    pending.get(proposal)?.(result)
    pending.delete(proposal)
  }
  const restore = (snapshot: Snapshot) => {
    machine.restore(snapshot.state)
    members = snapshot.members
    applied = snapshot.index
    appliedTerm = snapshot.term
  }
  const apply = (entry: Entry) => {
    applied = entry.index
    appliedTerm = entry.term
    if (entry.payload.type === 'members') members = entry.payload.members
    const value = entry.payload.type === 'command' ? machine.apply(entry.payload.command) : null
    settle(entry.id, { ok: true, value })
    if (applied - state.snapshot.index >= snapshotEvery) setImmediate(compact)
  }
  const compact = () => {
    if (applied - state.snapshot.index < snapshotEvery) return
    advance({ type: 'compact', snapshot: { index: applied, term: appliedTerm, members, state: machine.save() } })
  }
  const submit = (event: (proposal: string) => Event) => new Promise<Outcome<unknown>>((resolve) => {
    const proposal = randomId()
    if (failure !== undefined) return resolve(fail('noLeader', { reason: `storage failed: ${failure}` }))
    const timeout = setTimeout(() => settle(proposal, fail('outcomeUnknown', { reason: 'no quorum answered in time' })), proposalTimeoutMs)
    pending.set(proposal, (result) => {
      clearTimeout(timeout)
      resolve(result)
    })
    advance(event(proposal))
  })
  const timer = setInterval(() => advance({ type: 'tick' }), tickMs)
  return {
    state,
    receive: (from, message) => advance({ type: 'message', from, message }),
    propose: (command) => submit((proposal) => ({ type: 'propose', id: proposal, command })),
    changeMembers: (change) => submit((proposal) => ({ type: 'change-members', id: proposal, members: change(membersOf(state)) })),
    confirm: () => submit((proposal) => ({ type: 'read', id: proposal })),
    transfer: () => advance({ type: 'transfer' }),
    failure: () => failure,
    leaderSince: () => leaderSince,
    close: () => clearInterval(timer)
  }
}
