/** Lease duration of a rate share, in milliseconds. */
export const shareLeaseMs = 5000

/** Time within which every reachable node that holds a share has reported to a new leader, in milliseconds. */
export const takeoverReportMs = 1500

/** Interval between a node's reports, in milliseconds. */
export const reportIntervalMs = 250

/** Shortest interval between reports of a node that has no tokens left, in milliseconds. */
export const urgentReportIntervalMs = 20

/** Longest time that a request waits for a token, in milliseconds. */
export const tokenWaitMs = 120

/** Longest time that a request waits for a token while no leader answers, in milliseconds. */
export const leaderlessWaitMs = 300

/** Time without an answer to a report after which a node counts as leaderless, in milliseconds. */
export const leaderlessAfterMs = 60

/** Maximum number of requests of one workspace that wait for tokens at a node. */
export const maxWaiting = 500

/** Fraction of the rate that is leased in shares. The rest goes as single tokens to nodes that have none left. */
export const sharedRateFraction = 0.7

/** Fraction of the burst that is leased in shares. The pool needs the rest, because tokens in flight count against it. */
export const sharedBurstFraction = 0.7

/** Time constant of the fast demand estimate, in milliseconds. */
export const demandWindowMs = 800

/** Age at which a reported demand no longer counts, in milliseconds. */
export const demandTtlMs = 1500

/** Time constant of the slow demand estimate, in milliseconds. */
export const slowDemandWindowMs = 6000

/** Ratio between the two demand estimates above which the fast one is used. */
export const demandShiftRatio = 2

/** Demand below which a node without a share stops reporting a workspace, in requests per second. */
export const minDemand = 0.05

/** Demand from which a node gets a share, in requests per second. Below it, a share would mostly be idle; single tokens are used instead where the limit has little room. */
export const minSharedDemand = 2

/** Burst of a share for sparse demand, in requests. */
export const sparseShareBurst = 2

/** Fraction of rate and burst that demand, and the bursts of shares for sparse demand, may take if sparse demand is to get shares. */
export const maxSparseFraction = 0.35

/** Age at which tokens in flight from the pool expire, in milliseconds. */
export const tokenTtlMs = 250

/** Maximum number of workspaces in one report. */
export const demandsPerReport = 64

/** Largest burst of a share, in seconds of its holder's demand. */
export const maxShareBurstSeconds = 1

/** Shortest interval between two recomputations of the sums over a workspace's holders, in milliseconds. */
export const sweepIntervalMs = 40

/** Lease duration of an allowance, in milliseconds. */
export const windowLeaseMs = 12_000

/** Number of slices in which a window is counted. */
export const sliceCount = 100

/** Part of a window from which the rate of arrivals is known well enough to be carried on over the whole window. */
export const minRateFraction = 0.3

/** Fraction of a window's capacity up to which allowances anticipate demand that has just begun. */
export const anticipationFraction = 0.7

/** Arrivals from which their rate is carried on over the window. Fewer may be all that comes. */
export const minArrivalsForRate = 3

/** Fraction of an allowance that may be used at once. The rest becomes available evenly over the window. */
export const immediateFraction = 0.4

/** Fraction of a window's capacity that the leader keeps for nodes that need more than their allowance. */
export const spareWindowFraction = 0.1

/** Weight of a new report in the moving average of a node's demand. */
export const averageDemandWeight = 0.05

/** Interval between reports on a workspace whose demand changes but is well below its allowance, in milliseconds. */
export const calmReportIntervalMs = 500

/** Interval between reports on a workspace whose demand does not change, in milliseconds. Renews its lease. */
export const idleReportIntervalMs = 1000

/** Fraction of an allowance from which it counts as scarce: each change of the demand is then reported at once. */
export const scarceFraction = 0.6

/** Shortest interval between reports of a node whose requests wait after the leader had no capacity for them, in milliseconds. */
export const scarceReportIntervalMs = 100

/** What is spare in the allowances of all nodes together, as a fraction of their demand. */
export const spareDemandFraction = 0.1

/** What is spare in addition for each node with demand, in requests. */
export const sparePerHolder = 0.5

/** Fraction of what demand leaves of a workspace's capacity that lenders keep at most. The rest goes to nodes that ask the leader. */
export const lentFraction = 0.5

/** What a ceiling exceeds the occupied capacity by when it is set, as a fraction of the capacity. */
export const ceilingHeadroomFraction = 0.03

/** Least headroom of a ceiling, in requests. */
export const minCeilingHeadroom = 3

/** Time for which a ceiling has been too high before it is lowered, in milliseconds. */
export const lowerCeilingAfterMs = 2000

/** Interval between reports of a node whose requests wait until a ceiling is raised, in milliseconds. About two syncs of a slow disk. */
export const ceilingRetryMs = 25

/** Time for which a borrowed admission may be used, from the moment at which it was asked for, in milliseconds. */
export const borrowTtlMs = 100

/** Shortest interval between two rounds of a node that asks others for admissions, in milliseconds. */
export const borrowIntervalMs = 50

/** Number of nodes of its own failure domain that a node asks in one round. */
export const lendersInDomain = 4

/** Number of nodes of other failure domains that it asks after them. */
export const lendersElsewhere = 2
