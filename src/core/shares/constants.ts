/** Time between two statements of a target's shares, in milliseconds. */
export const windowMs = 200

/** Time constant of the averages of arrivals and of the share under which they were begun, in milliseconds. */
export const smoothingMs = 300

/** Time constant of the average time for which a request is held, in milliseconds. */
export const holdingMemoryMs = 200

/** The same for a class of which few requests end. */
export const sparseHoldingMemoryMs = 2000

/** Ends in memory from which a class does not count as sparse. */
export const manyEnds = 20

/** Windows from a share in force until the calls of the requests begun under it are counted. */
export const feedbackWindows = 3

/** The same at most, when the node reads the calls late. */
export const maxFeedbackWindows = 8

/** Fraction of the room that is divided; the rest takes up the randomness of arrivals. */
export const dividedFraction = 0.95

/** Work beyond the room from which a target is short, as the time that the whole room needs for it, in milliseconds. A queue takes up less. */
export const shortAfterMs = 50

/** The same in requests, for targets with little room. */
export const shortAfterRequests = 6

/** Time within which waiting requests are worked off beside new ones, in milliseconds. */
export const drainMs = 1000

/** Largest fraction of the room that is kept for waiting requests. */
export const maxDrainFraction = 0.5

/** Part of the time for which an event loop may be busy; the rest takes up the randomness of arrivals. */
export const loopFraction = 0.85

/** The same at least, whatever else keeps the loop busy beside requests. */
export const minLoopFraction = 0.25

/** Largest change of the lateness of an event loop in relation to the time passed that counts, up or down. */
export const maxLatenessGrowth = 0.67

/** Longest busy time that is put down to one request, in milliseconds. */
export const maxRequestMs = 5

/** Smallest share: some requests must be begun to notice that there is room again. */
export const minShare = 0.03

/** Served fraction of a rank over that of the next higher one, while both are short. */
export const rankRatio = 0.9

/** Part of an equal division that every class may have before ranks are compared: a class that asks for less loses nothing. */
export const guaranteedFraction = 0.5

/** Time constant of the counts of calls that a target accepts and refuses, in milliseconds. */
export const refusalMemoryMs = 400

/** Calls that are assumed to be accepted beside those counted, so that a few refusals decide nothing. */
export const assumedAccepted = 5

/** Fraction of its calls that a target may refuse before fewer requests are begun. */
export const toleratedRefusalFraction = 0.1

/** Calls of a request that all have to be accepted, as assumed for requests that need several. */
export const callsPerRequest = 6

/** Most classes of requests that a target distinguishes; further routes are counted together. */
export const maxClasses = 64

/** Age from which a statement no longer counts beside younger ones, in milliseconds. */
export const statementLifeMs = 3000

/** Age by which a statement counts half as much as a new one, in milliseconds. */
export const statementHalfLifeMs = 200

/** Time in which a share that nobody confirms any more doubles, in milliseconds. */
export const unconfirmedDoublingMs = 500

/** Time constant of the counts of what workspaces ask for, in milliseconds. */
export const askedMemoryMs = 5000

/** Requests added to the count of each workspace, so that one or two more decide nothing. */
export const askedSmoothing = 2

/** Most workspaces that are counted for a route at an entry node; further ones are counted together. */
export const maxWorkspaces = 256

/** Share below which the log tells that a class is short. */
export const reportedShare = 0.95

/** Time for which there must be room for all before the log says so, in milliseconds. */
export const reportedCalmMs = 2000

/** Part of what is begun that expected retries may take ahead of others. With all of it, first requests would only ever be begun when they return. */
export const advanceFraction = 0.5

/** Requests by which expected retries may go ahead of the share at an entry node: as many as may be booked within a moment. */
export const maxAdvance = 8
