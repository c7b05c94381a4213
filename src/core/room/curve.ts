/** Number of levels of working requests up to all slots. The lowest one includes everything below half of them. */
const levelCount = 10

/** Width of a level, as a fraction of the slots. */
const levelWidth = 0.05

/** Lower bound of the second level, as a fraction of the slots. */
const firstBound = 0.55

/** Shortest window of starts in which levels are compared, in milliseconds, and its length in mean working times. */
const minWindowMs = 100
const windowWorkingTimes = 0.5

/** Time after which the requests of a window are taken to have ended, in mean working times. */
const completeAfterWorkingTimes = 5

/** Most windows whose requests have not ended. */
const maxPending = 32

/** Fewest requests of a level in a window for a comparison, and those that make it count in full. */
const minRequests = 3
const fullRequests = 8

/** Smallest weight of one window in the offset of a level, and the windows that count as known about it at first: no knee. */
const minGain = 0.03
const priorWindows = 3

/** Largest difference of one window that is taken over, as a logarithm. */
const maxResidual = Math.log(1.5)

/** Windows by which the part above a knee and the part below it must be known. */
const minEvidence = 5

/** Windows by which the highest level and the others must be known, so that a target with all slots in use need not be explored. */
const knownEvidence = 30

/** Smallest separation of these parts: square of the slow-down times the windows by which their difference is known. Working times of few requests scatter. */
const minSeparation = 0.3

/** Time constant of the decay of evidence, in milliseconds. After some of it a target is given all its slots again. */
const evidenceDecayMs = 120_000

/** Slow-down from which a knee counts as found, and below which it counts as gone, as logarithms. */
const foundSlowdown = Math.log(1.1)
const lostSlowdown = Math.log(1.05)

/** One level of working requests. */
interface Level {
  /** Logarithm of the working time relative to that of the whole target at the same time. */
  offset: number
  /** Windows in which this level was compared with others. */
  evidence: number
}

/** Requests of one level that started in a window and have ended, with the sum of their working times relative to the mean of their kind. */
interface LevelSum {
  requests: number
  relativeMs: number
}

/** Requests that started within a short time. */
export interface Window {
  startedAt: number
  sums: LevelSum[]
}

/**
 * Working time of a target over its working requests. Only requests that started within a short time of each other are compared, because the target as a
 * whole becomes faster and slower, too: what they have in common counts as the speed of the target, and what is left as the offset of their level.
 */
export interface Curve {
  levels: Level[]
  /** Windows whose requests may still run, the oldest first. New requests belong to the last one. */
  windows: Window[]
  /** Fraction of the slots from which the target is lastingly slower, 1 when there is none. */
  knee: number
  /** True when it is known whether the target is slower with all slots in use. */
  isKnown: boolean
}

function createWindow (now: number): Window {
  return { startedAt: now, sums: Array.from({ length: levelCount }, () => ({ requests: 0, relativeMs: 0 })) }
}

/** Creates an empty curve. */
export function createCurve (now: number): Curve {
  return { levels: Array.from({ length: levelCount }, () => ({ offset: 0, evidence: 0 })), windows: [createWindow(now)], knee: 1, isKnown: false }
}

function lowerBound (level: number): number {
  return firstBound + (level - 1) * levelWidth
}

/** Returns the window of the requests that start now. */
export function currentWindow ({ windows }: Curve): Window {
  return windows[windows.length - 1]
}

/**
 * Records a request that ended well. `fraction` is the number of working requests divided by the slots when it started, and `relativeMs` its working
 * time divided by the mean one of its kind.
 */
export function recordWorkingTime ({ sums }: Window, fraction: number, relativeMs: number): void {
  const index = Math.floor((fraction - firstBound) / levelWidth + 1 + 1e-9)
  const sum = sums[Math.max(0, Math.min(levelCount - 1, index))]
  sum.requests++
  sum.relativeMs += relativeMs
}

/** Begins a new window when the current one is long enough, and takes over those that are complete. `meanMs` is the mean working time. */
export function updateCurve (curve: Curve, meanMs: number, now: number): void {
  const { windows, levels } = curve
  const windowMs = Math.max(minWindowMs, windowWorkingTimes * meanMs)
  if (now - currentWindow(curve).startedAt < windowMs) return
  const decay = Math.exp(-(now - currentWindow(curve).startedAt) / evidenceDecayMs)
  for (const level of levels) level.evidence *= decay
  windows.push(createWindow(now))
  while (windows.length > maxPending || now - windows[0].startedAt > windowMs + completeAfterWorkingTimes * meanMs) {
    if (windows.length === 1) break
    const [oldest] = windows.splice(0, 1)
    compareLevels(levels, oldest)
  }
  curve.knee = findKnee(levels, curve.knee < 1)
  curve.isKnown = meanOf(levels.slice(0, -1)).evidence >= knownEvidence && levels[levelCount - 1].evidence >= knownEvidence
}

function compareLevels (levels: readonly Level[], { sums }: Window): void {
  const compared = levels.map((level, index) => ({ level, ...sums[index] })).filter(({ requests }) => requests >= minRequests)
    .map(({ level, requests, relativeMs }) => ({ level, requests, difference: Math.log(Math.max(1e-3, relativeMs / requests)) - level.offset }))
  if (compared.length < 2) return
  const requestCount = compared.reduce((sum, { requests }) => sum + requests, 0)
  const common = compared.reduce((sum, { requests, difference }) => sum + requests * difference, 0) / requestCount
  for (const { level, requests, difference } of compared) {
    const weight = Math.min(1, requests / fullRequests)
    const gain = Math.max(minGain, 1 / (level.evidence + priorWindows))
    level.offset += gain * weight * Math.max(-maxResidual, Math.min(maxResidual, difference - common))
    level.evidence += weight
  }
}

/** A bound between two levels, with the slow-down above it as a logarithm. */
interface Step {
  bound: number
  slowdown: number
}

function meanOf (levels: readonly Level[]): { offset: number, evidence: number } {
  const evidence = levels.reduce((sum, level) => sum + level.evidence, 0)
  return { evidence, offset: levels.reduce((sum, level) => sum + level.evidence * level.offset, 0) / Math.max(1e-9, evidence) }
}

/** Returns the bound that separates slower levels from faster ones best; undefined while too little is known. */
function findStep (levels: readonly Level[]): Step | undefined {
  let best: Step | undefined
  let bestSeparation = minSeparation
  for (let index = 1; index < levelCount; index++) {
    const lower = meanOf(levels.slice(0, index))
    const upper = meanOf(levels.slice(index))
    if (lower.evidence < minEvidence || upper.evidence < minEvidence) continue
    const slowdown = upper.offset - lower.offset
    const separation = slowdown > 0 ? slowdown ** 2 * lower.evidence * upper.evidence / (lower.evidence + upper.evidence) : 0
    if (separation <= bestSeparation) continue
    best = { bound: lowerBound(index), slowdown }
    bestSeparation = separation
  }
  return best
}

/** Lower bound of the highest level, as a fraction of the slots. */
export const highestBound = lowerBound(levelCount - 1)

/**
 * Returns the fraction of the slots from which the target is lastingly slower, 1 when there is none. A target that completes more requests above that
 * fraction than below it, although each takes longer, has none either.
 */
function findKnee (levels: readonly Level[], wasFound: boolean): number {
  const step = findStep(levels)
  if (step === undefined || step.slowdown < (wasFound ? lostSlowdown : foundSlowdown)) return 1
  return step.bound >= Math.exp(-step.slowdown) ? step.bound : 1
}
