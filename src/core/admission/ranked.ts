import { maxPassedOver, maxPassedOverByBetter, overloadAfterMs, reservedPlaces } from './constants.ts'
import { createHeldSlots, createSlotCheck, recordArrival } from './held-slots.ts'
import type { HeldSlots } from './held-slots.ts'
import { groupOf, rankOf } from './rank.ts'
import type { Group } from './rank.ts'
import type { QueuedRequest } from './queue.ts'

/** State of a queue in which requests wait by the rank of the caller's request that they belong to. */
export interface RankedWaiting {
  /** Work of the other group that was started while each group waited, since its own last start, in ms. */
  passedOverMs: Record<Group, number>
  /** Time since which each group has had requests waiting, in ms. */
  waitingSince: Record<Group, number>
  held: HeldSlots
}

/** A queue and what decides between its requests. */
export interface WaitingLine {
  queue: readonly QueuedRequest[]
  /** Slots of the target. */
  slots: number
  /** Returns the time for which a request usually holds a slot, in ms. */
  workOf: (entry: QueuedRequest) => number
  /** Returns true when the first of two requests of the same rank and group goes before the second. */
  goesFirst: (left: QueuedRequest, right: QueuedRequest, newestFirst: boolean) => boolean
}

/** Creates the state of an empty queue. */
export function createRankedWaiting (): RankedWaiting {
  return { passedOverMs: { 'in-progress': 0, new: 0 }, waitingSince: { 'in-progress': 0, new: 0 }, held: createHeldSlots() }
}

/** Records that a request has arrived behind the queue at a target with `running` requests. */
export function recordRankedArrival (ranked: RankedWaiting, { queue, running }: { queue: readonly QueuedRequest[], running: number }, entry: QueuedRequest, now: number): void {
  const group = groupOf(entry)
  if (!queue.some((other) => groupOf(other) === group)) ranked.waitingSince[group] = now
  let working = running - ranked.held.holders.size + 1
  for (const { needsCalls } of queue) if (needsCalls !== true) working++
  recordArrival(ranked.held, entry, working, now)
}

/**
 * Returns the index of the next request to start, or -1 when none may start: lowest rank first, within a rank calls in progress before new
 * requests. A group that was passed over too often goes first, so that neither waits in vain.
 */
export function takeNext (ranked: RankedWaiting, line: WaitingLine, now: number): number {
  const first = firstByGroup(ranked, line, now)
  const group = nextGroup(ranked.passedOverMs, line, line.queue[first['in-progress']], line.queue[first.new])
  if (group === undefined) return -1
  const other = otherGroup(group)
  ranked.passedOverMs[group] = 0
  ranked.passedOverMs[other] = first[other] < 0 ? 0 : ranked.passedOverMs[other] + line.workOf(line.queue[first[group]])
  return first[group]
}

function otherGroup (group: Group): Group {
  return group === 'new' ? 'in-progress' : 'new'
}

/** Returns the index of the first request of each group that may start, or -1. A group that has waited for long lets its newest requests go first. */
function firstByGroup ({ held, waitingSince }: RankedWaiting, { queue, slots, goesFirst }: WaitingLine, now: number): Record<Group, number> {
  const first: Record<Group, number> = { 'in-progress': -1, new: -1 }
  const mayTake = createSlotCheck(held, slots, now)
  for (let index = 0; index < queue.length; index++) {
    const entry = queue[index]
    const group = groupOf(entry)
    const known = first[group]
    if (known >= 0 && !precedes(entry, queue[known], now - waitingSince[group] > overloadAfterMs, goesFirst)) continue
    if (mayTake(entry)) first[group] = index
  }
  return first
}

function precedes (left: QueuedRequest, right: QueuedRequest, newestFirst: boolean, goesFirst: WaitingLine['goesFirst']): boolean {
  return rankOf(left) === rankOf(right) ? goesFirst(left, right, newestFirst) : rankOf(left) < rankOf(right)
}

function nextGroup (passedOverMs: Record<Group, number>, { workOf }: WaitingLine, call: QueuedRequest | undefined, request: QueuedRequest | undefined): Group | undefined {
  if (call === undefined) return request && 'new'
  if (request === undefined) return 'in-progress'
  if (rankOf(request) < rankOf(call)) return passedOverMs['in-progress'] >= maxPassedOver * workOf(call) ? 'in-progress' : 'new'
  const most = rankOf(request) === rankOf(call) ? maxPassedOver : maxPassedOverByBetter
  return passedOverMs.new >= most * workOf(request) ? 'new' : 'in-progress'
}

/**
 * Returns which requests of a queue are the first to be shed, or undefined when none has to be: new requests of the highest rank, then calls in
 * progress of that rank. Each group has places of its own, which the other cannot take: they come on top of the capacity, so that nothing is
 * displaced by what goes after it.
 */
export function findLast (queue: readonly QueuedRequest[], capacity: number): ((entry: QueuedRequest) => boolean) | undefined {
  if (queue.length <= capacity) return undefined
  const places = Math.ceil(capacity * reservedPlaces)
  const waiting: Record<Group, number> = { 'in-progress': 0, new: 0 }
  for (const entry of queue) waiting[groupOf(entry)]++
  const last = lastOf(queue)
  const group = groupOf(last)
  if (waiting[group] > places) return isOfClass(last)
  if (queue.length <= capacity + places) return undefined
  return isOfClass(lastOf(queue.filter((entry) => groupOf(entry) !== group)))
}

function isOfClass (example: QueuedRequest): (entry: QueuedRequest) => boolean {
  return (entry) => rankOf(entry) === rankOf(example) && groupOf(entry) === groupOf(example)
}

function lastOf (queue: readonly QueuedRequest[]): QueuedRequest {
  let last = queue[0]
  for (const entry of queue) {
    if (rankOf(entry) > rankOf(last) || (rankOf(entry) === rankOf(last) && groupOf(last) === 'in-progress')) last = entry
  }
  return last
}
