/** An attempt that ended without an answer. */
export interface FailedAttempt {
  /** True when no byte of the request reached a target. */
  notRun: boolean
  /** True when the target crashed while it ran the request. */
  crashed: boolean
  /** True when the request was already retried after a crash of a target. */
  suspect: boolean
  /** True when another target may accept the request; false for refusals that apply to every target. */
  elsewhere: boolean
}

/** Shortest remaining time for another attempt, in milliseconds. */
const minRemainingMs = 5

/** Returns true when the request may be attempted again. The budget and the retry tokens are charged separately. */
export function mayRetry (attempt: FailedAttempt, idempotent: boolean, remainingMs: number): boolean {
  if (!attempt.elsewhere || (attempt.crashed && attempt.suspect) || remainingMs < minRemainingMs) return false
  return attempt.notRun || idempotent
}
