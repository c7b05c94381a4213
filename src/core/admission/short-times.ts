import { censoredGrowth, probeDecay, shortTimeGain, shortTimeLoss } from './constants.ts'

/**
 * Time in ms within which the faster ones of a kind of request end at the target, by kind: about its 20th percentile, as an expectile. It decides who has too
 * little time left to be begun. The mean would not do: once it lies above the time that callers have left, only the few with more time are begun,
 * and what these take keeps it there.
 */
export type ShortTimes = Map<string, number>

/** Creates an empty collection: everybody has time enough. */
export function createShortTimes (): ShortTimes {
  return new Map()
}

/** Returns the time that a request of a kind takes at least, in ms; 0 while nothing is known. */
export function shortTimeOf (times: ShortTimes, kind: string): number {
  return times.get(kind) ?? 0
}

/** Records a request that ended well after `latencyMs`. */
export function recordEndedWell (times: ShortTimes, kind: string, latencyMs: number): void {
  const known = shortTimeOf(times, kind)
  times.set(kind, known + (latencyMs > known ? shortTimeGain : shortTimeLoss) * (latencyMs - known))
}

/** Records a request that failed after `latencyMs`: it would have taken longer than that. */
export function recordCutShort (times: ShortTimes, kind: string, latencyMs: number): void {
  const known = shortTimeOf(times, kind)
  if (latencyMs >= known) times.set(kind, Math.max(known * censoredGrowth, known + shortTimeGain * (latencyMs - known)))
}

/** Records a request that was not begun for want of time. Without its end nobody knows how long it would have taken, so that the next ones may try with a little less. */
export function recordTooLate (times: ShortTimes, kind: string): void {
  times.set(kind, shortTimeOf(times, kind) * probeDecay)
}
