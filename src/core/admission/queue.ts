import { calmWaitMs, minQueue, overloadAfterMs, overloadWaitMs, queuePerSlot, typicalWeight } from './constants.ts'
import { createFixedLimit, createLimit, recordSample } from './limit.ts'
import type { Limit, Sample } from './limit.ts'

/** A request that asks to run at a target. */
export interface Entry {
  id: string
  /** Requests of one kind take about the same time at the target. */
  kind: string
  /** Lower numbers are shed later. */
  priority: number
  /** Workspace, or an empty text for routes open to all. */
  workspace: string
  weight: number
  arrivedAt: number
  deadlineAt: number
  /** Longest time in the queue, in ms; without one it follows from the priority and the load. */
  maxWaitMs?: number
}

/** Why a request was shed. */
export type Reason = 'queue-full' | 'waited-too-long' | 'too-late' | 'displaced'

/** What becomes of requests after an event. Every request is started or shed exactly once. */
export interface Decision {
  started: string[]
  shed: Array<{ id: string, reason: Reason }>
}

/** Admission to one target. */
export interface Admission {
  limit: Limit
  running: number
  queue: Entry[]
  /** Virtual finish times by workspace, for weighted max-min fairness. */
  served: Map<string, number>
  virtualTime: number
  /** Last time at which the queue was empty. */
  emptyAt: number
  /** Typical time of a request at the target in ms, by kind. */
  typicalMs: Map<string, number>
}

/** Creates the admission of a target with `slots` that has just started. With `learns`, fewer than the slots may run at once. */
export function createAdmission (slots: number, now: number, learns = true): Admission {
  return { limit: learns ? createLimit(slots, now) : createFixedLimit(slots, now), running: 0, queue: [], served: new Map(), virtualTime: 0, emptyAt: now, typicalMs: new Map() }
}

/** Requests that run or wait, over what may run. */
export function loadOf (admission: Admission): number {
  return (admission.running + admission.queue.length) / Math.max(1, Math.floor(admission.limit.value))
}

/** True while the queue has not been empty for some time. */
export function isOverloaded (admission: Admission, now: number): boolean {
  return admission.queue.length > 0 && now - admission.emptyAt > overloadAfterMs
}

/** Takes in a request: it starts, waits, or is shed, and may displace another. */
export function offer (admission: Admission, entry: Entry, now: number): Decision {
  const decision: Decision = { started: [], shed: [] }
  if (!canFinish(admission, entry, now)) {
    decision.shed.push({ id: entry.id, reason: 'too-late' })
    return decision
  }
  if (admission.queue.length === 0) admission.emptyAt = now
  admission.queue.push(entry)
  startNext(admission, now, decision)
  const places = Math.max(minQueue, Math.ceil(admission.limit.value * queuePerSlot))
  if (admission.queue.length > places) shedWorst(admission, entry.id, decision)
  return decision
}

/** A request that ended at the target. */
export interface FinishedRequest extends Omit<Sample, 'running'> {
  kind: string
}

function learnTypical ({ typicalMs }: Admission, { kind, latencyMs }: FinishedRequest): void {
  const known = typicalMs.get(kind) ?? 0
  typicalMs.set(kind, known + typicalWeight * (latencyMs - known))
}

/** A request finished. `sample` is missing when it never reached the target. */
export function finish (admission: Admission, sample: FinishedRequest | undefined, now: number): Decision {
  const decision: Decision = { started: [], shed: [] }
  if (sample !== undefined) {
    recordSample(admission.limit, { ...sample, running: admission.running }, now)
    if (!sample.failed) learnTypical(admission, sample)
  }
  admission.running--
  startNext(admission, now, decision)
  return decision
}

/** Sheds what waited too long. To be called at short intervals while requests wait. */
export function tick (admission: Admission, now: number): Decision {
  const decision: Decision = { started: [], shed: [] }
  startNext(admission, now, decision)
  return decision
}

/** A waiting request was cancelled by its caller. Returns false when it was not waiting. */
export function withdraw (admission: Admission, id: string): boolean {
  const index = admission.queue.findIndex((entry) => entry.id === id)
  if (index >= 0) admission.queue.splice(index, 1)
  return index >= 0
}

function canFinish (admission: Admission, entry: Entry, now: number): boolean {
  return entry.deadlineAt - now > (admission.typicalMs.get(entry.kind) ?? 0)
}

function shedLate (admission: Admission, now: number, decision: Decision): void {
  const longestMs = isOverloaded(admission, now) ? overloadWaitMs : calmWaitMs
  const kept: Entry[] = []
  for (const entry of admission.queue) {
    const isLate = !canFinish(admission, entry, now)
    const waited = now - entry.arrivedAt > (entry.maxWaitMs ?? (entry.priority > 0 ? longestMs : Infinity))
    if (isLate || waited) decision.shed.push({ id: entry.id, reason: isLate ? 'too-late' : 'waited-too-long' })
    else kept.push(entry)
  }
  admission.queue = kept
}

function startNext (admission: Admission, now: number, decision: Decision): void {
  shedLate(admission, now, decision)
  while (admission.queue.length > 0 && admission.running < Math.floor(admission.limit.value)) {
    const index = bestIndex(admission, now)
    const [entry] = admission.queue.splice(index, 1)
    charge(admission, entry)
    admission.running++
    decision.started.push(entry.id)
  }
  if (admission.queue.length === 0) admission.emptyAt = now
}

function finishTime (admission: Admission, workspace: string): number {
  return Math.max(admission.served.get(workspace) ?? 0, admission.virtualTime)
}

function charge (admission: Admission, entry: Entry): void {
  const start = finishTime(admission, entry.workspace)
  admission.virtualTime = Math.max(admission.virtualTime, lowestWaiting(admission, start))
  admission.served.set(entry.workspace, start + 1 / entry.weight)
}

/** Virtual time follows the workspace that waits with the least service. */
function lowestWaiting (admission: Admission, start: number): number {
  let lowest = start
  for (const { workspace } of admission.queue) lowest = Math.min(lowest, finishTime(admission, workspace))
  return lowest
}

/** Highest priority first, then the workspace with the least service, then newest first under overload. */
function bestIndex (admission: Admission, now: number): number {
  const newestFirst = isOverloaded(admission, now)
  let best = 0
  for (let index = 1; index < admission.queue.length; index++) {
    if (isBetter(admission, admission.queue[index], admission.queue[best], newestFirst)) best = index
  }
  return best
}

function isBetter (admission: Admission, left: Entry, right: Entry, newestFirst: boolean): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority
  const leftTime = finishTime(admission, left.workspace)
  const rightTime = finishTime(admission, right.workspace)
  if (left.workspace !== right.workspace && leftTime !== rightTime) return leftTime < rightTime
  return newestFirst ? left.arrivedAt > right.arrivedAt : left.arrivedAt < right.arrivedAt
}

/** Sheds from the lowest priority, there from the workspace with the most waiting for its weight, there the oldest. */
function shedWorst (admission: Admission, newId: string, decision: Decision): void {
  const lowest = Math.max(...admission.queue.map((entry) => entry.priority))
  const waiting = new Map<string, number>()
  for (const entry of admission.queue) {
    if (entry.priority === lowest) waiting.set(entry.workspace, (waiting.get(entry.workspace) ?? 0) + 1 / entry.weight)
  }
  let worst = -1
  let most = -Infinity
  for (const [index, entry] of admission.queue.entries()) {
    const excess = waiting.get(entry.workspace) ?? 0
    if (entry.priority !== lowest || excess <= most) continue
    worst = index
    most = excess
  }
  const [entry] = admission.queue.splice(worst, 1)
  decision.shed.push({ id: entry.id, reason: entry.id === newId ? 'queue-full' : 'displaced' })
}
