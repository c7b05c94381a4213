import { assumedAccepted, callsPerRequest, dividedFraction, drainMs, feedbackWindows, holdingMemoryMs, manyEnds, maxClasses, maxDrainFraction, maxFeedbackWindows, minShare, refusalMemoryMs, shortAfterMs, shortAfterRequests, smoothingMs, sparseHoldingMemoryMs, toleratedRefusalFraction, windowMs } from './constants.ts'
import { divideRoom } from './divide.ts'
import { arrivalsPerRead, carriedCalls, createProcessorRoom, measureProcessor, readIdle } from './processor.ts'
import type { ProcessorRoom, ProcessorUse } from './processor.ts'

/** Arrivals per ms below which a class without requests is forgotten. */
const forgottenBelow = 1e-4

/** What decides to which class a request at a target belongs. */
export interface RequestClass {
  route: string
  /** Priority of the caller's request, from 0. */
  rank: number
  /** True for a call of a request in progress. */
  isInProgress: boolean
}

/** How a request left a target or the queue before it. */
export type Departure = 'not-started' | 'ended' | 'refused'

/** Whether more is asked for of a room than there is, and what is divided then. */
export interface Division {
  /** Work asked for beyond the room, in units of the room times ms, as if nothing were refused. It shrinks while there is room. */
  excess: number
  /** True from when `excess` is more than a queue takes up until it is gone. */
  isDividing: boolean
  /** What was divided last. */
  divided: number
}

/** Requests of one class at a target. */
export interface ClassState {
  name: string
  rank: number
  isInProgress: boolean
  running: number
  waiting: number
  /** Time integral of the running requests in this window, in requests times ms, up to `integratedAt`. */
  held: number
  integratedAt: number
  /** Requests that came in this window, and the sum of the shares that their callers had heard. */
  arrived: number
  heardShares: number
  /** Ends in this window of requests that the target did not refuse. */
  ended: number
  /** Shares that callers had heard, by window, the latest last. */
  recentShares: number[]
  /** Decayed sums of `held` and `ended`. Their ratio is the time for which a request is held (Little's law). */
  heldSum: number
  endedSum: number
  /** Time for which the requests that ended in this window were held, and the decayed sum of such times, in ms. */
  endedMs: number
  endedMsSum: number
  /** Last time at which a request ended, or the first one of those that run was started. */
  quietSince: number
  /** Time for which a request is held, in ms; 0 until some have been. */
  holdingMs: number
  /** Moving averages of the arrivals per ms and of the share under which they were begun. */
  arrivalMean: number
  shareMean: number
  /** Requests that would be held at once if none were refused. */
  demand: number
  /** Stated share, 0 to 1. */
  share: number
}

/**
 * Divides the room of one target among the requests that lead to it. Demand is the number of requests held at once if all that come were
 * started at once (Little's law: arrivals times the time for which one is held), not the number that waits: requests that wait for a full
 * target would count as load for as long as they wait.
 */
export interface Allocator {
  classes: Map<string, ClassState>
  windowAt: number
  /** Decayed counts of the requests that the target accepted and refused. */
  accepted: number
  refused: number
  /** Division of the target's room, in requests held at once. */
  slots: Division
  /** Division of the processor time of the target's node, in calls per ms. */
  calls: Division
  processor: ProcessorRoom
  /** True while the share of some class is below 1. */
  isShort: boolean
}

/** Creates the allocator of a target that has no requests, whose node has used its processor as `use` says. */
export function createAllocator (now: number, use: ProcessorUse = readIdle()): Allocator {
  return { classes: new Map(), windowAt: now, accepted: 0, refused: 0, slots: createDivision(), calls: createDivision(), processor: createProcessorRoom(use), isShort: false }
}

function createDivision (): Division {
  return { excess: 0, isDividing: false, divided: 0 }
}

/** Returns the name of a request's class: direct requests by route and rank, calls of requests in progress by rank. */
function classNameOf ({ route, rank, isInProgress }: RequestClass): string {
  return isInProgress ? `in progress/${rank}` : `${route}/${rank}`
}

function createClass (name: string, { rank, isInProgress }: RequestClass, now: number): ClassState {
  return {
    name,
    rank,
    isInProgress,
    running: 0,
    waiting: 0,
    held: 0,
    integratedAt: now,
    arrived: 0,
    heardShares: 0,
    ended: 0,
    recentShares: [],
    heldSum: 0,
    endedSum: 0,
    endedMs: 0,
    endedMsSum: 0,
    quietSince: now,
    holdingMs: 0,
    arrivalMean: 0,
    shareMean: 1,
    demand: 0,
    share: 1
  }
}

function findClass (allocator: Allocator, kind: RequestClass): ClassState | undefined {
  return allocator.classes.get(classNameOf(kind)) ?? allocator.classes.get(classNameOf({ ...kind, route: '' }))
}

function classFor (allocator: Allocator, kind: RequestClass, now: number): ClassState {
  const known = findClass(allocator, kind)
  if (known !== undefined) return known
  const name = classNameOf(allocator.classes.size < maxClasses ? kind : { ...kind, route: '' })
  const created = createClass(name, kind, now)
  allocator.classes.set(name, created)
  return created
}

function integrate (state: ClassState, now: number): void {
  state.held += state.running * (now - state.integratedAt)
  state.integratedAt = now
}

/** Records a request that came to the target or its queue. `heardShare` is the share of its class that its caller's node reckoned with. Returns its class. */
export function recordArrival (allocator: Allocator, kind: RequestClass, heardShare: number, now: number): ClassState {
  const state = classFor(allocator, kind, now)
  state.waiting++
  state.arrived++
  state.heardShares += heardShare
  return state
}

/** Records that a request was started. */
export function recordStart (state: ClassState, now: number): void {
  integrate(state, now)
  if (state.running === 0) state.quietSince = now
  state.waiting--
  state.running++
}

/** Records that a request left the target, which had held it for `heldMs`, or the queue. */
export function recordDeparture (allocator: Allocator, state: ClassState, departure: Departure, heldMs: number, now: number): void {
  if (departure === 'not-started') {
    state.waiting--
    return
  }
  integrate(state, now)
  state.running--
  if (departure === 'refused') {
    state.held -= heldMs
    allocator.refused++
    return
  }
  allocator.accepted++
  state.ended++
  state.endedMs += heldMs
  state.quietSince = now
}

/**
 * Returns the time for which a request of a class is held, in ms: the requests held over those that end (Little's law), which rises while none ends. While
 * the first ones still run that ratio says nothing, so that it counts up to what those that ended took and the time since the last of them ended.
 */
function findHoldingMs ({ heldSum, endedSum, endedMsSum, quietSince }: ClassState, now: number): number {
  if (heldSum <= 0) return 0
  const endedMs = endedSum > 0 ? endedMsSum / endedSum : 0
  return Math.min(heldSum / Math.max(1, endedSum), endedMs + now - quietSince)
}

/** Returns the fraction of the requests that the target accepted lately. */
function acceptedFraction ({ accepted, refused }: Allocator): number {
  return (accepted + assumedAccepted) / (accepted + refused + assumedAccepted)
}

/** What holds for all classes in a window. */
interface Measurement {
  /** Part of the requests that the target accepted lately. */
  accepted: number
  /** Time from a share in force until the calls of the requests begun under it are read. */
  feedbackMs: number
  /** Calls that came for each one that was read. */
  arrivalsPerRead: number
  elapsedMs: number
  now: number
}

/**
 * Closes the window of a class: updates the demand that there would be if nothing were turned away because of the room. What the target itself refuses
 * holds no slot, and often comes again at once.
 */
function measure (state: ClassState, { accepted, feedbackMs, arrivalsPerRead, elapsedMs, now }: Measurement): void {
  integrate(state, now)
  const decay = Math.exp(-elapsedMs / (state.endedSum < manyEnds ? sparseHoldingMemoryMs : holdingMemoryMs))
  state.heldSum = state.heldSum * decay + state.held
  state.endedSum = state.endedSum * decay + state.ended
  state.endedMsSum = state.endedMsSum * decay + state.endedMs
  state.holdingMs = findHoldingMs(state, now)
  state.recentShares.push(state.arrived > 0 ? state.heardShares / state.arrived : state.recentShares.at(-1) ?? 1)
  if (state.recentShares.length > maxFeedbackWindows + 1) state.recentShares.shift()
  const begunUnder = state.recentShares.at(-1 - Math.round(feedbackMs / windowMs)) ?? state.recentShares[0]
  const weight = 1 - Math.exp(-elapsedMs / smoothingMs)
  state.arrivalMean += weight * (arrivalsPerRead * state.arrived / elapsedMs - state.arrivalMean)
  state.shareMean += weight * (begunUnder - state.shareMean)
  state.demand = accepted * state.arrivalMean / Math.max(minShare, state.shareMean) * state.holdingMs
  Object.assign(state, { held: 0, arrived: 0, heardShares: 0, ended: 0, endedMs: 0 })
}

/** Returns the part of the requests with several calls that the target's own refusals let succeed. */
function completedFraction (allocator: Allocator): number {
  return Math.min(1, acceptedFraction(allocator) / (1 - toleratedRefusalFraction)) ** callsPerRequest
}

/** Returns the calls per ms that would come for a class if none were refused. */
function callDemandOf ({ arrivalMean, shareMean }: ClassState): number {
  return arrivalMean / Math.max(minShare, shareMean)
}

/**
 * Updates whether more is asked for than a queue takes up, of which one request has `requestWork`. Chance makes demand exceed the room for moments long
 * before it does so in the mean.
 */
function updateDivision (division: Division, demand: number, divided: number, requestWork: number, elapsedMs: number): void {
  division.divided = divided
  const most = divided * shortAfterMs + shortAfterRequests * requestWork
  division.excess = Math.min(2 * most, Math.max(0, division.excess + (demand - divided) * elapsedMs))
  if (division.excess >= most) division.isDividing = true
  else if (division.excess === 0) division.isDividing = false
}

/** Divides the target's room, of which `backlog` is needed for what waits. */
function updateSlots ({ slots, classes }: Allocator, room: number, backlog: number, elapsedMs: number): void {
  let [demand, arrivals] = [0, 0]
  for (const state of classes.values()) {
    demand += state.demand
    arrivals += state.demand === 0 ? 0 : state.demand / state.holdingMs
  }
  const divided = dividedFraction * room - Math.min(backlog / drainMs, maxDrainFraction * room)
  updateDivision(slots, demand, divided, arrivals === 0 ? 0 : demand / arrivals, elapsedMs)
}

/** Divides the processor time of the target's node. */
function updateCalls ({ calls, processor, classes }: Allocator, elapsedMs: number): void {
  let demand = 0
  for (const state of classes.values()) demand += callDemandOf(state)
  const carried = carriedCalls(processor, demand)
  if (carried === Infinity) Object.assign(calls, createDivision(), { divided: Infinity })
  else updateDivision(calls, demand, carried, 1, elapsedMs)
}

/** Returns the fraction of each class that is served of a room. */
function fractionsOf ({ isDividing, divided }: Division, states: readonly ClassState[], amountOf: (state: ClassState) => number): number[] {
  if (!isDividing) return states.map(() => 1)
  return divideRoom(states.map((state) => ({ rank: state.rank, amount: amountOf(state) })), divided)
}

/**
 * Closes the window that has ended, if any, and divides anew what there is: the room of the target, which is the number of requests that it works on
 * well at once, and the processor time of its node. A class gets the smaller part of both.
 */
export function updateAllocator (allocator: Allocator, room: number, now: number, readUse: () => ProcessorUse = readIdle): void {
  const elapsedMs = now - allocator.windowAt
  if (elapsedMs < windowMs) return
  allocator.windowAt = now
  let [backlog, arrived] = [0, 0]
  const accepted = acceptedFraction(allocator)
  const use = readUse()
  const measurement: Measurement = {
    accepted,
    feedbackMs: Math.min(maxFeedbackWindows * windowMs, feedbackWindows * windowMs + use.latenessMs),
    arrivalsPerRead: arrivalsPerRead(allocator.processor, use, elapsedMs),
    elapsedMs,
    now
  }
  for (const state of allocator.classes.values()) {
    arrived += state.arrived
    measure(state, measurement)
    backlog += state.waiting * state.holdingMs
    if (state.running + state.waiting === 0 && state.arrivalMean < forgottenBelow) allocator.classes.delete(state.name)
  }
  const decay = Math.exp(-elapsedMs / refusalMemoryMs)
  allocator.accepted *= decay
  allocator.refused *= decay
  measureProcessor(allocator.processor, use, arrived, elapsedMs)
  updateSlots(allocator, room, backlog, elapsedMs)
  updateCalls(allocator, elapsedMs)
  const states = [...allocator.classes.values()]
  const bySlots = fractionsOf(allocator.slots, states, ({ demand }) => demand)
  const byCalls = fractionsOf(allocator.calls, states, callDemandOf)
  const completed = completedFraction(allocator)
  allocator.isShort = false
  for (const [index, state] of states.entries()) {
    state.share = Math.max(minShare, Math.min(bySlots[index], byCalls[index], state.isInProgress ? completed : 1))
    if (state.share < 1) allocator.isShort = true
  }
}

/** Returns the share of a class as divided last. */
export function ownShareOf (allocator: Allocator, kind: RequestClass): number {
  return allocator.isShort ? findClass(allocator, kind)?.share ?? 1 : 1
}
