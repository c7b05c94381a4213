import type { Child } from '../support/process.ts'

/** Outcome of one request as its caller saw it, after all retries. */
export type Outcome = 'whole' | 'wrong' | 'refused' | 'unknown' | 'failed'

/** Counts of callers and targets. */
export interface Tally {
  sent: number
  whole: number
  /** Answers that were truncated or belonged to another request, and refusals as "not run" of requests that ran. */
  wrong: number
  refusedNotRun: number
  unknown: number
  /** Non-idempotent requests that ran more than once. */
  ranTwice: number
  /** Requests that reached a target with a caller's key in them. */
  keyLeaks: number
  /** Requests that failed because of a graceful stop. */
  cutByStop: number
  /** Time in ms from the acknowledged withdrawal of a key to the last successful answer to a request with it; -1 before the withdrawal. */
  withdrawnServedAfterMs: number
}

/** Counts executions of requests as the targets report them. */
export interface RunCounter {
  /** Counts the executions that a target reports from now on. */
  watch: (target: Child) => void
  /** Returns the names of the non-idempotent requests that ran more than once. A name consists of method, first path segment and id. */
  ranTwice: () => string[]
  /** Returns true if a request with this id ran. */
  hasRun: (id: string) => boolean
  /** Returns how often a non-idempotent request ran, by its name. */
  runCount: (name: string) => number
  /** Returns the targets that ran a request, by its name. */
  targetsThatRan: (name: string) => Child[]
  /** Returns the number of requests with a caller's key in them. */
  leakedKeyCount: () => number
}

/** Creates an empty counter. */
export function createRunCounter (): RunCounter {
  const unsafeRuns = new Map<string, number>()
  const ranIds = new Set<string>()
  const targetsByRequest = new Map<string, Child[]>()
  let leakCount = 0
  return {
    watch (target) {
      target.onLine((line) => {
        if (line.leak !== undefined) leakCount++
        if (typeof line.ran !== 'string') return
        targetsByRequest.set(line.ran, [...targetsByRequest.get(line.ran) ?? [], target])
        ranIds.add(line.ran.split(' ')[2])
        if (line.unsafe === true) unsafeRuns.set(line.ran, (unsafeRuns.get(line.ran) ?? 0) + 1)
      })
    },
    ranTwice: () => [...unsafeRuns].filter(([, count]) => count > 1).map(([name]) => name),
    hasRun: (id) => ranIds.has(id),
    targetsThatRan: (name) => targetsByRequest.get(name) ?? [],
    runCount: (name) => unsafeRuns.get(name) ?? 0,
    leakedKeyCount: () => leakCount
  }
}

/** Creates a tally with all counts at zero. */
export function createTally (): Tally {
  return { sent: 0, whole: 0, wrong: 0, refusedNotRun: 0, unknown: 0, ranTwice: 0, keyLeaks: 0, cutByStop: 0, withdrawnServedAfterMs: -1 }
}
