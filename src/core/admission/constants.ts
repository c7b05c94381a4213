/** Longest time in the queue of a target that is not overloaded, in milliseconds. */
export const normalWaitMs = 500

/** Longest time in the queue of an overloaded target, in milliseconds. */
export const overloadWaitMs = 120

/** Time that the queue must stay non-empty before the target counts as overloaded, in milliseconds. */
export const overloadAfterMs = 100

/** Queue length per request of the concurrency limit. */
export const queuePerSlot = 2

/** Smallest queue capacity, in requests. */
export const minQueue = 8

/** Weight of a new sample in the moving average of the time of a kind of request. */
export const typicalTimeWeight = 0.05

/** Weight of a new sample in the time that a kind of request needs. */
export const neededTimeWeight = 0.03

/** Factor on that time for a request which took as long and had not ended, and for one that was not begun for want of time. One in six of the latter tries. */
export const censoredGrowth = 1.05
export const probeDecay = 0.99

/** Time between two adjustments of the concurrency limit, in milliseconds. */
export const windowMs = 100

/** Fewest samples for an adjustment. */
export const minSamples = 5

/** Latency, as a multiple of the floor, up to which the limit is not lowered. */
export const latencyTolerance = 2

/** Growth factor of the latency floor per window. By this growth the floor follows a target that became slower permanently. */
export const floorGrowth = 1.002

/** Factor applied to the limit after a window in which the target refused or failed requests. */
export const failureFactor = 0.85

/** Fraction of the requests in a window that may fail before the limit is lowered. */
export const toleratedFailureFraction = 0.1

/** Factor applied to the limit for a trial of lower concurrency. */
export const trialFactor = 0.75

/** Ratio of the latency in a trial to the latency before it, up to which the lower limit is kept. */
export const trialLatencyRatio = 0.87

/** Fraction of the slots that is the first limit of a target that has just started. */
export const coldStartFraction = 0.25

/** Work of the other group by which a waiting group may be passed over, as a multiple of its next request's: it keeps a quarter of the slots' time. */
export const maxPassedOver = 3

/** The same for new requests that wait behind calls in progress of better ranks. */
export const maxPassedOverByBetter = 15

/** Places of the queue that each group keeps, as a fraction of its capacity. */
export const reservedPlaces = 0.25

/** Largest fraction of the slots that requests with calls of their own leave to those without, while they mostly wait. */
export const workingReserve = 0.15

/** Further fraction of the slots that requests with calls leave to those of a better rank, while they mostly wait. */
export const rankReserve = 0.05

/** Fraction of the requests with calls from which they count as mostly waiting for these. */
export const mostlyWaitingFraction = 0.5

/** Time for which slots stay reserved after the last request that could use them, in milliseconds; up to twice as long for those without calls. */
export const reserveLifeMs = 5000
