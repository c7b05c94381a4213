/** One control instance in the member list. Learners replicate but do not vote. */
export interface Member {
  id: string
  /** Peer address, host:port. */
  address: string
  voter: boolean
  /** A learner that stays one until a plan of the group promotes it; others vote as soon as they have caught up. */
  standby?: boolean
}

/** One log entry. */
export interface Entry {
  index: number
  term: number
  /** Identifies the proposal at the leader that made it. */
  id: string
  payload: Payload
}

/** Content of a log entry. */
export type Payload =
  | { type: 'noop' }
  | { type: 'members', members: Member[] }
  | { type: 'command', command: unknown }

/** What must be on disk before a vote or an acknowledgement. */
export interface HardState {
  term: number
  votedFor: string | null
}

/** State up to and including `index`. */
export interface Snapshot {
  index: number
  term: number
  members: Member[]
  state: unknown
}

/** What the storage holds at start. */
export interface Stored {
  hardState: HardState
  snapshot: Snapshot
  entries: Entry[]
}

/** Messages between control instances. Times are the sender's, echoed in replies. */
export type Message =
  | { type: 'prevote', term: number, lastIndex: number, lastTerm: number }
  | { type: 'prevote-reply', term: number, granted: boolean }
  | { type: 'vote', term: number, lastIndex: number, lastTerm: number, transfer: boolean }
  | { type: 'vote-reply', term: number, granted: boolean }
  | { type: 'append', term: number, previousIndex: number, previousTerm: number, entries: Entry[], commit: number, sentAt: number, round: number }
  | { type: 'snapshot', term: number, snapshot: Snapshot, sentAt: number, round: number }
  | { type: 'append-reply', term: number, ok: boolean, match: number, sentAt: number, round: number }
  | { type: 'timeout-now', term: number }

/** Inputs of the state machine. */
export type Event =
  | { type: 'tick' }
  | { type: 'message', from: string, message: Message }
  | { type: 'propose', id: string, command: unknown }
  | { type: 'change-members', id: string, members: Member[] }
  | { type: 'compact', snapshot: Snapshot }
  | { type: 'transfer' }
  /** Asks for proof that this instance is still the leader, from messages sent after the question. */
  | { type: 'read', id: string }

/** Outputs of the state machine, to be carried out in order. */
export type Effect =
  /** Write and sync before any later effect. Entries replace everything from the first one's index on. */
  | { type: 'save', hardState?: HardState, entries?: Entry[] }
  /** Write and sync a snapshot, then drop the log up to it; with `restore`, also load its state. */
  | { type: 'snapshot', snapshot: Snapshot, entries: Entry[], restore: boolean }
  | { type: 'send', to: string, message: Message }
  | { type: 'apply', entry: Entry }
  | { type: 'refuse', id: string, reason: string, leader: string | null }
  /** A quorum followed this leader after the read came in, so that its state holds all that was acknowledged before. */
  | { type: 'confirm', id: string }

/** Role of an instance in its term. */
export type Role = 'follower' | 'precandidate' | 'candidate' | 'leader'

/** What a leader knows of another member. */
export interface Progress {
  next: number
  match: number
  /** Send time of the newest message that was acknowledged, on the leader's clock. */
  ackedAt: number
  /** Newest read round that was acknowledged. */
  round: number
  /** A snapshot is on its way until this time. */
  snapshotUntil: number
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
  votes: string[]
  electionAt: number
  heartbeatAt: number
  /** Last time a leader of the current term was heard. */
  leaderHeardAt: number
  progress: Record<string, Progress>
  /** Number of the newest read round; a clock would not do, as it stands still while a machine is suspended. */
  round: number
  /** Reads that wait for a quorum to acknowledge their round. */
  reads: Array<{ id: string, round: number }>
}
