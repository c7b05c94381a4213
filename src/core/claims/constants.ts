/** Number of slots that Idempotency-Keys are distributed over. */
export const claimSlots = 256

/** Number of holders of each slot, in different failure domains where there are enough. */
export const holdersPerSlot = 3

/** Time for which a holder keeps a claim, in milliseconds. */
export const claimWindowMs = 10 * 60_000

/** Allowance for clocks that run at different speeds, in milliseconds. */
export const clockMarginMs = 30_000

/** Largest answer that is stored for retries, in bytes. */
export const maxKeptAnswerBytes = 32 * 1024

/** Limit on the answers that one holder stores, in bytes. */
export const maxKeptBytes = 16 * 1024 * 1024

/** Limit on the number of claims that one holder keeps. Further ones are refused; existing ones are never evicted early. */
export const maxClaims = 100_000

/** Time before an unanswered claim request is retransmitted, in milliseconds. */
export const claimRetryMs = 25

/** Time within which a majority of the holders must answer, in milliseconds. */
export const claimTimeoutMs = 400

/** Time before an unreachable member is replaced, in milliseconds. */
export const replaceAfterMs = 1000

/** Time for which a holder grants no late requests of an attempt that released its claim, in milliseconds. */
export const releaseMemoryMs = 30_000

/** Longest time between the first request for a claim and the start of the call, in milliseconds. */
export const maxClaimAgeMs = 2000

/** Longest time for which an answer waits until a majority of the holders have stored it, in milliseconds. */
export const maxStoreMs = 100
