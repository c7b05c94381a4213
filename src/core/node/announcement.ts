/** What a target says of itself. */
export interface Announcement {
  service: string
  /** Address that the node reaches the target at, host:port. */
  address: string
  /** Requests served at once. */
  slots: number
  /** Connections accepted. */
  connections: number
  /** "leaving" asks for no new work. */
  state: 'up' | 'leaving'
  /** The start of the target that speaks, where targets tell their starts apart. */
  incarnation?: Incarnation
}

/** One start of a target, and the place of a message among all that it sends. */
export interface Incarnation {
  /** Id of the start. */
  instance: string
  /** Wall-clock time of the start in ms, on the target's clock. */
  bornAt: number
  /** Grows with each message of the same start. */
  sequence: number
}

/** True when a message is not older than what is known: of a later start, or a later one of the same start. */
export function isNews (next: Incarnation | undefined, known: Incarnation | undefined): boolean {
  if (next === undefined || known === undefined) return true
  if (next.bornAt !== known.bornAt) return next.bornAt > known.bornAt
  return next.sequence > known.sequence
}
