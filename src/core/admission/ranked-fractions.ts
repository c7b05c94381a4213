import { createAdmissionFraction, recordInProgressWait, updateAdmissionFraction } from './fraction.ts'
import type { AdmissionFraction } from './fraction.ts'
import { rankOf } from './rank.ts'
import type { QueuedRequest } from './queue.ts'

/** New requests that are admitted together: those of one rank that make calls of their own, or that need their target only. */
interface RequestClass {
  rank: number
  needsCalls: boolean
  fraction: AdmissionFraction
}

/**
 * Admission fractions of one target by class of new requests. Only waits of calls in progress that would go before a class reduce its fraction:
 * calls of a higher rank wait for it, and calls that are kept out of reserved slots leave these to requests without calls.
 */
export interface RankedFractions {
  classes: RequestClass[]
}

/** Creates fractions that admit every request. */
export function createRankedFractions (): RankedFractions {
  return { classes: [] }
}

/** Records the queue time of a call of a request in progress, whether it then ran or not. */
export function recordRankedWait ({ classes }: RankedFractions, call: QueuedRequest, waitedMs: number, now: number): void {
  for (const { rank, needsCalls, fraction } of classes) {
    if (rankOf(call) <= rank && (needsCalls || call.needsCalls !== true)) recordInProgressWait(fraction, waitedMs, now)
  }
}

/** Returns the admission fraction of new requests of a rank, 0 to 1. */
export function rankedFractionOf ({ classes }: RankedFractions, rank: number, needsCalls: boolean, now: number): number {
  const known = classes.find((each) => each.rank === rank && each.needsCalls === needsCalls)
  if (known === undefined) classes.push({ rank, needsCalls, fraction: createAdmissionFraction(now) })
  else updateAdmissionFraction(known.fraction, now)
  return known?.fraction.value ?? 1
}
