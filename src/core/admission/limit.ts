import { coldStartFraction, failureFactor, toleratedFailureFraction, floorGrowth, latencyTolerance, minSamples, trialFactor, trialLatencyRatio, windowMs } from './constants.ts'

/** Concurrency limit of one target, derived from its latency and failures. */
export interface ConcurrencyLimit {
  /** Requests that may run at once. */
  value: number
  /** Upper bound: the slots that the target announced. */
  slots: number
  /** Latency of the target without contention, in ms. */
  floorMs: number
  /** True when the limit is adjusted; otherwise it equals the slots. */
  isAdaptive: boolean
  /** True until latency or failures first limit the growth, or the limit first reaches the slots. Meanwhile the limit doubles in each window. */
  cold: boolean
  /** Limit and latency before the current trial of lower concurrency, which tests whether fewer concurrent requests are faster. */
  trial?: { value: number, latencyMs: number }
  /** True when the previous window was above the latency tolerance. The first such window starts no trial, because its average may mix latencies from before and after a change. */
  wasAboveTolerance: boolean
  windowAt: number
  /** Minimum length of the current window, in ms. */
  windowLengthMs: number
  sumMs: number
  samples: number
  failures: number
  /** Most requests that ran at the same time in the current window. */
  peakRunning: number
}

/** Measurements of one finished request. */
export interface Sample {
  /** Time at the target minus the time in its outgoing calls, in ms. */
  latencyMs: number
  /** Requests that ran at the same time. */
  running: number
  /** True when the target refused the request, broke off its answer, or did not answer in time. */
  failed: boolean
}

/** Creates the limit of a target that has just started. */
export function createLimit (slots: number, now: number): ConcurrencyLimit {
  const value = Math.max(1, Math.floor(slots * coldStartFraction))
  return { value, slots, isAdaptive: true, floorMs: Infinity, cold: true, wasAboveTolerance: false, windowAt: now, windowLengthMs: windowMs, sumMs: 0, samples: 0, failures: 0, peakRunning: 0 }
}

/** Creates a limit that stays at the slots, for targets that serve as many concurrent requests as they announce. */
export function createFixedLimit (slots: number, now: number): ConcurrencyLimit {
  return { ...createLimit(slots, now), value: slots, isAdaptive: false, cold: false }
}

/** Records one sample and adjusts the limit at the end of each window. */
export function recordSample (limit: ConcurrencyLimit, sample: Sample, now: number): void {
  if (!limit.isAdaptive) return
  limit.samples++
  limit.peakRunning = Math.max(limit.peakRunning, sample.running)
  if (sample.failed) limit.failures++
  else limit.sumMs += sample.latencyMs
  if (now - limit.windowAt >= limit.windowLengthMs && limit.samples >= minSamples) closeWindow(limit, now)
}

function closeWindow (limit: ConcurrencyLimit, now: number): void {
  const succeeded = limit.samples - limit.failures
  const averageMs = succeeded > 0 ? limit.sumMs / succeeded : Infinity
  const isLimitUsed = limit.peakRunning >= limit.value * 0.7
  const before = limit.value
  limit.value = nextValue(limit, averageMs, isLimitUsed)
  limit.floorMs = Math.min(limit.floorMs * floorGrowth, averageMs)
  const transitionMs = limit.value < before && Number.isFinite(averageMs) ? averageMs : 0
  Object.assign(limit, { windowAt: now, windowLengthMs: windowMs + transitionMs, sumMs: 0, samples: 0, failures: 0, peakRunning: 0 })
}

function nextValue (limit: ConcurrencyLimit, averageMs: number, isLimitUsed: boolean): number {
  const { value, slots, floorMs } = limit
  if (limit.failures > limit.samples * toleratedFailureFraction) {
    limit.cold = false
    limit.trial = undefined
    return Math.max(1, value * failureFactor)
  }
  if (limit.trial !== undefined) return limitAfterTrial(limit, limit.trial, averageMs)
  if (Number.isFinite(floorMs) && averageMs > floorMs * latencyTolerance) {
    limit.cold = false
    if (!limit.wasAboveTolerance) {
      limit.wasAboveTolerance = true
      return value
    }
    limit.trial = { value, latencyMs: averageMs }
    return Math.max(1, value * trialFactor)
  }
  limit.wasAboveTolerance = false
  if (!isLimitUsed) return value
  const next = limit.cold ? value * 2 : value + Math.max(1, Math.sqrt(value))
  if (next >= slots) limit.cold = false
  return Math.min(slots, next)
}

/**
 * Returns the limit after a trial of lower concurrency. If the target became faster, it was overcommitted:
 * the lower limit stays and the next window may lower it further. Otherwise its latency does not depend
 * on concurrency: that latency becomes the new floor and the limit is restored.
 */
function limitAfterTrial (limit: ConcurrencyLimit, trial: { value: number, latencyMs: number }, averageMs: number): number {
  limit.trial = undefined
  if (averageMs <= trial.latencyMs * trialLatencyRatio) return limit.value
  limit.floorMs = averageMs
  return Math.min(limit.slots, trial.value)
}
