/** Header in which a target names the request that its outgoing call belongs to. */
export const contextHeader = 'x-dogwoodspring-context'

/** Header of a refusal that states whether the request ran. */
export const runHeader = 'x-dogwoodspring-run'

/** Prefix of reserved headers; those sent by callers and targets are dropped. */
export const ownHeaderPrefix = 'x-dogwoodspring-'

/** Prefix of reserved paths. */
export const ownPathPrefix = '/.dogwoodspring/'

/** Largest request body, in bytes. */
export const maxBodyBytes = 1024 * 1024

/** Largest request body between nodes, in bytes. */
export const maxPeerBodyBytes = 64 * 1024 * 1024

/** Largest request head, in bytes. */
export const maxHeaderBytes = 16 * 1024

/** Idle time after which a connection of a caller is closed, in milliseconds. */
export const callerKeepAliveMs = 5000

/** Time after the announcement of a stop during which a node still accepts new requests, in milliseconds. */
export const leaveGraceMs = 1500

/** Time without renewal after which an announcement expires, in milliseconds. */
export const announcementLifeMs = 10_000

/** Shortest and longest time between sweeps of the admission queue while requests wait, in milliseconds. */
export const minSweepMs = 10
export const maxSweepMs = 1000

/** Priority of the calls of a request in progress. Refusing them wastes the work already done for that request. */
export const inProgressPriority = -1

/** Fraction of the latency objective that a new request may wait in queues before it is refused. */
export const waitFraction = 0.25

/** Maximum depth of a chain of calls. */
export const maxDepth = 64
