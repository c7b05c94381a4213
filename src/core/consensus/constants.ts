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

/** Size of the entries in one append message, in bytes; one entry is sent whatever its size. */
export const maxAppendBytes = 1024 * 1024

/** Size of the entries that a leader appends before a quorum has them, in bytes; one entry is appended whatever its size. */
export const maxUncommittedBytes = 4 * 1024 * 1024

/** Length of the part of a snapshot in one message, in characters. */
export const maxSnapshotPartLength = 512 * 1024

/** Time after which a message that no reply has answered may be sent again, in milliseconds. */
export const appendTimeoutMs = 1000

/** Maximum lag of a learner behind the commit index at its promotion to voter, in entries. */
export const maxPromotionLag = 16
