import type { RequestSource } from './running.ts'

/** A planned stop. Times are monotonic, in ms. */
export interface Stop {
  startedAt: number
  /** Requests of callers that are read before this time are served, because their callers cannot know of the stop. */
  servesUntil: number
  /** Requests that still run at this time are given up. */
  endsAt: number
}

/** A call is expected to take at most this many times as long as the longest recent one, and `marginMs` more, in which also a late event loop ends it. */
const durationFactor = 2
const marginMs = 1500

/** Ends a stop before its time, when nothing runs any more. What is read while connections are closed is not begun. */
export function endStop (stop: Stop, now: number): Stop {
  const endsAt = Math.min(stop.endsAt, now)
  return { ...stop, servesUntil: Math.min(stop.servesUntil, endsAt), endsAt }
}

/** Properties of a request that decide whether a stopping node begins it. */
export interface StoppingRequest {
  source: RequestSource
  /** Time within which the request certainly ends, in ms. A call that a target makes for a request ends no later than that request. */
  timeoutMs: number
  /** Longest time that such requests have taken here lately, in ms; undefined when none has ended. */
  longestMs?: number
}

function endsInTime (stop: Stop, { timeoutMs, longestMs }: StoppingRequest, now: number): boolean {
  if (now + timeoutMs <= stop.endsAt) return true
  return longestMs !== undefined && now + durationFactor * longestMs + marginMs <= stop.endsAt
}

/**
 * Returns true when a node may begin a request. A stopping node begins what its callers could not send elsewhere in time, and otherwise only what ends
 * before the stop does, so that it gives up as little as possible; anything else is refused while it has not run. Other nodes can send elsewhere: they
 * learn of the stop at once, and a refusal costs them a round trip.
 */
export function beginsDuring (stop: Stop | undefined, request: StoppingRequest, now: number): boolean {
  if (stop === undefined) return true
  if (request.source === 'caller' && now < stop.servesUntil) return true
  return endsInTime(stop, request, now)
}
