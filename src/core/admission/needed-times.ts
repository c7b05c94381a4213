import { censoredGrowth, neededTimeWeight, probeDecay } from './constants.ts'

/**
 * Time in ms that a request of a kind needs at the target, by kind. It decides who has too little time left to be begun. A mean of those that ended well would
 * not do alone: once it lies above the time that callers have left, only the few with more time are begun, and what these take keeps it there. So it
 * also follows requests that were cut short, and those that were not begun.
 */
export type NeededTimes = Map<string, number>

/** Creates an empty collection: everybody has time enough. */
export function createNeededTimes (): NeededTimes {
  return new Map()
}

/** Returns the time that a request of a kind needs, in ms; 0 while nothing is known. */
export function neededTimeOf (times: NeededTimes, kind: string): number {
  return times.get(kind) ?? 0
}

/** Records a request that ended well after `latencyMs`. */
export function recordEndedWell (times: NeededTimes, kind: string, latencyMs: number): void {
  const known = neededTimeOf(times, kind)
  times.set(kind, known + neededTimeWeight * (latencyMs - known))
}

/** Records a request that failed after `latencyMs`: it would have taken longer than that. */
export function recordCutShort (times: NeededTimes, kind: string, latencyMs: number): void {
  const known = neededTimeOf(times, kind)
  if (latencyMs >= known) times.set(kind, Math.max(known * censoredGrowth, known + neededTimeWeight * (latencyMs - known)))
}

/** Records a request that was not begun for want of time. Without its end nobody knows how long it would have taken, so that the next ones may try with a little less. */
export function recordTooLate (times: NeededTimes, kind: string): void {
  times.set(kind, neededTimeOf(times, kind) * probeDecay)
}
