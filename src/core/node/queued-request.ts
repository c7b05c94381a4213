import { groupOf } from '../admission/index.ts'
import type { QueuedRequest } from '../admission/index.ts'
import { inProgressPriority } from './constants.ts'
import type { Dependencies } from './dependencies.ts'
import type { Admittance } from './gate.ts'
import type { Call, CallContext } from './types.ts'

/** Highest rank with a label of its own in the metrics; it includes those above. */
const highestRankLabel = 9

/**
 * Returns the rank by which a call waits. Calls that do not name their request have an estimated rank, which differs between the calls of one
 * request: were they to wait by it, each request would have some that wait in vain. They go first together.
 */
function waitingRank ({ priority, rank, depth }: CallContext): number {
  return priority <= inProgressPriority && depth === 0 ? 0 : rank
}

/** Creates what waits before the target for a call that arrived at `arrivedAt`. */
export function createQueuedRequest ({ context, deadlineAt }: Call, arrivedAt: number, dependencies: Dependencies): QueuedRequest {
  const { attempt, route, priority, workspace, weight, waitMs, depth } = context
  return {
    id: attempt,
    kind: route,
    priority,
    rank: waitingRank(context),
    inProgress: priority <= inProgressPriority || depth > 0,
    needsCalls: dependencies.neededCallees(route).length > 0,
    workspace: workspace ?? '',
    weight,
    arrivedAt,
    deadlineAt,
    maxWaitMs: waitMs
  }
}

/** Returns the counter of requests that waited or were shed, by what they are. */
export function waitedMetric ({ rank }: CallContext, entry: QueuedRequest, { type }: Admittance): string {
  return `waited_total{outcome="${type}",group="${groupOf(entry)}",rank="${Math.min(highestRankLabel, rank)}"}`
}
