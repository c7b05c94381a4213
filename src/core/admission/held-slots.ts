import { mostlyWaitingFraction, rankReserve, reserveLifeMs, workingReserve } from './constants.ts'
import { rankOf } from './rank.ts'
import type { QueuedRequest } from './queue.ts'

/** Most requests that needed their target only, running and waiting at once, in the window that began at `windowAt` and in the one before. */
interface WorkingPeaks {
  windowAt: number
  current: number
  previous: number
}

/** Slots of a target that are held by running requests with calls of their own. While these wait for their calls the target is idle, but the slot is taken. */
export interface HeldSlots {
  /** Ranks of the running requests that make calls, by id. */
  holders: Map<string, number>
  /** Number of these requests by rank. */
  countByRank: Map<number, number>
  /** Calls that requests at the target have under way. */
  callsUnderWay: number
  workingPeaks: WorkingPeaks
  /** Last arrival of a request that makes calls and has a better rank than one that runs, in ms. */
  betterSeenAt: number
}

/** Creates the state of a target at which nothing runs. */
export function createHeldSlots (): HeldSlots {
  return { holders: new Map(), countByRank: new Map(), callsUnderWay: 0, workingPeaks: { windowAt: -Infinity, current: 0, previous: 0 }, betterSeenAt: -Infinity }
}

/**
 * Records that a request has arrived. Slots are reserved only while requests come that can use them, and no more than these need: `working` is the
 * number of requests that need the target only, with this one.
 */
export function recordArrival (held: HeldSlots, entry: QueuedRequest, working: number, now: number): void {
  if (entry.needsCalls !== true) recordWorking(held, working, now)
  else if (rankOf(entry) < worstRank(held)) held.betterSeenAt = now
}

function recordWorking (held: HeldSlots, working: number, now: number): void {
  const peaks = held.workingPeaks
  const ageMs = now - peaks.windowAt
  if (ageMs >= reserveLifeMs) held.workingPeaks = { windowAt: now, current: working, previous: ageMs < 2 * reserveLifeMs ? peaks.current : 0 }
  else peaks.current = Math.max(peaks.current, working)
}

/** Returns the most requests that lately needed the target only at once. */
function workingPeak ({ workingPeaks: { windowAt, current, previous } }: HeldSlots, now: number): number {
  const ageMs = now - windowAt
  if (ageMs >= 2 * reserveLifeMs) return 0
  return ageMs < reserveLifeMs ? Math.max(current, previous) : current
}

/** Records that a request has started. */
export function recordHolder (held: HeldSlots, entry: QueuedRequest): void {
  if (entry.needsCalls !== true) return
  const rank = rankOf(entry)
  held.holders.set(entry.id, rank)
  held.countByRank.set(rank, (held.countByRank.get(rank) ?? 0) + 1)
}

/** Records that a request has ended. */
export function releaseHolder (held: HeldSlots, id: string): void {
  const rank = held.holders.get(id)
  if (rank === undefined) return
  held.holders.delete(id)
  const left = (held.countByRank.get(rank) ?? 0) - 1
  if (left > 0) held.countByRank.set(rank, left)
  else held.countByRank.delete(rank)
}

/** Returns the number of slots held by requests that wait for their own calls; too many where requests make several calls at once. */
export function waitingSlots ({ holders, callsUnderWay }: HeldSlots): number {
  return Math.min(holders.size, callsUnderWay)
}

/** Returns the slots that only requests without calls may take. */
export function slotsForWorking (held: HeldSlots, slots: number, now: number): number {
  return isMostlyWaiting(held) ? Math.min(workingPeak(held, now), Math.floor(slots * workingReserve)) : 0
}

/** Returns whether requests may take a free slot now. Those that make calls are kept out of the reserved slots, all others may take any. */
export function createSlotCheck (held: HeldSlots, slots: number, now: number): (entry: QueuedRequest) => boolean {
  const worst = worstRank(held)
  const free = slots - slotsForWorking(held, slots, now) - held.holders.size
  const freeForWorst = free - slotsForBetter(held, slots, now)
  return (entry) => entry.needsCalls !== true || (rankOf(entry) < worst ? free : freeForWorst) > 0
}

/** Returns the slots that requests of the worst rank leave to better ones. */
function slotsForBetter (held: HeldSlots, slots: number, now: number): number {
  return isMostlyWaiting(held) && now - held.betterSeenAt < reserveLifeMs ? Math.floor(slots * rankReserve) : 0
}

/** Returns false when the target mostly works. It has no idle room then, and rank alone decides who starts. */
function isMostlyWaiting (held: HeldSlots): boolean {
  return held.holders.size > 0 && waitingSlots(held) >= held.holders.size * mostlyWaitingFraction
}

/** Returns the highest rank of the running requests that make calls; -Infinity when none runs. */
function worstRank ({ countByRank }: HeldSlots): number {
  let worst = -Infinity
  for (const rank of countByRank.keys()) worst = Math.max(worst, rank)
  return worst
}
