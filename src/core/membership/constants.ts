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

/** Number of members of the own domain that updates are pushed to. */
export const pushFanout = 3

/** Interval between pushes while updates for the own domain are pending, in milliseconds. */
export const pushIntervalMs = 120

/** Number of times that the members of a domain together send an update about one of them to each other domain. */
export const farCopies = 4

/** Maximum number of updates in one packet. */
export const maxUpdatesPerPacket = 8

/** Number of transmissions of an update within a domain per doubling of the domain's size. */
export const retransmitFactor = 1.5

/** Minimum interval between syncs after digest mismatches, in milliseconds. */
export const minSyncIntervalMs = 2000

/** Time for which records of dead and left members are kept, in milliseconds. */
export const memberRetentionMs = 3_600_000

/** Number of members of one domain that compare their lists with another domain after digest mismatches. */
export const farSyncs = 2

/** Number of consecutive packets with a differing digest that triggers a sync. */
export const mismatchesToSync = 4

/** Bounds of the exponential backoff between syncs with seeds at whose address no member is known, in milliseconds. */
export const minSeedSyncMs = 300
export const maxSeedSyncMs = 15_000

/** Longest text in a record: id, boot id, domain, address and service, in characters. */
export const maxTextLength = 256

/** Latest time of a start in a record, in milliseconds since the epoch: the year 2100. */
export const maxTimestampMs = 4_102_444_800_000

/** Largest incarnation in a record. It is far from the largest whole number, so that a process can always add to it. */
export const maxIncarnation = 2 ** 40

/** Longest duration of a planned stop in a record, in milliseconds: a day. */
export const maxStopMs = 86_400_000

/** Largest number of slots, and of connections, of a target. */
export const maxCapacity = 1_000_000
