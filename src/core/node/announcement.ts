import { isSameDeparture } from '../departures/index.ts'
import type { Departure } from '../departures/index.ts'

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
function isNewerIncarnation (next: Incarnation | undefined, known: Incarnation | undefined): boolean {
  if (next === undefined || known === undefined) return true
  if (next.bornAt !== known.bornAt) return next.bornAt > known.bornAt
  return next.sequence > known.sequence
}

/** Order of the announcements at one address. */
export interface AnnouncementOrder {
  /** Records an announcement. Returns false for one that is outdated. */
  accept: (next: Incarnation | undefined, now: number) => boolean
  /** Records that another process answered at the address, so that the known one is gone. */
  release: () => void
  /**
   * Records that a process has deregistered, after which none of its announcements counts, in whatever order they arrive. Without `bornAt` the known process
   * of that id is meant, and it counts again if it goes on announcing itself. Returns true if it is the known process.
   */
  depart: (instance: string, bornAt: number | undefined) => boolean
  /**
   * Adds the departures that an earlier process of this node has acknowledged. Returns true if the known process is one of those that left, or started before
   * one of them, so that it must not be in use.
   */
  restore: (earlier: readonly Departure[]) => boolean
}

/** Number of deregistered processes that are remembered; servers at one address follow each other seconds apart. */
const maxDepartures = 32

/** A process that has deregistered. */
interface DepartedProcess {
  instance: string
  bornAt: number
  /** False if the message did not say which process of that id it means. */
  isCertain: boolean
}

/** A process whose announcements count as outdated, with the last of them. */
interface Outdated {
  incarnation: Incarnation
  /** Time of the first of them. */
  since: number
}

/** Returns true when two messages are of the same process. Messages that do not identify their process are of none. */
export function isSameProcess (left: Incarnation | undefined, right: Incarnation | undefined): boolean {
  return left !== undefined && left.instance === right?.instance && left.bornAt === right.bornAt
}

/**
 * Creates the order of announcements. The known process and position are only what a message says: one with a start or a sequence
 * that is too large, or a wall clock that was set back between two starts, would otherwise make every true announcement count as outdated for good. A
 * process that goes on announcing itself for `lifeMs` while the known one is silent for as long is therefore accepted. Delayed messages arrive
 * together, so they do not count as going on.
 */
export function createAnnouncementOrder (lifeMs: number): AnnouncementOrder {
  let known: Incarnation | undefined
  let knownAt = -Infinity
  let isReleased = false
  let outdated: Outdated | undefined
  const departures: DepartedProcess[] = []

  const isGoingOn = (next: Incarnation, now: number): boolean => {
    if (outdated === undefined || !isSameProcess(next, outdated.incarnation)) {
      outdated = { incarnation: next, since: now }
      return false
    }
    if (next.sequence <= outdated.incarnation.sequence) return false
    outdated.incarnation = next
    return now - outdated.since >= lifeMs && now - knownAt >= lifeMs
  }
  const isOutdated = (next: Incarnation | undefined, now: number): boolean => {
    const departure = departures.find(({ instance, bornAt }) => instance === next?.instance && bornAt === next.bornAt)
    if (departure?.isCertain === true) return true
    const replacesGone = isReleased && next?.instance !== known?.instance
    if (departure === undefined && (replacesGone || isNewerIncarnation(next, known))) return false
    return next === undefined || !isGoingOn(next, now)
  }
  return {
    accept (next, now) {
      if (isOutdated(next, now)) return false
      known = next
      knownAt = now
      isReleased = false
      outdated = undefined
      return true
    },
    release () {
      isReleased = true
    },
    depart (instance, bornAt) {
      const isKnown = known?.instance === instance && (bornAt ?? known.bornAt) === known.bornAt
      const departedBornAt = isKnown ? known?.bornAt : bornAt
      if (departedBornAt === undefined) return false
      departures.push({ instance, bornAt: departedBornAt, isCertain: bornAt !== undefined })
      if (departures.length > maxDepartures) departures.shift()
      return isKnown
    },
    restore (earlier) {
      let isObsolete = false
      for (const departure of earlier) {
        const { instance, bornAt, sequence, state, isCertain } = departure
        const isGone = state === 'gone'
        if (isGone && !departures.some((other) => isSameDeparture(other, departure))) departures.push({ instance, bornAt, isCertain })
        const isKnown = known?.instance === instance && known.bornAt === bornAt
        if (known !== undefined && !(isKnown && isGone) && !isNewerIncarnation({ instance, bornAt, sequence }, known)) continue
        isObsolete ||= known !== undefined
        known = { instance, bornAt, sequence: Math.max(sequence, isKnown ? known?.sequence ?? 0 : 0) }
      }
      return isObsolete
    }
  }
}
