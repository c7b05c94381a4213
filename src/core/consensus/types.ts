/** One control instance in the member list. Learners replicate but do not vote. */
export interface Member {
  id: string
  /** Peer address, host:port. */
  address: string
  voter: boolean
  /** Keeps a learner from automatic promotion until a planned member change makes it a voter; other learners are promoted once they have caught up. */
  standby?: boolean
}

/** One log entry. */
export interface Entry {
  index: number
  term: number
  /** Identifies the proposal at the leader that appended it. */
  id: string
  payload: Payload
  /** Size of the payload as JSON, in characters; missing until it is first needed. */
  bytes?: number
}

/** Content of a log entry. */
export type Payload =
  | { type: 'noop' }
  | { type: 'members', members: Member[] }
  | { type: 'command', command: unknown }

/** Raft state that must be on disk before a vote or an acknowledgement is sent. */
export interface HardState {
  term: number
  votedFor: string | null
}

/** State of the replicated state machine up to and including `index`. */
export interface Snapshot {
  index: number
  term: number
  members: Member[]
  /** The state as text; null before the first entry. */
  state: string | null
}

/** Data loaded from storage at start. */
export interface Stored {
  hardState: HardState
  snapshot: Snapshot
  entries: Entry[]
}

/**
 * Messages between control instances. `sentAt` is a time on the clock of the sender's process, and `round` a number of that process; replies echo both, and
 * name the term of the message that they answer, which one process led. Members of an earlier version don't name it.
 */
export type Message =
  | { type: 'prevote', term: number, lastIndex: number, lastTerm: number }
  | { type: 'prevote-reply', term: number, granted: boolean }
  | { type: 'vote', term: number, lastIndex: number, lastTerm: number, transfer: boolean }
  | { type: 'vote-reply', term: number, granted: boolean }
  | { type: 'append', term: number, previousIndex: number, previousTerm: number, entries: Entry[], commit: number, sentAt: number, round: number }
  /** The part of a snapshot that begins at `offset`; offset and length count characters of its whole state. */
  | { type: 'snapshot', term: number, index: number, snapshotTerm: number, members: Member[], offset: number, length: number, text: string, sentAt: number, round: number }
  /** Reply to a part of a snapshot that is not complete: the characters received from the start on. */
  | { type: 'snapshot-reply', term: number, index: number, received: number, sentAt: number, round: number, answeredTerm?: number }
  | { type: 'append-reply', term: number, ok: boolean, match: number, sentAt: number, round: number, answeredTerm?: number }
  | { type: 'timeout-now', term: number }

/** Inputs of the consensus state machine. */
export type Event =
  | { type: 'tick' }
  | { type: 'message', from: string, message: Message }
  | { type: 'propose', id: string, command: unknown }
  | { type: 'change-members', id: string, members: Member[] }
  | { type: 'compact', snapshot: Snapshot }
  /** A message to a member that was sent at `sentAt` did not arrive. */
  | { type: 'undelivered', to: string, sentAt: number }
  | { type: 'transfer' }
  /** Requests a confirmation that this instance is still the leader, based only on messages sent after this event. */
  | { type: 'read', id: string }

/** Outputs of the consensus state machine, to be applied in order. */
export type Effect =
  /** Write and sync before any later effect. Entries replace all stored entries from the first one's index on. */
  | { type: 'save', hardState?: HardState, entries?: Entry[] }
  /** Write and sync a snapshot, then discard the log up to its index; with `restore`, also load its state. */
  | { type: 'snapshot', snapshot: Snapshot, entries: Entry[], restore: boolean }
  | { type: 'send', to: string, message: Message }
  | { type: 'apply', entry: Entry }
  | { type: 'refuse', id: string, reason: string, leader: string | null }
  /** A quorum acknowledged this leader after the read arrived; its state holds everything acknowledged before the read. */
  | { type: 'confirm', id: string }

/** Role of an instance in its term. */
export type Role = 'follower' | 'precandidate' | 'candidate' | 'leader'

/** Replication progress of another member, as seen by the leader. */
export interface Progress {
  nextIndex: number
  matchIndex: number
  /** Send time of the newest acknowledged message, on the leader's clock. */
  ackedAt: number
  /** Newest acknowledged read round. */
  acknowledgedRound: number
  /** The message with entries or a part of a snapshot that is on the way to the member. */
  inFlight: InFlight | null
  /** The snapshot that the member receives in parts, with the number of characters that it has confirmed. */
  transfer: { snapshot: Snapshot, received: number } | null
}

/** A message on the way to a member. */
export interface InFlight {
  /** Time of sending, which replies echo. */
  sentAt: number
  /** Time until which its reply can still come. */
  answerableUntil: number
  /** Index of the last entry that the member has once the message is answered. */
  match: number
  bytes: number
}

/** A snapshot of which a part has arrived from the leader. */
export interface IncomingSnapshot {
  from: string
  index: number
  term: number
  length: number
  text: string
}

/** State of the consensus core of one instance. */
export interface State {
  id: string
  role: Role
  hardState: HardState
  leader: string | null
  snapshot: Snapshot
  entries: Entry[]
  commit: number
  votesFrom: string[]
  electionDueAt: number
  heartbeatDueAt: number
  /** Time of the last message from the leader of the current term. */
  leaderMessageAt: number
  progress: Record<string, Progress>
  incoming: IncomingSnapshot | null
  /** Number of the newest read round. Not a clock reading, because the clock stops while the machine is suspended. */
  readRound: number
  /** Reads whose round no quorum has acknowledged yet. */
  pendingReads: Array<{ id: string, round: number }>
}
