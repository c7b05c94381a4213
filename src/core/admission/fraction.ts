/** Time between two adjustments, in milliseconds. */
const windowMs = 400

/** Queue time from which a call of a request in progress counts as delayed, in milliseconds. */
const delayedMs = 40

/** Smallest fraction; some requests must be admitted to detect that the load has dropped. */
const minFraction = 0.05

/** Smallest factor applied to the fraction after a window with delayed calls. */
const strongestCut = 0.6

/** Wait from which the smallest factor applies, in milliseconds. */
const strongestCutMs = 400

/** Fraction of the calls of requests in progress that the target may refuse before the fraction is reduced. */
const toleratedRefusalFraction = 0.2

/** Growth per window without delayed calls. */
const growth = 0.06

/**
 * Admission fraction of one target: the fraction of new requests that may be admitted in addition to requests in progress.
 * Calls of requests in progress run first. If they still have to wait, too many requests that lead to such calls
 * are admitted, at this or another node. The fraction falls with the length of that wait and recovers step by step.
 */
export interface AdmissionFraction {
  value: number
  windowAt: number
  /** Longest wait of a call of a request in progress in this window, in ms. */
  longestWaitMs: number
  /** Calls of requests in progress in this window, and how many of them the target refused. */
  calls: number
  refused: number
}

/** Creates a fraction that admits every request. */
export function createAdmissionFraction (now: number): AdmissionFraction {
  return { value: 1, windowAt: now, longestWaitMs: 0, calls: 0, refused: 0 }
}

/** Records the queue time of a call of a request in progress, whether it then ran or not. */
export function recordInProgressWait (fraction: AdmissionFraction, waitedMs: number, now: number): void {
  updateAdmissionFraction(fraction, now)
  fraction.calls++
  fraction.longestWaitMs = Math.max(fraction.longestWaitMs, waitedMs)
}

/** Records that the target refused a call of a request in progress that the concurrency limit admitted. */
export function recordInProgressRefusal (fraction: AdmissionFraction, now: number): void {
  updateAdmissionFraction(fraction, now)
  fraction.refused++
}

/** Closes the windows that have ended and adjusts the fraction. */
export function updateAdmissionFraction (fraction: AdmissionFraction, now: number): void {
  const windows = Math.floor((now - fraction.windowAt) / windowMs)
  if (windows < 1) return
  const longestWaitMs = fraction.refused > fraction.calls * toleratedRefusalFraction ? strongestCutMs : fraction.longestWaitMs
  if (longestWaitMs >= delayedMs) fraction.value *= Math.max(strongestCut, 1 - (1 - strongestCut) * longestWaitMs / strongestCutMs)
  else fraction.value += growth
  fraction.value += growth * (windows - 1)
  fraction.value = Math.min(1, Math.max(minFraction, fraction.value))
  fraction.windowAt += windows * windowMs
  fraction.longestWaitMs = 0
  fraction.calls = 0
  fraction.refused = 0
}

/** Admission fraction by priority, as a multiple of that of the lowest priority. */
const priorityFactors = [4, 2] as const

/** Additional factor for expected retries. */
const expectedRetryFactor = 3

/** Returns the part of the requests of this priority that are admitted when they come for the first time, 0 to 1. */
export function admittedPart (fraction: number, priority: number): number {
  return Math.min(1, fraction * (priorityFactors[priority] ?? 1))
}

/** Returns true when a request of this priority is admitted. `draw` is uniform in [0, 1). */
export function isAdmitted (fraction: number, priority: number, draw: number, isExpectedRetry = false): boolean {
  return draw < fraction * (priorityFactors[priority] ?? 1) * (isExpectedRetry ? expectedRetryFactor : 1)
}
