import type { Clock } from '../clock/index.ts'
import { createFailureFraction, recordRequestEnd, significantFraction } from '../routing/index.ts'
import type { FailureFraction } from '../routing/index.ts'
import type { AttemptOutcome } from './types.ts'

/** Statuses of a call that failed, or for which the service called had no room. */
const firstServerErrorStatus = 500
const tooManyRequestsStatus = 429

/** Most failed calls that are kept to account for failed requests. The one that ended first goes first. */
const maxFailedCalls = 1024

/** Working times that a request must have had before its timeout counts as a failure of the target. Less time is a matter of queues and deadlines. */
const workingTimesOfTimeout = 3

/** A request that has ended at the target. */
export interface EndedRequest {
  /** Process of the target that had it; undefined where targets do not identify their processes. */
  instance: string | undefined
  startedAt: number
  end: 'good' | 'failed' | 'timeout'
  /** Calls of the request, where its calls name it. */
  calls: { hasFailed: boolean, underWay: number }
  /** Time that it had, and the usual working time of such requests, in ms; undefined where that is not known. */
  timeoutMs: number
  workMs: number | undefined
}

/** Which requests fail by the fault of the node's own target, not by that of the services which it calls. */
export interface OwnFailures {
  /** Records a call of the target that cannot be attributed to a request. Returns the function that records its end; undefined stands for an error. */
  startCall: () => (outcome: AttemptOutcome | undefined) => void
  /** Records such a call that was refused before it was sent. */
  refuseCall: () => void
  recordEnd: (request: EndedRequest) => void
  /** Returns the fraction of the target's requests that fail by its own fault; undefined for no more than chance. */
  fraction: () => number | undefined
}

/** Returns true for a call whose end may have failed the request that made it. */
export function hasCallFailed (outcome: AttemptOutcome | undefined): boolean {
  return outcome?.type !== 'answered' || outcome.status >= firstServerErrorStatus || outcome.status === tooManyRequestsStatus
}

/** A failed call that cannot be attributed, and has not accounted for a failed request yet. */
interface FailedCall {
  startedAt: number
  endedAt: number
}

/** Returns the index of the first call that ended at `time` or later. Calls are in the order of their ends. */
function firstEndedFrom (calls: readonly FailedCall[], time: number): number {
  let [low, high] = [0, calls.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if (calls[middle].endedAt < time) low = middle + 1
    else high = middle
  }
  return low
}

/**
 * Creates the record of a target. A failed call that cannot be attributed accounts for one failed request that was at the target when the call began.
 * One request may make several that fail, so that rather too few failures count as the target's own.
 */
export function createOwnFailures (clock: Clock): OwnFailures {
  const failedCalls: FailedCall[] = []
  let callsUnderWay = 0
  let instance: string | undefined
  let fraction: FailureFraction = createFailureFraction()
  const addFailedCall = (startedAt: number) => {
    failedCalls.push({ startedAt, endedAt: clock.now() })
    if (failedCalls.length > maxFailedCalls) failedCalls.shift()
  }
  /** Takes a failed call that may have failed a request, and returns false when there is none. */
  const takeFailedCall = (requestStartedAt: number): boolean => {
    for (let index = firstEndedFrom(failedCalls, requestStartedAt); index < failedCalls.length; index++) {
      if (failedCalls[index].startedAt < requestStartedAt) continue
      failedCalls.splice(index, 1)
      return true
    }
    return false
  }
  const isOwn = ({ end, startedAt, calls, timeoutMs, workMs }: EndedRequest): boolean => {
    if (calls.hasFailed || calls.underWay > 0) return false
    if (end === 'timeout' && (callsUnderWay > 0 || timeoutMs < workingTimesOfTimeout * (workMs ?? 0))) return false
    return !takeFailedCall(startedAt)
  }
  return {
    startCall () {
      const startedAt = clock.now()
      callsUnderWay++
      return (outcome) => {
        callsUnderWay--
        if (hasCallFailed(outcome)) addFailedCall(startedAt)
      }
    },
    refuseCall: () => addFailedCall(clock.now()),
    recordEnd (request) {
      if (request.instance !== instance) fraction = createFailureFraction()
      instance = request.instance
      if (request.end === 'good') recordRequestEnd(fraction, false, clock.now())
      else if (isOwn(request)) recordRequestEnd(fraction, true, clock.now())
    },
    fraction () {
      const stated = Math.round(1000 * significantFraction(fraction, clock.now())) / 1000
      return stated > 0 ? stated : undefined
    }
  }
}
