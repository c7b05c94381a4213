/** Properties that a target announced to the node on its instance. */
export interface Target {
  service: string
  /** Maximum number of concurrent requests. */
  slots: number
  /** Maximum number of connections. */
  connections: number
  /** Whether it accepts new requests. */
  state: 'up' | 'leaving' | 'down'
  /** Wall-clock time of its last start in ms, for slow start. */
  startedAt: number
}

/** Statuses of a member. At the same incarnation, a later one in this list overrides an earlier one. */
export const statuses = ['alive', 'suspect', 'dead', 'left'] as const

/** Gossiped record of one process. */
export interface Member {
  id: string
  /** Wall-clock start time in ms; distinguishes the runs of a process. */
  startedAt: number
  /** Boot id of this run. */
  boot: string
  incarnation: number
  status: (typeof statuses)[number]
  role: 'node' | 'control'
  domain: string
  /** Peer address, host:port, for UDP and TCP. */
  address: string
  target?: Target
  /** Whether the process is preparing a planned stop and hands over its state. */
  leaving?: boolean
  /** Time from the start of a planned stop to its end, in ms. */
  stopMs?: number
}

/** Messages of the gossip protocol. */
export type Packet =
  | { type: 'ping', sequence: number, from: Member, updates: Member[], digest: number }
  | { type: 'ack', sequence: number, from: Member, updates: Member[], digest: number }
  /** Asks the receiver to ping `address` and to relay the ack. */
  | { type: 'ping-request', sequence: number, from: Member, address: string, updates: Member[], digest: number }
  /** Updates that are gossiped without waiting for the next probe. */
  | { type: 'push', from: Member, updates: Member[], digest: number }

/** Inputs of the membership state machine. */
export type Event =
  | { type: 'tick' }
  | { type: 'packet', packet: Packet, address: string }
  /** Records from a sync with a process in `domain`. */
  | { type: 'merge', members: readonly Member[], domain: string }
  /** This process's target changed. */
  | { type: 'target', target: Target | undefined }
  /** This process starts preparing its planned stop, which takes `stopMs` at most. */
  | { type: 'prepare-leave', stopMs: number }
  | { type: 'leave' }
  /** A connection to the member failed. */
  | { type: 'unreachable', id: string }

/** Outputs of the membership state machine. */
export type Effect =
  | { type: 'send', address: string, packet: Packet }
  /** Compare member lists with the process at `address` and exchange the records that differ. */
  | { type: 'sync', address: string }
  | { type: 'changed', member: Member }

/** Member record as known to this process. */
export interface KnownMember {
  member: Member
  /** Time of the last change of the record, in ms. */
  changedAt: number
}

/** A ping without an ack so far. */
export interface Probe {
  id: string
  sequence: number
  sentAt: number
  indirect: boolean
}

/** A ping sent on behalf of another member, whose ack is relayed to `address`. */
export interface Relay {
  sequence: number
  address: string
  /** Address of the member that is pinged. */
  target: string
  originalSequence: number
  expiresAt: number
}

/** Remaining transmissions of an update. Within the own domain they are many; to another domain, a few of all members together. */
export interface PendingUpdate {
  near: number
  far: number
}

/** Version of a member record, for a comparison of two lists: id, start time in ms, incarnation, number of the status. */
export type Version = [id: string, startedAt: number, incarnation: number, status: number]

/** State of the membership protocol in one process. */
export interface State {
  self: Member
  seeds: string[]
  known: Map<string, KnownMember>
  /** Remaining transmissions of each pending update, by member id. */
  pendingUpdates: Map<string, PendingUpdate>
  /** Time of the next push of updates; Infinity when none is scheduled. */
  pushAt: number
  probes: Probe[]
  relays: Relay[]
  /** Ids of the own domain and of the others that are still to be probed in the current round, taken from the end. */
  probeQueues: { near: string[], far: string[] }
  /** The next probe goes to another domain. */
  probesFarNext: boolean
  sequence: number
  nextProbeAt: number
  nextSyncAt: { near: number, far: number }
  /** Time of the next sync with a seed at whose address no member is known, and the number of consecutive such syncs. */
  nextSeedSyncAt: number
  seedAttempts: number
  knownDigest: number
  /** Number of consecutive packets from the own domain, and from others, whose digest differed. */
  digestMismatches: { near: number, far: number }
}
