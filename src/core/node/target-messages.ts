import type { Departure, DepartureClient } from '../departures/index.ts'
import type { Environment } from '../peers/index.ts'
import { isSameProcess } from './announcement.ts'
import type { Announcement, Incarnation } from './announcement.ts'
import type { OwnTarget } from './target.ts'

/** TargetMessages that wait until this process knows what its earlier one has acknowledged. */
const maxWaiting = 32

/**
 * Time for which a process of the target must go on announcing itself before it is used while nobody can say whether it has left, in milliseconds.
 * Longer than what is late arrives apart.
 */
const goingOnMs = 3000

/**
 * What became of an announcement: taken, outdated by what is known, or taken and known to no other process. The last one must not be acknowledged, since
 * it would be forgotten with this process.
 */
export type AnnouncementOutcome = 'taken' | 'outdated' | 'unshared'

/** Messages of the own target, in the light of what an earlier process of this node has acknowledged. */
export interface TargetMessages {
  announce: (announcement: Announcement) => Promise<AnnouncementOutcome>
  withdraw: (instance: string, bornAt: number | undefined) => Promise<AnnouncementOutcome>
}

/** A process of the target that was heard of while nobody could say whether it has left. */
interface Candidate {
  incarnation: Incarnation
  since: number
}

/**
 * Creates the way of the target's messages. Until the others have said what they know, a target that announces itself waits: its message may be a late one of a
 * process that has left. One that leaves counts at once.
 */
export function createTargetMessages (target: OwnTarget, departures: DepartureClient, { clock, log }: Pick<Environment, 'clock' | 'log'>): TargetMessages {
  let waiting: Announcement[] | undefined = []
  let candidate: Candidate | undefined
  /** The leaving process, with the first message in which it said so. */
  let leaving: Incarnation | undefined

  void departures.recall().then(() => {
    const held = waiting ?? []
    waiting = undefined
    for (const announcement of held) {
      try {
        takeUp(announcement)
      } catch (error) {
        log.warn('announcement cannot be used', { address: announcement.address, reason: error instanceof Error ? error.message : String(error) })
      }
    }
  })
  /** Returns true for a process that goes on announcing itself, for as long as nobody has said what is known of it. */
  const isCredible = ({ incarnation }: Announcement): boolean => {
    if (incarnation === undefined || departures.isAnswered() || isSameProcess(target.incarnation(), incarnation)) return true
    if (candidate === undefined || !isSameProcess(candidate.incarnation, incarnation)) candidate = { incarnation, since: clock.now() }
    return incarnation.sequence > candidate.incarnation.sequence && clock.now() - candidate.since >= goingOnMs
  }
  const takeUp = (announcement: Announcement): AnnouncementOutcome => {
    if (!isCredible(announcement)) return 'taken'
    const isTaken = target.announce(announcement)
    if (isTaken) leaving = undefined
    return isTaken ? 'taken' : 'outdated'
  }
  const share = async (departure: Departure, isTaken: boolean): Promise<AnnouncementOutcome> => {
    if (!await departures.tell(departure)) return 'unshared'
    return isTaken ? 'taken' : 'outdated'
  }
  return {
    async announce (announcement) {
      const { incarnation, state } = announcement
      if (state === 'up' && incarnation !== undefined && waiting !== undefined) {
        if (waiting.push(announcement) > maxWaiting) waiting.shift()
        return 'taken'
      }
      if (state === 'up') return takeUp(announcement)
      if (!target.announce(announcement)) return 'outdated'
      if (incarnation === undefined) return 'taken'
      if (!isSameProcess(leaving, incarnation)) leaving = incarnation
      const { instance, bornAt, sequence } = leaving ?? incarnation
      return await share({ instance, bornAt, sequence, state: 'leaving', isCertain: false }, true)
    },
    async withdraw (instance, bornAt) {
      const isKnown = target.withdraw(instance, bornAt)
      const known = target.incarnation()?.instance === instance ? target.incarnation() : undefined
      const departed = bornAt ?? known?.bornAt
      if (departed === undefined) return 'outdated'
      return await share({ instance, bornAt: departed, sequence: known?.bornAt === departed ? known.sequence : 0, state: 'gone', isCertain: bornAt !== undefined }, isKnown)
    }
  }
}
