/** Maximum timeout of a route, in milliseconds. */
export const maxTimeoutMs = 600_000

/** Number of priority ranks; 0 is shed last. */
export const priorityRanks = 100

/** Largest weight, rate and burst. */
export const maxQuantity = 1e9
