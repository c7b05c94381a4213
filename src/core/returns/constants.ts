/** Width of one bucket of a calendar, in milliseconds. */
export const bucketMs = 50

/** Shortest time after which a caller is asked to return, in milliseconds. */
export const minReturnMs = 50

/** Longest time after which a caller is asked to return, in milliseconds; what is known of the room does not reach further. */
export const maxReturnMs = 5000

/** Longest time after which a caller is asked to return that another node can serve at once, in milliseconds. */
export const maxSoonMs = 250

/** Longest time after which a caller is asked to return where room is not known to be short, in milliseconds: full queues and lost targets last no longer, mostly. */
export const maxSpreadMs = 1500

/** Part of the time that a caller has left up to which it heeds a time to return. */
export const heededFraction = 1 / 3

/** Part of the room that may be promised to callers that return; the rest is for requests that come for the first time. */
export const promisedFraction = 0.5

/** Time constant of the decay of the arrivals of a route, in milliseconds. */
export const demandDecayMs = 1000

/** Most routes, and most workspaces, with a calendar. The one that was used least recently goes first. */
export const maxCalendars = 1000
