/** Interval between heartbeats of the leader, in milliseconds. */
export const heartbeatIntervalMs = 120

/** Shortest election timeout, in milliseconds. Members grant no vote for this long after a message from a leader. */
export const minElectionTimeoutMs = 800

/** Longest election timeout, in milliseconds. */
export const maxElectionTimeoutMs = 1600

/**
 * Leader lease, in milliseconds, counted from the send time of the newest messages that a quorum acknowledged.
 * Shorter than the shortest election timeout, because no other leader may be elected while the lease lasts.
 */
export const leaseMs = 600

/** Maximum number of entries in one append message. */
export const maxAppendEntries = 256

/** Delay before an unacknowledged snapshot is sent again, in milliseconds. */
export const snapshotRetryMs = 5000

/** Maximum lag of a learner behind the commit index at its promotion to voter, in entries. */
export const maxPromotionLag = 16
