/** Number of change ids whose first result is kept for retries. */
export const maxRecordedResults = 10_000

/** Number of audit entries in the replicated state. Older ones are dropped; the hash chain stays verifiable from the oldest kept entry. */
export const maxAuditEntries = 50_000

/** Number of deltas kept for nodes that are a few revisions behind. */
export const maxDeltas = 512

/** Number of distinct targets that must crash on a fingerprint for it to be banned. */
export const crashesToBan = 2

/** Time from a fingerprint's last crash until its crash record expires, in milliseconds. */
export const crashWindowMs = 10 * 60_000

/** Duration of a fingerprint's ban, in milliseconds. */
export const banDurationMs = 10 * 60_000

/** Previous hash of the first audit entry. */
export const firstAuditHash = '0'.repeat(64)
