/** Maximum timeout of a route, in milliseconds. */
export const maxTimeoutMs = 600_000

/** Number of priority ranks; 0 is shed last. */
export const priorityRanks = 100
