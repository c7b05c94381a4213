import { normalWaitMs, minQueue, overloadAfterMs, overloadWaitMs, queuePerSlot, typicalTimeWeight } from './constants.ts'
import { createFixedLimit, createLimit, recordSample } from './limit.ts'
import type { ConcurrencyLimit, Sample } from './limit.ts'
import { recordHolder, releaseHolder } from './held-slots.ts'
import { createNeededTimes, neededTimeOf, recordCutShort, recordEndedWell, recordTooLate } from './needed-times.ts'
import type { NeededTimes } from './needed-times.ts'
import { createRankedWaiting, findLast, recordRankedArrival, takeNext } from './ranked.ts'
import type { RankedWaiting } from './ranked.ts'

/** A request that is to run at a target. */
export interface QueuedRequest {
  id: string
  /** Groups requests that take about the same time at the target. */
  kind: string
  /** Lower numbers are shed later. */
  priority: number
  /** Priority of the caller's request to which it belongs, from 0. Default: its own. */
  rank?: number
  /** True for a call of a request in progress. Default: whether the priority is negative. */
  inProgress?: boolean
  /** True for a request that makes calls of its own while it runs. Default: false. */
  needsCalls?: boolean
  /** Workspace, or an empty string on routes open to all. */
  workspace: string
  weight: number
  arrivedAt: number
  deadlineAt: number
  /** Longest time in the queue, in ms; by default it depends on the priority and the load. */
  maxWaitMs?: number
}

/** Why a request was shed. */
export type ShedReason = 'queue-full' | 'waited-too-long' | 'too-late' | 'displaced'

/** Requests to start and requests to shed after an event. Every request is started or shed exactly once, unless its caller cancels it. */
export interface AdmissionDecision {
  started: string[]
  shed: Array<{ id: string, reason: ShedReason }>
}

/** Admission state of one target. */
export interface Admission {
  limit: ConcurrencyLimit
  running: number
  queue: QueuedRequest[]
  /** Virtual finish times by workspace, for weighted max-min fairness. */
  finishTimes: Map<string, number>
  virtualTime: number
  /** Last time at which the queue was empty. */
  emptyAt: number
  /** Moving average of the time of a request at the target in ms, by kind. */
  typicalMs: Map<string, number>
  /** Time that a request of a kind needs; with less until its deadline it is not begun. */
  neededTimes: NeededTimes
  /** Present where requests wait by rank; otherwise by priority alone. */
  ranked?: RankedWaiting
}

/** Creates the admission of a target with `slots` that has just started. An adaptive limit may stay below the slots. With `isRanked`, requests wait by rank. */
export function createAdmission (slots: number, now: number, isAdaptive = true, isRanked = false): Admission {
  const limit = isAdaptive ? createLimit(slots, now) : createFixedLimit(slots, now)
  const ranked = isRanked ? createRankedWaiting() : undefined
  return { limit, running: 0, queue: [], finishTimes: new Map(), virtualTime: 0, emptyAt: now, typicalMs: new Map(), neededTimes: createNeededTimes(), ranked }
}

/** Returns the running and waiting requests divided by the concurrency limit. */
export function loadOf (admission: Admission): number {
  return (admission.running + admission.queue.length) / Math.max(1, Math.floor(admission.limit.value))
}

/** Returns true when the queue has not been empty for some time. */
export function isOverloaded (admission: Admission, now: number): boolean {
  return admission.queue.length > 0 && now - admission.emptyAt > overloadAfterMs
}

/** Processes a new request: it starts, waits or is shed, and may displace a waiting one. */
export function offer (admission: Admission, entry: QueuedRequest, now: number): AdmissionDecision {
  const decision: AdmissionDecision = { started: [], shed: [] }
  if (!canFinish(admission, entry, now)) {
    recordTooLate(admission.neededTimes, entry.kind)
    decision.shed.push({ id: entry.id, reason: 'too-late' })
    return decision
  }
  if (admission.queue.length === 0) admission.emptyAt = now
  if (admission.ranked !== undefined) recordRankedArrival(admission.ranked, admission, entry, now)
  admission.queue.push(entry)
  startNext(admission, now, decision)
  const capacity = Math.max(minQueue, Math.ceil(admission.limit.value * queuePerSlot))
  if (admission.queue.length > capacity) shedWorst(admission, capacity, entry.id, decision)
  return decision
}

/** A request that has ended at the target. */
export interface FinishedRequest extends Omit<Sample, 'running'> {
  kind: string
  /** True for an answer that says that the request failed, which tells nothing of how long a good one takes. Default: false. */
  isError?: boolean
}

function updateNeededTime ({ neededTimes }: Admission, { kind, latencyMs, failed, isError = false }: FinishedRequest): void {
  if (failed) recordCutShort(neededTimes, kind, latencyMs)
  else if (!isError) recordEndedWell(neededTimes, kind, latencyMs)
}

function updateTypicalTime ({ typicalMs }: Admission, { kind, latencyMs }: FinishedRequest): void {
  const known = typicalMs.get(kind) ?? 0
  typicalMs.set(kind, known + typicalTimeWeight * (latencyMs - known))
}

/**
 * Records the end of a request and starts the next ones. `sample` is missing when the request never reached the target. Where requests wait by rank,
 * `id` names the one that ended.
 */
export function finish (admission: Admission, sample: FinishedRequest | undefined, now: number, id?: string): AdmissionDecision {
  const decision: AdmissionDecision = { started: [], shed: [] }
  if (sample !== undefined) {
    recordSample(admission.limit, { ...sample, running: admission.running }, now)
    if (!sample.failed) updateTypicalTime(admission, sample)
    updateNeededTime(admission, sample)
  }
  admission.running--
  if (id !== undefined && admission.ranked !== undefined) releaseHolder(admission.ranked.held, id)
  startNext(admission, now, decision)
  return decision
}

/** Starts what fits and sheds requests that have waited too long. To be called at the time that `nextSweepAt` returns. */
export function sweep (admission: Admission, now: number): AdmissionDecision {
  const decision: AdmissionDecision = { started: [], shed: [] }
  startNext(admission, now, decision)
  return decision
}

/** Returns the earliest time at which a waiting request may have to be shed, in ms; Infinity when none waits. */
export function nextSweepAt (admission: Admission): number {
  let sweepAt = Infinity
  for (const entry of admission.queue) {
    const longestWaitMs = entry.maxWaitMs ?? (entry.priority > 0 ? overloadWaitMs : Infinity)
    sweepAt = Math.min(sweepAt, entry.arrivedAt + longestWaitMs, entry.deadlineAt - neededTimeOf(admission.neededTimes, entry.kind))
  }
  return sweepAt
}

/** Removes a waiting request whose caller cancelled it. Returns false when the request was not waiting. */
export function removeWaiting (admission: Admission, id: string): boolean {
  const index = admission.queue.findIndex((entry) => entry.id === id)
  if (index >= 0) admission.queue.splice(index, 1)
  return index >= 0
}

function canFinish (admission: Admission, entry: QueuedRequest, now: number): boolean {
  return entry.deadlineAt - now > neededTimeOf(admission.neededTimes, entry.kind)
}

function shedLate (admission: Admission, now: number, decision: AdmissionDecision): void {
  const longestWaitMs = isOverloaded(admission, now) ? overloadWaitMs : normalWaitMs
  const kept: QueuedRequest[] = []
  for (const entry of admission.queue) {
    const isLate = !canFinish(admission, entry, now)
    const hasWaitedTooLong = now - entry.arrivedAt > (entry.maxWaitMs ?? (entry.priority > 0 ? longestWaitMs : Infinity))
    if (isLate) recordTooLate(admission.neededTimes, entry.kind)
    if (isLate || hasWaitedTooLong) decision.shed.push({ id: entry.id, reason: isLate ? 'too-late' : 'waited-too-long' })
    else kept.push(entry)
  }
  admission.queue = kept
}

function startNext (admission: Admission, now: number, decision: AdmissionDecision): void {
  shedLate(admission, now, decision)
  while (admission.queue.length > 0 && admission.running < Math.floor(admission.limit.value)) {
    const index = nextIndex(admission, now)
    if (index < 0) break
    const [entry] = admission.queue.splice(index, 1)
    chargeWorkspace(admission, entry)
    admission.running++
    if (admission.ranked !== undefined) recordHolder(admission.ranked.held, entry)
    decision.started.push(entry.id)
  }
  if (admission.queue.length === 0) admission.emptyAt = now
}

function finishTime (admission: Admission, workspace: string): number {
  return Math.max(admission.finishTimes.get(workspace) ?? 0, admission.virtualTime)
}

function chargeWorkspace (admission: Admission, entry: QueuedRequest): void {
  const start = finishTime(admission, entry.workspace)
  admission.virtualTime = Math.max(admission.virtualTime, lowestWaitingFinishTime(admission, start))
  admission.finishTimes.set(entry.workspace, start + 1 / entry.weight)
}

/** Returns the lowest virtual finish time of the waiting workspaces, which the virtual time follows. */
function lowestWaitingFinishTime (admission: Admission, start: number): number {
  let lowest = start
  for (const { workspace } of admission.queue) lowest = Math.min(lowest, finishTime(admission, workspace))
  return lowest
}

/** Returns the index of the next request to start, or -1 when none may start. */
function nextIndex (admission: Admission, now: number): number {
  const { ranked, queue, limit } = admission
  if (ranked === undefined) return bestIndex(admission, now)
  const goesFirst = (left: QueuedRequest, right: QueuedRequest, newestFirst: boolean) => isBetter(admission, left, right, newestFirst)
  const workOf = ({ kind }: QueuedRequest) => Math.max(1, admission.typicalMs.get(kind) ?? 0)
  return takeNext(ranked, { queue, slots: Math.floor(limit.value), workOf, goesFirst }, now)
}

/** Returns the index of the next request to start: highest priority first, then the workspace with the least service, then newest first under overload. */
function bestIndex (admission: Admission, now: number): number {
  const newestFirst = isOverloaded(admission, now)
  let best = 0
  for (let index = 1; index < admission.queue.length; index++) {
    if (isBetter(admission, admission.queue[index], admission.queue[best], newestFirst)) best = index
  }
  return best
}

function isBetter (admission: Admission, left: QueuedRequest, right: QueuedRequest, newestFirst: boolean): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority
  if (left.workspace !== right.workspace) {
    const leftTime = finishTime(admission, left.workspace)
    const rightTime = finishTime(admission, right.workspace)
    if (leftTime !== rightTime) return leftTime < rightTime
  }
  return newestFirst ? left.arrivedAt > right.arrivedAt : left.arrivedAt < right.arrivedAt
}

/** Returns which requests are the first to be shed, or undefined when none has to be. */
function findShedClass ({ ranked, queue }: Admission, capacity: number): ((entry: QueuedRequest) => boolean) | undefined {
  if (ranked !== undefined) return findLast(queue, capacity)
  const lowest = Math.max(...queue.map((entry) => entry.priority))
  return (entry) => entry.priority === lowest
}

/** Sheds the oldest request of those that are to be shed first, from the workspace with the most of them waiting relative to its weight. */
function shedWorst (admission: Admission, capacity: number, newId: string, decision: AdmissionDecision): void {
  const isCandidate = findShedClass(admission, capacity)
  if (isCandidate === undefined) return
  const waiting = new Map<string, number>()
  for (const entry of admission.queue) {
    if (isCandidate(entry)) waiting.set(entry.workspace, (waiting.get(entry.workspace) ?? 0) + 1 / entry.weight)
  }
  let worst = -1
  let largestExcess = -Infinity
  for (const [index, entry] of admission.queue.entries()) {
    const excess = waiting.get(entry.workspace) ?? 0
    if (!isCandidate(entry) || excess <= largestExcess) continue
    worst = index
    largestExcess = excess
  }
  const [entry] = admission.queue.splice(worst, 1)
  decision.shed.push({ id: entry.id, reason: entry.id === newId ? 'queue-full' : 'displaced' })
}
