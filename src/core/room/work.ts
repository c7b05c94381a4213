/** Time constant of the mean working time of a kind, in milliseconds. */
const meanDecayMs = 30_000

/** Time constant of the speed, in milliseconds. Callers learn of a change within two seconds. */
const speedDecayMs = 600

/** Change of the speed from which it is taken out of the mean working times, and the time constant with which it becomes the usual one, in milliseconds. */
const changedSpeed = 1.3
const usualDecayMs = 60_000

/** Completions from which the mean working time of a kind is known well enough to take a change of speed out of it. */
const knownCompletions = 200

/** Requests at the usual speed with which the speed is averaged, so that a few requests do not change it. */
const usualRequests = 5

/** Fewest completions for the mean working time of a kind. */
const minCompletions = 3

/** Largest part of the time of a kind that counts as time in its calls. */
const maxCallFraction = 0.98

/** Part of the time of a kind in calls from which its working time is not known: with several calls of a request at a time nothing of it would be left. */
const unknownCallFraction = 0.9

/** Step with which the part of its time that a kind spends in calls is learnt in each interval. */
const callLearningRate = 0.03

/** Most kinds that are kept. The one that was used least recently goes first. */
const maxKinds = 64

const minSpeed = 0.02
const maxSpeed = 50

/** Requests of one kind, such as a route. Sums decay. */
export interface Kind {
  /** Requests at the target without those that are known to have a call under way. */
  active: number
  usedAt: number
  /** Time since which `active` is not included in `intervalMs`. */
  countedAt: number
  /** Time of requests at the target in the current interval, in ms, and completions in it. */
  intervalMs: number
  intervalCompletions: number
  /** Sums of time at the target, and of the part of it that is attributed to calls, in ms. */
  totalMs: number
  callMs: number
  completions: number
  /** Part of its time that the kind spends in calls, as learnt from the numbers of requests and calls. */
  callFraction: number
}

/**
 * Working times by kind and the speed of the whole target. The working time of a kind is its mean over a long time, divided by the speed of all kinds
 * together relative to those means over a short time: all requests tell the speed, also for kinds that are rare.
 */
export interface Work {
  kinds: Map<string, Kind>
  /** Sums over a short time: completions, the time that they take usually, and the time that they took, in ms. */
  completions: number
  usualMs: number
  workingMs: number
}

/** Creates an empty record. */
export function createWork (): Work {
  return { kinds: new Map(), completions: 0, usualMs: 0, workingMs: 0 }
}

/** Returns the record of a kind. */
export function kindOf (work: Work, name: string, now: number): Kind {
  const known = work.kinds.get(name)
  if (known !== undefined) {
    known.usedAt = now
    return known
  }
  if (work.kinds.size >= maxKinds) removeOldest(work)
  const created: Kind = { active: 0, usedAt: now, countedAt: now, intervalMs: 0, intervalCompletions: 0, totalMs: 0, callMs: 0, completions: 0, callFraction: 0 }
  work.kinds.set(name, created)
  return created
}

function removeOldest ({ kinds }: Work): void {
  let oldest: string | undefined
  let usedAt = Infinity
  for (const [name, kind] of kinds) {
    if (kind.usedAt >= usedAt) continue
    oldest = name
    usedAt = kind.usedAt
  }
  if (oldest !== undefined) kinds.delete(oldest)
}

/** Changes the number of active requests of a kind. */
export function changeActive (kind: Kind, change: number, now: number): void {
  kind.intervalMs += kind.active * (now - kind.countedAt)
  kind.countedAt = now
  kind.active += change
}

/** Returns the part of the time of a kind that its calls take, 0 to 1, apart from calls that are known to belong to one of its requests. */
export function callFractionOf ({ totalMs, callMs }: Kind): number {
  return totalMs <= 0 ? 0 : Math.min(maxCallFraction, callMs / totalMs)
}

/** Returns the mean working time of a kind over a long time in ms; undefined until some of its requests have ended, and where calls hide it. */
export function usualMsOf (kind: Kind): number | undefined {
  if (kind.completions < minCompletions || callFractionOf(kind) > unknownCallFraction) return undefined
  return kind.totalMs * (1 - callFractionOf(kind)) / kind.completions
}

/** Returns the speed of the target relative to its mean over a longer time: 1 as usual, 0.5 when everything takes twice as long. */
export function speedOf ({ completions, usualMs, workingMs }: Work): number {
  if (completions <= 0 || usualMs <= 0) return 1
  const priorMs = usualRequests * usualMs / completions
  return Math.max(minSpeed, Math.min(maxSpeed, (usualMs + priorMs) / (Math.max(0, workingMs) + priorMs)))
}

/** Returns the speed if it differs from the usual one by more than the chance of few requests explains, else 1. */
function changedSpeedOf (work: Work): number {
  const speed = speedOf(work)
  return speed > changedSpeed || speed < 1 / changedSpeed ? speed : 1
}

/** Returns the present working time of a kind in ms; undefined until some of its requests have ended. */
export function workingMsOf (work: Work, kind: Kind | undefined): number | undefined {
  const usualMs = kind && usualMsOf(kind)
  return usualMs === undefined ? undefined : usualMs / speedOf(work)
}

/** Returns the mean working time over all kinds in ms, 0 while nothing is known. */
export function meanWorkingMs (work: Work): number {
  return work.completions <= 0 ? 0 : work.usualMs / work.completions / speedOf(work)
}

/**
 * Learns which part of its time each kind spends in calls: the calls under way are about the sum of these parts over the requests at the target, and differ
 * from it the more by a kind the more requests of it there are (normalized least mean squares). Returns the factor that makes the sum exact.
 */
function learnCallFractions (kinds: readonly Kind[], callMs: number): number {
  const square = kinds.reduce((sum, { intervalMs }) => sum + intervalMs ** 2, 0)
  if (square === 0) return 0
  const expectedMs = () => kinds.reduce((sum, { callFraction, intervalMs }) => sum + callFraction * intervalMs, 0)
  const step = callLearningRate * (callMs - expectedMs()) / square
  for (const kind of kinds) kind.callFraction = Math.max(0, Math.min(maxCallFraction, kind.callFraction + step * kind.intervalMs))
  const learntMs = expectedMs()
  return learntMs > 0 ? callMs / learntMs : 0
}

/** Takes over an interval that ends now. `callMs` is the integral over the calls under way that cannot be attributed to a request. */
export function closeInterval (work: Work, intervalMs: number, callMs: number, now: number): void {
  const kinds = [...work.kinds.values()]
  for (const kind of kinds) changeActive(kind, 0, now)
  const callFactor = learnCallFractions(kinds, callMs)
  const keptMean = Math.exp(-intervalMs / meanDecayMs)
  const keptSpeed = Math.exp(-intervalMs / speedDecayMs)
  /** Weight of a constant during the interval, so that a long one counts no more than it would in parts. */
  const addedMean = meanDecayMs * (1 - keptMean) / intervalMs
  const addedSpeed = speedDecayMs * (1 - keptSpeed) / intervalMs
  const speed = changedSpeedOf(work)
  /** Factor on known mean working times, by which a changed speed slowly becomes the usual one. */
  const towardsSpeed = speed ** (-intervalMs / usualDecayMs)
  work.completions *= keptSpeed
  work.usualMs *= keptSpeed * towardsSpeed
  work.workingMs *= keptSpeed
  for (const kind of kinds) {
    const attributedMs = kind.intervalMs * Math.min(1, callFactor * kind.callFraction)
    const isKnown = kind.completions >= knownCompletions
    const kept = isKnown ? keptMean * towardsSpeed : keptMean
    const added = isKnown ? addedMean * speed : addedMean
    kind.totalMs = kind.totalMs * kept + kind.intervalMs * added
    kind.callMs = kind.callMs * kept + attributedMs * added
    kind.completions = kind.completions * keptMean + kind.intervalCompletions * addedMean
    const usualMs = usualMsOf(kind)
    if (usualMs !== undefined) {
      work.completions += kind.intervalCompletions * addedSpeed
      work.usualMs += kind.intervalCompletions * usualMs * addedSpeed
      work.workingMs += (kind.intervalMs - attributedMs) * addedSpeed
    }
    kind.intervalMs = 0
    kind.intervalCompletions = 0
  }
}
