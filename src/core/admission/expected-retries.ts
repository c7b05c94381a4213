/** How early before its due time a retry still counts as expected, in milliseconds. */
const earlyToleranceMs = 100

/** How late after its due time a retry still counts as expected, in milliseconds. */
const lateToleranceMs = 1500

/** Most request fingerprints that are kept. */
const maxFingerprints = 20_000

/**
 * Due times of expected retries, by the fingerprint of their request. A retry is expected from a caller that was refused and
 * told in Retry-After when to retry. It is preferred to other requests, because callers do not retry after a second refusal.
 */
export type ExpectedRetries = Map<string, number[]>

/** Creates an empty collection. */
export function createExpectedRetries (): ExpectedRetries {
  return new Map()
}

/** Records that a caller was refused and told to retry at `dueAt`. */
export function expectRetry (expectedRetries: ExpectedRetries, fingerprint: string, dueAt: number): void {
  const times = expectedRetries.get(fingerprint) ?? []
  times.push(dueAt)
  expectedRetries.delete(fingerprint)
  expectedRetries.set(fingerprint, times)
  if (expectedRetries.size <= maxFingerprints) return
  const [oldest] = expectedRetries.keys()
  expectedRetries.delete(oldest)
}

/** Returns true when a retry of this request is due about now, and removes it. Each expected retry is matched once. */
export function takeExpectedRetry (expectedRetries: ExpectedRetries, fingerprint: string, now: number): boolean {
  const times = expectedRetries.get(fingerprint)
  if (times === undefined) return false
  const pending = times.filter((dueAt) => now <= dueAt + lateToleranceMs)
  const index = pending.findIndex((dueAt) => now >= dueAt - earlyToleranceMs)
  if (index >= 0) pending.splice(index, 1)
  if (pending.length > 0) expectedRetries.set(fingerprint, pending)
  else expectedRetries.delete(fingerprint)
  return index >= 0
}

/** Drops retries that did not arrive in time. */
export function pruneExpectedRetries (expectedRetries: ExpectedRetries, now: number): void {
  for (const [fingerprint, times] of expectedRetries) {
    if (times.every((dueAt) => now > dueAt + lateToleranceMs)) expectedRetries.delete(fingerprint)
  }
}
