/** Longest time in the queue while it empties now and then, in milliseconds. */
export const calmWaitMs = 500

/** Longest time in the queue while it never empties, in milliseconds. */
export const overloadWaitMs = 120

/** Time without an empty queue after which the target counts as overloaded, in milliseconds. */
export const overloadAfterMs = 100

/** Places in the queue for each place in the concurrency limit. */
export const queuePerSlot = 2

/** Shortest queue, in requests. */
export const minQueue = 8

/** Weight of a new sample in the typical time of a kind. */
export const typicalWeight = 0.05

/** Time between two adjustments of the concurrency limit, in milliseconds. */
export const windowMs = 100

/** Samples that an adjustment needs. */
export const minSamples = 5

/** Latency, as a multiple of the floor, up to which the limit is not lowered. */
export const latencyTolerance = 2

/** Growth of the latency floor per window, so that it follows a target that became slower for good. */
export const floorGrowth = 1.002

/** Factor on the limit for a window in which the target refused or failed requests. */
export const failureFactor = 0.85

/** Part of the requests in a window that may fail before the limit is lowered. */
export const failureTolerance = 0.1

/** Factor on the limit for a trial of fewer requests at once. */
export const trialFactor = 0.75

/** Latency in a trial, as a part of the latency before it, up to which the lower limit stands. */
export const trialGain = 0.87

/** Part of the slots with which a cold target starts. */
export const coldPart = 0.25
