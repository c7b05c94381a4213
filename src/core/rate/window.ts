import type { Limit } from './types.ts'

/** Part of the burst that stays available at once; the rest is spread over the window. */
const immediatePart = 0.3

/**
 * Limit for which rate and burst hold over any window of `windowMs`: the sum over a window stays the same, but
 * a part of the burst comes back within it, so that demand a little above the rate for some seconds
 * is served. With a window of 0 the limit stays as it is.
 */
export function spreadBurst (limit: Limit, windowMs: number): Limit {
  if (windowMs === 0) return limit
  const burst = Math.max(1, limit.burst * immediatePart)
  const spread = Math.max(0, limit.burst - burst)
  return { ...limit, rate: limit.rate + spread * 1000 / windowMs, burst }
}
