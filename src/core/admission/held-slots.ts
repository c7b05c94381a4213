import { mostlyWaitingFraction, rankReserve, reserveLifeMs, workingReserve } from './constants.ts'
import { rankOf } from './rank.ts'
import type { QueuedRequest } from './queue.ts'

/** Slots of a target that are held by running requests with calls of their own. While these wait for their calls the target is idle, but the slot is taken. */
export interface HeldSlots {
  /** Ranks of the running requests that make calls, by id. */
  holders: Map<string, number>
  /** Number of these requests by rank. */
  countByRank: Map<number, number>
  /** Calls that requests at the target have under way. */
  callsUnderWay: number
  /** Last arrival of a request that needs its target only, in ms. */
  workingSeenAt: number
  /** Last arrival of a request that makes calls and has a better rank than one that runs, in ms. */
  betterSeenAt: number
}

/** Creates the state of a target at which nothing runs. */
export function createHeldSlots (): HeldSlots {
  return { holders: new Map(), countByRank: new Map(), callsUnderWay: 0, workingSeenAt: -Infinity, betterSeenAt: -Infinity }
}

/** Records that a request has arrived. A part of the slots is reserved only while requests come that can use it. */
export function recordArrival (held: HeldSlots, entry: QueuedRequest, now: number): void {
  if (entry.needsCalls !== true) held.workingSeenAt = now
  else if (rankOf(entry) < worstRank(held)) held.betterSeenAt = now
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
  return isMostlyWaiting(held) && now - held.workingSeenAt < reserveLifeMs ? Math.floor(slots * workingReserve) : 0
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
