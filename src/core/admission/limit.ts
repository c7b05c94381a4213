import { coldPart, failureFactor, failureTolerance, floorGrowth, latencyTolerance, minSamples, trialFactor, trialGain, windowMs } from './constants.ts'

/** Concurrency limit of one target, learnt from its own latency and failures. */
export interface Limit {
  /** Requests that may run at once. */
  value: number
  /** Upper bound: the slots that the target announced. */
  slots: number
  /** Latency that the target has when it is not crowded, in ms. */
  floorMs: number
  /** Whether the limit is learnt; otherwise it is the slots. */
  learns: boolean
  /** True until the limit first met resistance or reached the slots. */
  cold: boolean
  /** A lowered limit under trial: whether fewer requests at once make each of them faster. */
  trial?: { value: number, latencyMs: number }
  /** The window before was above the tolerance; its average mixes times before and after the change. */
  wasHigh: boolean
  windowAt: number
  /** Least length of the present window, in ms. */
  windowLengthMs: number
  sumMs: number
  samples: number
  failures: number
  peak: number
}

/** What one finished request says about the target. */
export interface Sample {
  /** Time at the target less the time in its own outgoing calls, in ms. */
  latencyMs: number
  /** Requests that ran at the same time. */
  running: number
  /** The target refused the request, broke off, or did not answer in time. */
  failed: boolean
}

/** Creates the limit of a target that has just started. */
export function createLimit (slots: number, now: number): Limit {
  const value = Math.max(1, Math.floor(slots * coldPart))
  return { value, slots, learns: true, floorMs: Infinity, cold: true, wasHigh: false, windowAt: now, windowLengthMs: windowMs, sumMs: 0, samples: 0, failures: 0, peak: 0 }
}

/** Creates a limit that stays at the slots, for targets that serve as many requests at once as they announce. */
export function createFixedLimit (slots: number, now: number): Limit {
  return { ...createLimit(slots, now), value: slots, learns: false, cold: false }
}

/** Takes in one sample and adjusts the limit at the end of each window. */
export function recordSample (limit: Limit, sample: Sample, now: number): void {
  if (!limit.learns) return
  limit.samples++
  limit.peak = Math.max(limit.peak, sample.running)
  if (sample.failed) limit.failures++
  else limit.sumMs += sample.latencyMs
  if (now - limit.windowAt >= limit.windowLengthMs && limit.samples >= minSamples) closeWindow(limit, now)
}

function closeWindow (limit: Limit, now: number): void {
  const good = limit.samples - limit.failures
  const averageMs = good > 0 ? limit.sumMs / good : Infinity
  const used = limit.peak >= limit.value * 0.7
  const before = limit.value
  limit.value = nextValue(limit, averageMs, used)
  limit.floorMs = Math.min(limit.floorMs * floorGrowth, averageMs)
  const settleMs = limit.value < before && Number.isFinite(averageMs) ? averageMs : 0
  Object.assign(limit, { windowAt: now, windowLengthMs: windowMs + settleMs, sumMs: 0, samples: 0, failures: 0, peak: 0 })
}

function nextValue (limit: Limit, averageMs: number, used: boolean): number {
  const { value, slots, floorMs } = limit
  if (limit.failures > limit.samples * failureTolerance) {
    limit.cold = false
    limit.trial = undefined
    return Math.max(1, value * failureFactor)
  }
  if (limit.trial !== undefined) return judgeTrial(limit, limit.trial, averageMs)
  if (Number.isFinite(floorMs) && averageMs > floorMs * latencyTolerance) {
    limit.cold = false
    if (!limit.wasHigh) {
      limit.wasHigh = true
      return value
    }
    limit.trial = { value, latencyMs: averageMs }
    return Math.max(1, value * trialFactor)
  }
  limit.wasHigh = false
  if (!used) return value
  const next = limit.cold ? value * 2 : value + Math.max(1, Math.sqrt(value))
  if (next >= slots) limit.cold = false
  return Math.min(slots, next)
}

/**
 * A target that is crowded gets faster when it runs less; the lower limit then stands and the next
 * window may go on. One that is slow whatever it runs gains nothing: its latency is the new floor
 * and the limit goes back up.
 */
function judgeTrial (limit: Limit, trial: { value: number, latencyMs: number }, averageMs: number): number {
  limit.trial = undefined
  if (averageMs <= trial.latencyMs * trialGain) return limit.value
  limit.floorMs = averageMs
  return Math.min(limit.slots, trial.value)
}
