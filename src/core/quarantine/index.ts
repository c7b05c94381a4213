import { digest } from '../auth/index.ts'

/** Length of a fingerprint, in hexadecimal digits. */
const fingerprintLength = 24

/** Time for which a completed request exonerates its fingerprint, in milliseconds. */
const exonerationMs = 10 * 60_000

/** Limit of the completed fingerprints that a node remembers. */
const maxCompletedFingerprints = 50_000

/** Properties of a request that its fingerprint is computed from. */
export interface FingerprintInput {
  workspace: string
  route: string
  method: string
  path: string
  bodyDigest: string
}

/** Returns the fingerprint under which the quarantine treats requests as the same. */
export function fingerprintOf (input: FingerprintInput): string {
  const { workspace, route, method, path, bodyDigest } = input
  return digest([workspace, route, method, path, bodyDigest].join('\n')).slice(0, fingerprintLength)
}

/** Fingerprints of requests that completed at a node, with the time of the last completion, oldest first. */
export type CompletedFingerprints = Map<string, number>

/** Creates an empty set of completed fingerprints. */
export function createCompletedFingerprints (): CompletedFingerprints {
  return new Map()
}

/** Records that a request with this fingerprint completed, and drops the oldest fingerprint over the limit. */
export function recordCompleted (completions: CompletedFingerprints, fingerprint: string, now: number): void {
  completions.delete(fingerprint)
  completions.set(fingerprint, now)
  if (completions.size <= maxCompletedFingerprints) return
  const [oldest] = completions.keys()
  completions.delete(oldest)
}

/** Returns true when a request with this fingerprint completed here recently enough to exonerate it. */
export function completedRecently (completions: CompletedFingerprints, fingerprint: string, now: number): boolean {
  const completedAt = completions.get(fingerprint)
  return completedAt !== undefined && now - completedAt < exonerationMs
}
