/** A planned stop. Times are monotonic, in ms. */
export interface Stop {
  startedAt: number
  /** Requests that are read before this time are served, because their callers cannot know of the stop. */
  servesUntil: number
  /** Requests that still run at this time are given up. */
  endsAt: number
}

/** Ends a stop before its time, when nothing runs any more. What is read while connections are closed is not begun. */
export function endStop (stop: Stop, now: number): Stop {
  const endsAt = Math.min(stop.endsAt, now)
  return { ...stop, servesUntil: Math.min(stop.servesUntil, endsAt), endsAt }
}

/** Properties of a request that decide whether a stopping node begins it. */
export interface StoppingRequest {
  /** Time within which the request certainly ends, in ms. A call that a target makes for a request ends no later than that request. */
  timeoutMs: number
}

/**
 * Returns true when a node may begin a request. A stopping node begins what its callers could not send elsewhere in time, and later only what certainly
 * ends before the stop does, so that it gives up as little as possible; anything else is refused while it has not run.
 */
export function beginsDuring (stop: Stop | undefined, { timeoutMs }: StoppingRequest, now: number): boolean {
  if (stop === undefined || now < stop.servesUntil) return true
  return now + timeoutMs <= stop.endsAt
}
