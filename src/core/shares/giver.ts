import { assumedAccepted, callsPerRequest, dividedFraction, drainMs, feedbackWindows, holdingMemoryMs, manyEnds, maxClasses, maxDrainFraction, minShare, refusalMemoryMs, shortAfterMs, shortAfterRequests, smoothingMs, sparseHoldingMemoryMs, toleratedRefusalFraction, windowMs } from './constants.ts'
import { divideRoom } from './divide.ts'

/** Arrivals per ms below which a class without requests is forgotten. */
const forgottenBelow = 1e-4

/** What decides to which class a request at a target belongs. */
export interface ClassOf {
  route: string
  /** Priority of the caller's request, from 0. */
  rank: number
  /** True for a call of a request in progress. */
  isInProgress: boolean
}

/** How a request left a target or the queue before it. */
export type Leaving = 'not-started' | 'ended' | 'refused'

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
export interface Giver {
  classes: Map<string, ClassState>
  windowAt: number
  /** Decayed counts of the requests that the target accepted and refused. */
  accepted: number
  refused: number
  /** Work asked for beyond the room, in requests held at once times ms, as if nothing were refused. It shrinks while there is room. */
  excess: number
  /** True from when `excess` is more than a queue takes up until it is gone. */
  isDividing: boolean
  /** Room that was divided last, in requests held at once. */
  divided: number
  /** True while the share of some class is below 1. */
  isShort: boolean
}

/** Creates the giver of a target that has no requests. */
export function createGiver (now: number): Giver {
  return { classes: new Map(), windowAt: now, accepted: 0, refused: 0, excess: 0, isDividing: false, divided: 0, isShort: false }
}

/** Returns the name of a request's class: direct requests by route and rank, calls of requests in progress by rank. */
function classNameOf ({ route, rank, isInProgress }: ClassOf): string {
  return isInProgress ? `in progress/${rank}` : `${route}/${rank}`
}

function createClass (name: string, { rank, isInProgress }: ClassOf, now: number): ClassState {
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
    arrivalMean: 0,
    shareMean: 1,
    demand: 0,
    share: 1
  }
}

function findClass (giver: Giver, kind: ClassOf): ClassState | undefined {
  return giver.classes.get(classNameOf(kind)) ?? giver.classes.get(classNameOf({ ...kind, route: '' }))
}

function classFor (giver: Giver, kind: ClassOf, now: number): ClassState {
  const known = findClass(giver, kind)
  if (known !== undefined) return known
  const name = classNameOf(giver.classes.size < maxClasses ? kind : { ...kind, route: '' })
  const created = createClass(name, kind, now)
  giver.classes.set(name, created)
  return created
}

function integrate (state: ClassState, now: number): void {
  state.held += state.running * (now - state.integratedAt)
  state.integratedAt = now
}

/** Records a request that came to the target or its queue. `heardShare` is the share of its class that its caller's node reckoned with. Returns its class. */
export function recordArrival (giver: Giver, kind: ClassOf, heardShare: number, now: number): ClassState {
  const state = classFor(giver, kind, now)
  state.waiting++
  state.arrived++
  state.heardShares += heardShare
  return state
}

/** Records that a request was started. */
export function recordStart (state: ClassState, now: number): void {
  integrate(state, now)
  state.waiting--
  state.running++
}

/** Records that a request left the target, which had held it for `heldMs`, or the queue. */
export function recordLeaving (giver: Giver, state: ClassState, leaving: Leaving, heldMs: number, now: number): void {
  if (leaving === 'not-started') {
    state.waiting--
    return
  }
  integrate(state, now)
  state.running--
  if (leaving === 'refused') {
    state.held -= heldMs
    giver.refused++
    return
  }
  giver.accepted++
  state.ended++
}

/** Returns the time for which a request of a class is held, in ms; 0 until some have been. It rises while none ends. */
function holdingMsOf ({ heldSum, endedSum }: ClassState): number {
  return heldSum <= 0 ? 0 : heldSum / Math.max(1, endedSum)
}

/** Closes the window of a class: updates the demand that there would be if nothing were refused. */
function measure (state: ClassState, elapsedMs: number, now: number): void {
  integrate(state, now)
  const decay = Math.exp(-elapsedMs / (state.endedSum < manyEnds ? sparseHoldingMemoryMs : holdingMemoryMs))
  state.heldSum = state.heldSum * decay + state.held
  state.endedSum = state.endedSum * decay + state.ended
  state.recentShares.push(state.arrived > 0 ? state.heardShares / state.arrived : state.recentShares.at(-1) ?? 1)
  if (state.recentShares.length > feedbackWindows + 1) state.recentShares.shift()
  const weight = 1 - Math.exp(-elapsedMs / smoothingMs)
  state.arrivalMean += weight * (state.arrived / elapsedMs - state.arrivalMean)
  state.shareMean += weight * (state.recentShares[0] - state.shareMean)
  state.demand = state.arrivalMean / Math.max(minShare, state.shareMean) * holdingMsOf(state)
  Object.assign(state, { held: 0, arrived: 0, heardShares: 0, ended: 0 })
}

/** Returns the part of the requests with several calls that the target's own refusals let succeed. */
function completedFraction ({ accepted, refused }: Giver): number {
  const acceptedFraction = (accepted + assumedAccepted) / (accepted + refused + assumedAccepted)
  return Math.min(1, acceptedFraction / (1 - toleratedRefusalFraction)) ** callsPerRequest
}

/** Updates whether more is asked for than a queue takes up. Chance makes demand exceed the room for moments long before it does so in the mean. */
function updateExcess (giver: Giver, elapsedMs: number): void {
  let [demand, arrivals] = [0, 0]
  for (const state of giver.classes.values()) {
    demand += state.demand
    arrivals += state.demand === 0 ? 0 : state.demand / holdingMsOf(state)
  }
  const requestWork = arrivals === 0 ? 0 : demand / arrivals
  const most = giver.divided * shortAfterMs + shortAfterRequests * requestWork
  giver.excess = Math.min(2 * most, Math.max(0, giver.excess + (demand - giver.divided) * elapsedMs))
  if (giver.excess >= most) giver.isDividing = true
  else if (giver.excess === 0) giver.isDividing = false
}

/** Closes the window that has ended, if any, and divides the room anew. `room` is the number of requests that the target works on well at once. */
export function updateGiver (giver: Giver, room: number, now: number): void {
  const elapsedMs = now - giver.windowAt
  if (elapsedMs < windowMs) return
  giver.windowAt = now
  let backlog = 0
  for (const state of giver.classes.values()) {
    measure(state, elapsedMs, now)
    backlog += state.waiting * holdingMsOf(state)
    if (state.running + state.waiting === 0 && state.arrivalMean < forgottenBelow) giver.classes.delete(state.name)
  }
  const decay = Math.exp(-elapsedMs / refusalMemoryMs)
  giver.accepted *= decay
  giver.refused *= decay
  giver.divided = dividedFraction * room - Math.min(backlog / drainMs, maxDrainFraction * room)
  updateExcess(giver, elapsedMs)
  const states = [...giver.classes.values()]
  const fractions = giver.isDividing ? divideRoom(states.map(({ rank, demand }) => ({ rank, amount: demand })), giver.divided) : states.map(() => 1)
  const completed = completedFraction(giver)
  giver.isShort = false
  for (const [index, state] of states.entries()) {
    state.share = Math.max(minShare, Math.min(fractions[index], state.isInProgress ? completed : 1))
    if (state.share < 1) giver.isShort = true
  }
}

/** Returns the share of a class as divided last. */
export function ownShareOf (giver: Giver, kind: ClassOf): number {
  return giver.isShort ? findClass(giver, kind)?.share ?? 1 : 1
}
