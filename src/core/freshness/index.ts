import * as v from 'valibot'
import { isAddress } from '../address/index.ts'
import type { Outcome } from '../errors/index.ts'
import { fail, succeed } from '../errors/index.ts'

/** Age of the newest beacon at which a node stops serving routes that need a key, in milliseconds. */
export const maxBeaconAgeMs = 3000

/** Time between beacons of the leader, in milliseconds. */
export const beaconIntervalMs = 400

/** Largest tolerated difference between the wall clocks of two instances, in milliseconds. */
export const maxClockSkewMs = 1000

/** Statement of a leader that it held a quorum, with the revision in force at that time. */
export interface Beacon {
  term: number
  sequence: number
  revision: number
  /** Wall-clock time of the leader, in ms. */
  issuedAt: number
  leader: string
  /** Peer address of the leader. */
  address: string
}

/** A beacon as it is sent: term, sequence, revision, time of issue (ms), leader, address of the leader. */
export type EncodedBeacon = [term: number, sequence: number, revision: number, issuedAt: number, leader: string, address: string]

/** Encodes a beacon. */
export function encodeBeacon ({ term, sequence, revision, issuedAt, leader, address }: Beacon): EncodedBeacon {
  return [term, sequence, revision, issuedAt, leader, address]
}

const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(0))

/** Schema of a beacon as it is sent, with its age in ms and the revision that its sender applies, which earlier versions of the program leave out. The first one of another form would count as newer than all that follow. */
const agedBeaconSchema = v.tuple([
  v.tuple([whole, whole, whole, whole, v.pipe(v.string(), v.maxLength(256)), v.pipe(v.string(), v.check(isAddress, 'an address is IP:PORT'))]),
  v.pipe(v.number(), v.finite(), v.minValue(0)),
  v.optional(whole)
])

/** A beacon as it was received. */
export interface ReceivedBeacon {
  beacon: Beacon
  ageMs: number
  /** Revision that its sender applies; the beacon's own where the sender doesn't tell. */
  held: number
}

/** Decodes a beacon with its age in ms, or returns the reason why it is refused. */
export function decodeAgedBeacon (value: unknown): { ok: true } & ReceivedBeacon | { ok: false, reason: string } {
  const { success, output, issues } = v.safeParse(agedBeaconSchema, value)
  if (!success) return { ok: false, reason: `beacon, field ${v.getDotPath(issues[0]) ?? 'none'}: ${issues[0].message}` }
  const [[term, sequence, revision, issuedAt, leader, address], ageMs, held = revision] = output
  return { ok: true, beacon: { term, sequence, revision, issuedAt, leader, address }, ageMs, held }
}

/** A process's knowledge of the control group's latest beacon and revision. */
export interface Freshness {
  newest?: Beacon
  /** Estimated monotonic time at which the newest beacon was issued. */
  newestIssuedAt: number
  /** Monotonic issue time of the newest beacon whose revision is in force here. */
  confirmedAt: number
  /** Revision in force here. */
  revision: number
}

/** Creates the state of a process that has received no beacon yet. */
export function createFreshness (): Freshness {
  return { newestIssuedAt: -Infinity, confirmedAt: -Infinity, revision: 0 }
}

function isNewer (beacon: Beacon, known: Beacon | undefined): boolean {
  if (known === undefined) return true
  return beacon.term !== known.term ? beacon.term > known.term : beacon.sequence > known.sequence
}

/**
 * Records a beacon whose age is `ageMs` according to the processes that relayed it. The wall clock also
 * covers time that no relay counted, such as that of a packet that waited while its receiver was frozen.
 * Returns true when the beacon is newer than the known one and must be relayed.
 */
export function acceptBeacon (state: Freshness, beacon: Beacon, ageMs: number, now: number, wallNow: number): boolean {
  if (!isNewer(beacon, state.newest)) return false
  const wallAge = wallNow - beacon.issuedAt - maxClockSkewMs
  state.newest = beacon
  state.newestIssuedAt = now - Math.max(ageMs, wallAge)
  updateConfirmedAt(state)
  return true
}

/** Records the revision now in force. */
export function advanceRevision (state: Freshness, revision: number): void {
  state.revision = Math.max(state.revision, revision)
  updateConfirmedAt(state)
}

function updateConfirmedAt (state: Freshness): void {
  if (state.newest !== undefined && state.newest.revision <= state.revision) state.confirmedAt = Math.max(state.confirmedAt, state.newestIssuedAt)
}

/** Returns a failure when the state is too old to serve routes that need a key. */
export function checkFresh (state: Freshness, now: number): Outcome<number> {
  const ageMs = now - state.confirmedAt
  return ageMs <= maxBeaconAgeMs ? succeed(ageMs) : fail('stale', { ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1 })
}

/** Returns the age of the newest beacon in ms, for relaying. */
export function beaconAge (state: Freshness, now: number): number {
  return Math.max(0, now - state.newestIssuedAt)
}
