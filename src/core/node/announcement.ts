/** Announcement with which a target registers at its node. */
export interface Announcement {
  service: string
  /** Address at which the node connects to the target, host:port. */
  address: string
  /** Number of requests that the target serves concurrently. */
  slots: number
  /** Number of connections that the target accepts. */
  connections: number
  /** "leaving" asks for no new requests. */
  state: 'up' | 'leaving'
  /** Process of the target that sent the message; missing where targets do not identify their processes. */
  incarnation?: Incarnation
}

/** Identifies one process of a target and the position of a message among all that this process sends. */
export interface Incarnation {
  /** Id of the process. */
  instance: string
  /** Wall-clock time at which the process started in ms, on the target's clock. */
  bornAt: number
  /** Increases with each message of the same process. */
  sequence: number
}

/** Returns true when a message is from a later process than the known one, or a later message of the same process, or either is undefined. */
export function isNewerIncarnation (next: Incarnation | undefined, known: Incarnation | undefined): boolean {
  if (next === undefined || known === undefined) return true
  if (next.bornAt !== known.bornAt) return next.bornAt > known.bornAt
  return next.sequence > known.sequence
}
