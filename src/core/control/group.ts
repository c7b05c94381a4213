import { randomId } from '../auth/index.ts'
import { createEffectRunner, createState, membersOf, step, totalBytes } from '../consensus/index.ts'
import type { Entry, Event, Member, Message, Snapshot, State, Stored } from '../consensus/index.ts'
import { fail } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import type { LogStore } from '../storage/index.ts'
import type { Environment } from '../peers/index.ts'

const tickMs = 25
const proposalTimeoutMs = 3000

/** Time between two attempts to write what the storage refused, in milliseconds. */
const storageRetryMs = 250

/** Number of log entries between two snapshots. */
export const snapshotEvery = 1000

/** Size of the applied entries at which a snapshot replaces them, in bytes. A larger snapshot lets them grow to its own size. */
export const snapshotEveryBytes = 2 * 1024 * 1024

/** State machine to which the group applies its committed commands. */
export interface StateMachine {
  apply: (command: unknown) => unknown
  save: () => string
  restore: (state: string) => void
}

/** Consensus of one instance, connected to its storage and its network. */
export interface Group {
  state: State
  receive: (from: string, message: Message) => void
  /** Proposes a command and waits until this instance has applied it. */
  propose: (command: unknown) => Promise<Outcome<unknown>>
  changeMembers: (change: (members: Member[]) => Member[]) => Promise<Outcome<unknown>>
  /** Asks a quorum to confirm that this instance is still leader. Succeeds once it has done so and every command acknowledged before the call is applied here. */
  confirmLeadership: () => Promise<Outcome<unknown>>
  /** Transfers leadership to another member before a planned stop. */
  transferLeadership: () => void
  /** Returns the error of the write that the storage refused, or undefined while it works. */
  storageFailure: () => string | undefined
  /** Returns the monotonic time in ms at which this instance last became leader. */
  leaderSince: () => number
  close: () => void
}

/** Sends a message to a member without waiting, and calls `onLost` if it did not arrive. */
export type SendMessage = (to: string, message: Message, onLost: () => void) => void

/** Creates the group from the stored state, in a process that started at `startedAt`. */
export function createGroup (
  id: string,
  stored: Stored,
  store: LogStore,
  machine: StateMachine,
  send: SendMessage,
  environment: Environment,
  startedAt = environment.clock.now()
): Group {
  const { clock, random, log, metrics } = environment
  const state = createState(id, stored, startedAt, random)
  const pendingProposals = new Map<string, (result: Outcome<unknown>) => void>()
  let members = stored.snapshot.members
  let appliedIndex = stored.snapshot.index
  let appliedTerm = stored.snapshot.term
  let retryTimer: NodeJS.Timeout | undefined
  let lastRole = state.role
  let leaderSince = -Infinity
  if (stored.snapshot.state !== null) machine.restore(stored.snapshot.state)

  const handleEvent = (event: Event) => {
    if (runner.failure() !== undefined) return
    runner.run(step(state, event, clock.now(), random))
    if (runner.failure() !== undefined) waitForStorage()
    noteRole()
  }
  const noteRole = () => {
    if (state.role === lastRole) return
    if (state.role === 'leader') leaderSince = clock.now()
    log.info('consensus role changed', { role: state.role, term: state.hardState.term })
    lastRole = state.role
  }
  const runner = createEffectRunner(store, () => state.hardState, (effect) => {
    switch (effect.type) {
      case 'snapshot':
        if (effect.restore) restoreSnapshot(effect.snapshot)
        break
      case 'send': sendMessage(effect.to, effect.message); break
      case 'apply': applyEntry(effect.entry); break
      case 'confirm': resolveProposal(effect.id, { ok: true, value: null }); break
      case 'refuse': resolveProposal(effect.id, fail('noLeader', { reason: effect.reason })); break
    }
  })
  const sendMessage = (to: string, message: Message) => send(to, message, () => {
    if ('sentAt' in message) handleEvent({ type: 'undelivered', to, sentAt: message.sentAt })
  })
  /** Takes no part in consensus until the refused write succeeds. */
  const waitForStorage = () => {
    const failedAt = clock.now()
    log.error('storage failed; this instance takes no part in consensus until it can write again', { failure: runner.failure() })
    metrics.count('storage_failures_total')
    for (const proposalId of pendingProposals.keys()) resolveProposal(proposalId, fail('outcomeUnknown', { reason: 'the storage of the leader failed' }))
    retryTimer = setInterval(() => {
      if (!runner.retry()) return
      clearInterval(retryTimer)
      log.info('storage works again; this instance takes part in consensus', { afterMs: Math.round(clock.now() - failedAt) })
      noteRole()
    }, storageRetryMs)
  }
  const resolveProposal = (proposalId: string, result: Outcome<unknown>) => {
    pendingProposals.get(proposalId)?.(result)
    pendingProposals.delete(proposalId)
  }
  const restoreSnapshot = (snapshot: Snapshot) => {
    if (snapshot.state !== null) machine.restore(snapshot.state)
    members = snapshot.members
    appliedIndex = snapshot.index
    appliedTerm = snapshot.term
  }
  const applyEntry = (entry: Entry) => {
    appliedIndex = entry.index
    appliedTerm = entry.term
    if (entry.payload.type === 'members') members = entry.payload.members
    const value = entry.payload.type === 'command' ? machine.apply(entry.payload.command) : null
    resolveProposal(entry.id, { ok: true, value })
    if (isSnapshotDue()) setImmediate(compactLog)
  }
  const isSnapshotDue = () => {
    const applied = state.entries.slice(0, appliedIndex - state.snapshot.index)
    return applied.length >= snapshotEvery || totalBytes(applied) >= Math.max(snapshotEveryBytes, state.snapshot.state?.length ?? 0)
  }
  const compactLog = () => {
    if (!isSnapshotDue()) return
    handleEvent({ type: 'compact', snapshot: { index: appliedIndex, term: appliedTerm, members, state: machine.save() } })
  }
  const submitProposal = (createEvent: (proposalId: string) => Event) => new Promise<Outcome<unknown>>((resolve) => {
    const proposalId = randomId()
    const failure = runner.failure()
    if (failure !== undefined) return resolve(fail('noLeader', { reason: `storage failed: ${failure}` }))
    const timeout = setTimeout(() => resolveProposal(proposalId, fail('outcomeUnknown', { reason: 'no quorum answered in time' })), proposalTimeoutMs)
    pendingProposals.set(proposalId, (result) => {
      clearTimeout(timeout)
      resolve(result)
    })
    handleEvent(createEvent(proposalId))
  })
  const timer = setInterval(() => handleEvent({ type: 'tick' }), tickMs)
  return {
    state,
    receive: (from, message) => handleEvent({ type: 'message', from, message }),
    propose: (command) => submitProposal((proposalId) => ({ type: 'propose', id: proposalId, command })),
    changeMembers: (change) => submitProposal((proposalId) => ({ type: 'change-members', id: proposalId, members: change(membersOf(state)) })),
    confirmLeadership: () => submitProposal((proposalId) => ({ type: 'read', id: proposalId })),
    transferLeadership: () => handleEvent({ type: 'transfer' }),
    storageFailure: runner.failure,
    leaderSince: () => leaderSince,
    close () {
      clearInterval(timer)
      clearInterval(retryTimer)
    }
  }
}
