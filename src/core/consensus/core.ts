import type { Random } from '../random/index.ts'
import { heartbeatIntervalMs, leaseMs, maxElectionTimeoutMs, maxPromotionLag, maxUncommittedBytes, minElectionTimeoutMs } from './constants.ts'
import { entriesFrom, hasPendingMemberChange, lastIndex, lastTerm, membersOf, quorumOf, termAt, uncommittedBytes, voters } from './log.ts'
import { createProgress, recordLoss, recordReply, replicate, sendHeartbeat } from './replication.ts'
import type { Effect, Entry, Event, IncomingSnapshot, Member, Message, Payload, Progress, Snapshot, State, Stored } from './types.ts'

type MessageOf<Type extends Message['type']> = Extract<Message, { type: Type }>

/**
 * Creates the state of an instance from its stored data. `startedAt` is when its process started: what an earlier process promised a
 * leader, it promised before that, so that the time that a start takes counts towards the election timeout.
 */
export function createState (id: string, stored: Stored, startedAt: number, random: Random): State {
  const state: State = {
    id,
    role: 'follower',
    hardState: stored.hardState,
    leader: null,
    snapshot: stored.snapshot,
    entries: stored.entries,
    commit: stored.snapshot.index,
    votesFrom: [],
    electionDueAt: 0,
    heartbeatDueAt: 0,
    leaderMessageAt: startedAt,
    progress: {},
    incoming: null,
    readRound: 0,
    pendingReads: []
  }
  resetElection(state, startedAt, random)
  return state
}

/** Advances the state by one event. The caller must apply the returned effects in order. */
export function step (state: State, event: Event, now: number, random: Random): Effect[] {
  const effects: Effect[] = []
  switch (event.type) {
    case 'tick': onTick(state, now, random, effects); break
    case 'message': onMessage(state, event.from, event.message, now, random, effects); break
    case 'propose': onPropose(state, event.id, { type: 'command', command: event.command }, now, effects); break
    case 'change-members': onChangeMembers(state, event.id, event.members, now, effects); break
    case 'compact': onCompact(state, event.snapshot, effects); break
    case 'undelivered': recordLoss(state.progress[event.to], event.sentAt); break
    case 'transfer': onTransfer(state, effects); break
    case 'read': onRead(state, event.id, now, effects); break
  }
  return effects
}

/** Returns true while this instance is leader and its lease lasts, during which no other leader can be elected. */
export function holdsLease (state: State, now: number): boolean {
  return state.role === 'leader' && now - quorumAckedAt(state, now) < leaseMs
}

/** Returns true when this instance is leader and has committed an entry of its own term; its state then holds everything acknowledged before. */
export function hasCommittedInTerm (state: State): boolean {
  return state.role === 'leader' && termAt(state, state.commit) === state.hardState.term
}

function quorumAckedAt (state: State, now: number): number {
  const times = voters(state).map((id) => id === state.id ? now : state.progress[id]?.ackedAt ?? -Infinity)
  times.sort((left, right) => right - left)
  return times[quorumOf(state) - 1] ?? -Infinity
}

function resetElection (state: State, now: number, random: Random): void {
  state.electionDueAt = now + minElectionTimeoutMs + random.next() * (maxElectionTimeoutMs - minElectionTimeoutMs)
}

function saveHardState (state: State, term: number, votedFor: string | null, effects: Effect[]): void {
  state.hardState = { term, votedFor }
  effects.push({ type: 'save', hardState: state.hardState })
}

function onTick (state: State, now: number, random: Random, effects: Effect[]): void {
  if (state.role === 'leader') return leaderTick(state, now, random, effects)
  if (now < state.electionDueAt || !voters(state).includes(state.id)) return
  startPrevote(state, now, random, effects)
}

function leaderTick (state: State, now: number, random: Random, effects: Effect[]): void {
  if (now - quorumAckedAt(state, now) > maxElectionTimeoutMs) {
    becomeFollower(state, state.hardState.term, null, now, random, effects)
    return
  }
  promoteLearner(state, now, effects)
  if (now < state.heartbeatDueAt) return
  broadcast(state, now, effects)
}

function startPrevote (state: State, now: number, random: Random, effects: Effect[]): void {
  state.role = 'precandidate'
  state.leader = null
  state.votesFrom = [state.id]
  resetElection(state, now, random)
  if (state.votesFrom.length >= quorumOf(state)) return startElection(state, false, now, random, effects)
  const message: Message = { type: 'prevote', term: state.hardState.term + 1, lastIndex: lastIndex(state), lastTerm: lastTerm(state) }
  sendToVoters(state, message, effects)
}

function startElection (state: State, transfer: boolean, now: number, random: Random, effects: Effect[]): void {
  state.role = 'candidate'
  state.leader = null
  state.votesFrom = [state.id]
  resetElection(state, now, random)
  saveHardState(state, state.hardState.term + 1, state.id, effects)
  if (state.votesFrom.length >= quorumOf(state)) return becomeLeader(state, now, effects)
  const message: Message = { type: 'vote', term: state.hardState.term, lastIndex: lastIndex(state), lastTerm: lastTerm(state), transfer }
  sendToVoters(state, message, effects)
}

function sendToVoters (state: State, message: Message, effects: Effect[]): void {
  for (const id of voters(state)) {
    if (id !== state.id) effects.push({ type: 'send', to: id, message })
  }
}

function becomeLeader (state: State, now: number, effects: Effect[]): void {
  state.role = 'leader'
  state.pendingReads = []
  state.leader = state.id
  state.progress = {}
  for (const member of membersOf(state)) {
    if (member.id !== state.id) state.progress[member.id] = createProgress(lastIndex(state) + 1, now)
  }
  appendEntry(state, '', { type: 'noop' }, now, effects)
}

function becomeFollower (state: State, term: number, leader: string | null, now: number, random: Random, effects: Effect[]): void {
  if (term > state.hardState.term) saveHardState(state, term, null, effects)
  state.role = 'follower'
  state.leader = leader
  state.progress = {}
  state.votesFrom = []
  refusePendingReads(state, effects)
  resetElection(state, now, random)
}

function appendEntry (state: State, id: string, payload: Payload, now: number, effects: Effect[]): void {
  const entry: Entry = { index: lastIndex(state) + 1, term: state.hardState.term, id, payload }
  state.entries.push(entry)
  effects.push({ type: 'save', entries: [entry] })
  if (payload.type === 'members') syncProgress(state, payload.members, now)
  advanceCommit(state, now, effects)
  for (const to of Object.keys(state.progress)) replicate(state, to, now, effects)
}

function syncProgress (state: State, members: Member[], now: number): void {
  const progress: Record<string, Progress> = {}
  for (const { id } of members) {
    if (id !== state.id) progress[id] = state.progress[id] ?? createProgress(lastIndex(state), now)
  }
  state.progress = progress
}

function broadcast (state: State, now: number, effects: Effect[]): void {
  state.heartbeatDueAt = now + heartbeatIntervalMs
  for (const to of Object.keys(state.progress)) {
    if (!replicate(state, to, now, effects)) sendHeartbeat(state, to, now, effects)
  }
}

function onMessage (state: State, from: string, message: Message, now: number, random: Random, effects: Effect[]): void {
  if (message.type === 'prevote') return onPrevote(state, from, message, now, effects)
  if (message.type === 'vote' && !message.transfer && hasRecentLeader(state, now)) return
  if (message.type === 'prevote-reply') return onPrevoteReply(state, from, message, now, random, effects)
  if (message.term > state.hardState.term) {
    const leader = message.type === 'append' || message.type === 'snapshot' ? from : null
    becomeFollower(state, message.term, leader, now, random, effects)
  }
  switch (message.type) {
    case 'vote': return onVote(state, from, message, now, random, effects)
    case 'vote-reply': return onVoteReply(state, from, message, now, effects)
    case 'append': return onAppend(state, from, message, now, random, effects)
    case 'snapshot': return onSnapshot(state, from, message, now, random, effects)
    case 'append-reply': return onAppendReply(state, from, message, now, effects)
    case 'snapshot-reply': return onSnapshotReply(state, from, message, now, effects)
    case 'timeout-now':
      if (message.term === state.hardState.term && voters(state).includes(state.id)) startElection(state, true, now, random, effects)
  }
}

function hasRecentLeader (state: State, now: number): boolean {
  return state.role === 'leader' ? holdsLease(state, now) : now - state.leaderMessageAt < minElectionTimeoutMs
}

function isUpToDate (state: State, message: { lastIndex: number, lastTerm: number }): boolean {
  if (message.lastTerm !== lastTerm(state)) return message.lastTerm > lastTerm(state)
  return message.lastIndex >= lastIndex(state)
}

function onPrevote (state: State, from: string, message: MessageOf<'prevote'>, now: number, effects: Effect[]): void {
  const granted = !hasRecentLeader(state, now) && message.term > state.hardState.term && isUpToDate(state, message)
  effects.push({ type: 'send', to: from, message: { type: 'prevote-reply', term: granted ? message.term : state.hardState.term, granted } })
}

function onPrevoteReply (state: State, from: string, message: MessageOf<'prevote-reply'>, now: number, random: Random, effects: Effect[]): void {
  if (!message.granted) {
    if (message.term > state.hardState.term) becomeFollower(state, message.term, null, now, random, effects)
    return
  }
  if (state.role !== 'precandidate' || message.term !== state.hardState.term + 1) return
  if (!state.votesFrom.includes(from)) state.votesFrom.push(from)
  if (state.votesFrom.length >= quorumOf(state)) startElection(state, false, now, random, effects)
}

function onVote (state: State, from: string, message: MessageOf<'vote'>, now: number, random: Random, effects: Effect[]): void {
  const { term, votedFor } = state.hardState
  const canVote = votedFor === null || votedFor === from
  const granted = message.term === term && state.role === 'follower' && canVote && isUpToDate(state, message)
  if (granted) {
    if (votedFor === null) saveHardState(state, term, from, effects)
    resetElection(state, now, random)
  }
  effects.push({ type: 'send', to: from, message: { type: 'vote-reply', term, granted } })
}

function onVoteReply (state: State, from: string, message: MessageOf<'vote-reply'>, now: number, effects: Effect[]): void {
  if (state.role !== 'candidate' || message.term !== state.hardState.term || !message.granted) return
  if (!state.votesFrom.includes(from)) state.votesFrom.push(from)
  if (state.votesFrom.length >= quorumOf(state)) becomeLeader(state, now, effects)
}

/** Replies to an append or snapshot message and echoes its send time, read round and term. */
function replyToAppend (state: State, to: string, ok: boolean, match: number, message: { term: number, sentAt: number, round: number }, effects: Effect[]): void {
  const { term: answeredTerm, sentAt, round } = message
  effects.push({ type: 'send', to, message: { type: 'append-reply', term: state.hardState.term, ok, match, sentAt, round, answeredTerm } })
}

function followLeader (state: State, from: string, now: number, random: Random): void {
  state.role = 'follower'
  state.leader = from
  state.leaderMessageAt = now
  resetElection(state, now, random)
}

function onAppend (state: State, from: string, message: MessageOf<'append'>, now: number, random: Random, effects: Effect[]): void {
  if (message.term < state.hardState.term) return replyToAppend(state, from, false, 0, message, effects)
  followLeader(state, from, now, random)
  if (message.previousIndex < state.snapshot.index) return replyToAppend(state, from, true, state.snapshot.index, message, effects)
  if (termAt(state, message.previousIndex) !== message.previousTerm) {
    const hint = Math.min(lastIndex(state), message.previousIndex - 1)
    return replyToAppend(state, from, false, hint, message, effects)
  }
  storeEntries(state, message.entries, effects)
  const match = message.previousIndex + message.entries.length
  commitTo(state, Math.min(message.commit, match), effects)
  replyToAppend(state, from, true, match, message, effects)
}

function storeEntries (state: State, entries: readonly Entry[], effects: Effect[]): void {
  const first = entries.findIndex((entry) => termAt(state, entry.index) !== entry.term)
  if (first < 0) return
  const newEntries = entries.slice(first)
  state.entries.length = newEntries[0].index - state.snapshot.index - 1
  state.entries.push(...newEntries)
  effects.push({ type: 'save', entries: newEntries })
}

function onSnapshot (state: State, from: string, message: MessageOf<'snapshot'>, now: number, random: Random, effects: Effect[]): void {
  if (message.term < state.hardState.term) return replyToAppend(state, from, false, 0, message, effects)
  followLeader(state, from, now, random)
  if (message.index > state.commit) {
    const incoming = receivePart(state, from, message)
    if (incoming.text.length < message.length) {
      const { term, index, sentAt, round } = message
      effects.push({ type: 'send', to: from, message: { type: 'snapshot-reply', term, index, received: incoming.text.length, sentAt, round, answeredTerm: term } })
      return
    }
    state.incoming = null
    installSnapshot(state, { index: message.index, term: message.snapshotTerm, members: message.members, state: incoming.text }, effects)
  }
  replyToAppend(state, from, true, message.index, message, effects)
}

/** Adds a part to the snapshot that arrives. A part that does not follow the ones before it is left out; the reply tells the leader where to go on. */
function receivePart (state: State, from: string, { index, snapshotTerm, length, offset, text }: MessageOf<'snapshot'>): IncomingSnapshot {
  const { incoming } = state
  const isSame = incoming?.from === from && incoming.index === index && incoming.term === snapshotTerm && incoming.length === length
  const known = isSame ? incoming : { from, index, term: snapshotTerm, length, text: '' }
  if (known.text.length === offset) known.text += text
  state.incoming = known
  return known
}

function installSnapshot (state: State, snapshot: Snapshot, effects: Effect[]): void {
  const matchesLog = termAt(state, snapshot.index) === snapshot.term
  state.entries = matchesLog ? entriesFrom(state, snapshot.index + 1, Infinity) : []
  state.snapshot = snapshot
  state.commit = snapshot.index
  effects.push({ type: 'snapshot', snapshot, entries: state.entries, restore: true })
}

/** Returns the progress of a member whose reply concerns the current term of this leader and answers one of its messages of this term. */
function progressOf (state: State, from: string, { term, answeredTerm = term }: { term: number, answeredTerm?: number }): Progress | undefined {
  return state.role === 'leader' && term === state.hardState.term && answeredTerm === term ? state.progress[from] : undefined
}

/**
 * Counts a reply for the lease and for reads. Times and rounds start again with each process, so one that lies in the future of this process answers another.
 */
function acknowledge (state: State, progress: Progress, { sentAt, round }: { sentAt: number, round: number }, now: number, effects: Effect[]): void {
  if (sentAt > now || round > state.readRound) return
  progress.ackedAt = Math.max(progress.ackedAt, sentAt)
  progress.acknowledgedRound = Math.max(progress.acknowledgedRound, round)
  confirmReads(state, effects)
}

function onSnapshotReply (state: State, from: string, message: MessageOf<'snapshot-reply'>, now: number, effects: Effect[]): void {
  const progress = progressOf(state, from, message)
  if (progress === undefined) return
  acknowledge(state, progress, message, now, effects)
  recordReply(progress, message.sentAt, () => true, now)
  if (progress.transfer?.snapshot.index === message.index) progress.transfer.received = message.received
  replicate(state, from, now, effects)
}

function onAppendReply (state: State, from: string, message: MessageOf<'append-reply'>, now: number, effects: Effect[]): void {
  const progress = progressOf(state, from, message)
  if (progress === undefined) return
  // A refusal that names no term may answer a message of an earlier one; an acceptance has the term of its message.
  if (message.ok || message.answeredTerm !== undefined) acknowledge(state, progress, message, now, effects)
  recordReply(progress, message.sentAt, ({ match }) => !message.ok || message.match >= match, now)
  if (!message.ok) {
    const next = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex - 1, message.match + 1))
    if (next === progress.nextIndex) return // The follower lost acknowledged entries; the next heartbeat probes it again.
    progress.nextIndex = next
    replicate(state, from, now, effects)
    return
  }
  progress.matchIndex = Math.max(progress.matchIndex, message.match)
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1)
  if (progress.transfer !== null && progress.matchIndex >= progress.transfer.snapshot.index) progress.transfer = null
  advanceCommit(state, now, effects)
  replicate(state, from, now, effects)
}

function advanceCommit (state: State, now: number, effects: Effect[]): void {
  const matches = voters(state).map((id) => id === state.id ? lastIndex(state) : state.progress[id]?.matchIndex ?? 0)
  matches.sort((left, right) => right - left)
  const quorumIndex = matches[quorumOf(state) - 1] ?? 0
  if (quorumIndex <= state.commit || termAt(state, quorumIndex) !== state.hardState.term) return
  commitTo(state, quorumIndex, effects)
  if (!membersOf(state).some((member) => member.id === state.id) && !hasPendingMemberChange(state)) stepDown(state, now, effects)
}

function stepDown (state: State, now: number, effects: Effect[]): void {
  refusePendingReads(state, effects)
  state.role = 'follower'
  state.leader = null
  state.electionDueAt = now + maxElectionTimeoutMs
}

function commitTo (state: State, index: number, effects: Effect[]): void {
  while (state.commit < index) {
    state.commit++
    effects.push({ type: 'apply', entry: state.entries[state.commit - state.snapshot.index - 1] })
  }
}

function pushRefusal (state: State, id: string, reason: string, effects: Effect[]): void {
  effects.push({ type: 'refuse', id, reason, leader: state.leader })
}

function onPropose (state: State, id: string, payload: Payload, now: number, effects: Effect[]): void {
  if (state.role !== 'leader') return pushRefusal(state, id, 'this instance is not the leader', effects)
  if (!holdsLease(state, now)) return pushRefusal(state, id, 'the leader lost its quorum', effects)
  if (uncommittedBytes(state) >= maxUncommittedBytes) return pushRefusal(state, id, 'changes before it wait for a quorum and take up the log', effects)
  appendEntry(state, id, payload, now, effects)
}

/** Starts a read round. The append messages that follow carry its number. */
function onRead (state: State, id: string, now: number, effects: Effect[]): void {
  if (!hasCommittedInTerm(state)) return pushRefusal(state, id, 'this instance is not the leader, or has not committed in its term yet', effects)
  state.readRound++
  state.pendingReads.push({ id, round: state.readRound })
  broadcast(state, now, effects)
  confirmReads(state, effects)
}

function confirmReads (state: State, effects: Effect[]): void {
  if (!hasCommittedInTerm(state)) return
  const rounds = voters(state).map((id) => id === state.id ? state.readRound : state.progress[id]?.acknowledgedRound ?? 0)
  rounds.sort((left, right) => right - left)
  const confirmed = rounds[quorumOf(state) - 1] ?? 0
  while (state.pendingReads.length > 0 && state.pendingReads[0].round <= confirmed) {
    const read = state.pendingReads.shift()
    if (read !== undefined) effects.push({ type: 'confirm', id: read.id })
  }
}

function refusePendingReads (state: State, effects: Effect[]): void {
  for (const { id } of state.pendingReads) pushRefusal(state, id, 'this instance is no longer the leader', effects)
  state.pendingReads = []
}

function onChangeMembers (state: State, id: string, members: Member[], now: number, effects: Effect[]): void {
  if (state.role !== 'leader') return pushRefusal(state, id, 'this instance is not the leader', effects)
  const reason = memberChangeError(state, members)
  if (reason !== undefined) return pushRefusal(state, id, reason, effects)
  appendEntry(state, id, { type: 'members', members }, now, effects)
}

/** Returns the reason why a member list is not a valid next configuration, or undefined. */
function memberChangeError (state: State, members: Member[]): string | undefined {
  if (!hasCommittedInTerm(state)) return 'the leader has not committed an entry of its term yet'
  if (hasPendingMemberChange(state)) return 'another change of members is under way'
  const before = new Set(voters(state))
  const after = new Set(members.filter((member) => member.voter).map((member) => member.id))
  const added = [...after].filter((id) => !before.has(id)).length
  const removed = [...before].filter((id) => !after.has(id)).length
  if (added + removed > 1) return 'only one voter may change at a time'
  if (after.size === 0) return 'at least one voter must stay'
  return undefined
}

/** Returns true when a member's log is at most `maxPromotionLag` entries behind the commit index. */
export function hasCaughtUp (state: State, id: string): boolean {
  const match = state.progress[id]?.matchIndex ?? 0
  return match > 0 && match + maxPromotionLag >= state.commit
}

function promoteLearner (state: State, now: number, effects: Effect[]): void {
  if (!hasCommittedInTerm(state) || hasPendingMemberChange(state)) return
  const members = membersOf(state)
  const learner = members.find(({ id, voter, standby }) => !voter && standby !== true && hasCaughtUp(state, id))
  if (learner === undefined) return
  const next = members.map((member) => member.id === learner.id ? { ...member, voter: true } : member)
  appendEntry(state, '', { type: 'members', members: next }, now, effects)
}

function onCompact (state: State, snapshot: Snapshot, effects: Effect[]): void {
  if (snapshot.index <= state.snapshot.index || snapshot.index > state.commit) return
  state.entries = entriesFrom(state, snapshot.index + 1, Infinity)
  state.snapshot = snapshot
  effects.push({ type: 'snapshot', snapshot, entries: state.entries, restore: false })
}

function onTransfer (state: State, effects: Effect[]): void {
  if (state.role !== 'leader') return
  const upToDate = voters(state).filter((id) => id !== state.id && state.progress[id]?.matchIndex === lastIndex(state))
  if (upToDate.length === 0) return
  effects.push({ type: 'send', to: upToDate[0], message: { type: 'timeout-now', term: state.hardState.term } })
}
