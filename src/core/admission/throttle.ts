/** Time between two adjustments, in milliseconds. */
const windowMs = 100

/** Requests that pass in each window regardless of the fraction; they detect a recovery. */
const probesPerWindow = 2

/** Fraction of accepted outcomes from which the pass fraction grows. */
const minAcceptedToGrow = 0.9

/** Growth of the pass fraction in a good window: a factor and a step. */
const growthFactor = 1.5
const growthStep = 0.05

/** Requests that pass for each request accepted in a bad window, by priority. High priorities are throttled last. */
const passedPerAccepted = [3, 1.6, 1.2, 1.1] as const

/** Idle time after which the state of a key is dropped, in milliseconds. */
const idleLifeMs = 10_000

/** State of one key: a route, workspace and priority. */
interface ThrottleState {
  /** Fraction of the requests that pass. */
  passFraction: number
  windowAt: number
  /** Requests that passed in this window. */
  passed: number
  /** Outcomes that arrived in this window. */
  accepted: number
  refused: number
}

/**
 * Throttle states by key. At the entry node, estimates from the refusals of downstream services what fraction of
 * a route's requests they accept, by workspace and priority; the rest is refused at once.
 */
export type Throttle = Map<string, ThrottleState>

/** Creates a throttle without any state. */
export function createThrottle (): Throttle {
  return new Map()
}

function stateOf (throttle: Throttle, key: string, priority: number, now: number): ThrottleState {
  const known = throttle.get(key)
  if (known === undefined) {
    const created = { passFraction: 1, windowAt: now, passed: 0, accepted: 0, refused: 0 }
    throttle.set(key, created)
    return created
  }
  if (now - known.windowAt >= windowMs) closeWindow(known, priority, now)
  return known
}

function closeWindow (state: ThrottleState, priority: number, now: number): void {
  const windows = Math.floor((now - state.windowAt) / windowMs)
  const outcomes = state.accepted + state.refused
  const acceptedFraction = outcomes === 0 ? 1 : state.accepted / outcomes
  if (acceptedFraction >= minAcceptedToGrow) {
    for (let count = 0; count < windows && state.passFraction < 1; count++) state.passFraction = Math.min(1, state.passFraction * growthFactor + growthStep)
  } else {
    state.passFraction *= Math.min(1, acceptedFraction * (passedPerAccepted[priority] ?? 1))
  }
  Object.assign(state, { windowAt: now, passed: 0, accepted: 0, refused: 0 })
}

/** Returns true when a request may pass, and counts a request that does. `draw` is uniform in [0, 1). */
export function passesThrottle (throttle: Throttle, key: string, priority: number, draw: number, now: number): boolean {
  const state = stateOf(throttle, key, priority, now)
  if (draw >= state.passFraction && state.passed >= probesPerWindow) return false
  state.passed++
  return true
}

/** Records whether a request that passed was accepted or refused downstream. */
export function recordOutcome (throttle: Throttle, key: string, priority: number, accepted: boolean, now: number): void {
  const state = stateOf(throttle, key, priority, now)
  if (accepted) state.accepted++
  else state.refused++
}

/** Drops the states of keys that have not been used for a long time. */
export function pruneThrottle (throttle: Throttle, now: number): void {
  for (const [key, state] of throttle) {
    if (now - state.windowAt > idleLifeMs) throttle.delete(key)
  }
}
