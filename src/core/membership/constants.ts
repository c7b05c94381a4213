/** Interval between probes, in milliseconds. */
export const probeIntervalMs = 400

/** Time allowed for a direct ack before indirect pings are requested, in milliseconds. */
export const ackTimeoutMs = 250

/** Time after which a probe, including its indirect pings, counts as failed, in milliseconds. */
export const probeTimeoutMs = 700

/** Number of members asked for an indirect ping. */
export const indirectProbeCount = 3

/** Time in which a suspect can refute the suspicion before it counts as dead, in milliseconds. */
export const suspicionTimeoutMs = 1800

/** Delay before updates are pushed, to batch several in one packet, in milliseconds. */
export const pushDelayMs = 20

/** Number of members that updates are pushed to. */
export const pushFanout = 3

/** Maximum number of updates in one packet. */
export const maxUpdatesPerPacket = 6

/** Number of transmissions of an update per doubling of the fleet size. */
export const retransmitFactor = 2

/** Minimum interval between full syncs after digest mismatches, in milliseconds. */
export const minSyncIntervalMs = 5000

/** Time for which records of dead and left members are kept, in milliseconds. */
export const memberRetentionMs = 3_600_000

/** Number of consecutive packets with a differing digest that triggers a full sync. */
export const mismatchesToSync = 10

/** Bounds of the exponential backoff between syncs with seeds at whose address no member is known, in milliseconds. */
export const minSeedSyncMs = 300
export const maxSeedSyncMs = 15_000
