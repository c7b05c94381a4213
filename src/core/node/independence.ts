import type { Clock } from '../clock/index.ts'

/** Time constant of the counts of calls, in milliseconds. */
const callMemoryMs = 1000

/** Failed fraction of the calls to a callee from which the ends of requests tell who needs it. */
const minFailedFraction = 0.2

/** Calls to a callee from which their failed fraction counts. */
const minCalls = 5

/** Requests of a route that would have failed if they needed the callee, from which its ends decide. */
const minExpectedFailures = 5

/** Failed requests, as a fraction of those expected, up to which a route does not need the callee. */
const independentFraction = 0.4

/** Expected failures that are kept as evidence. Later ends outweigh it when the route begins to need the callee. */
const maxExpectedFailures = 40

/** Most pairs of a callee and a route that are kept. With more, as after many configuration changes, all are forgotten. */
const maxPairs = 1024

/** Calls to one callee. */
interface CalleeEnds {
  ended: number
  failed: number
  updatedAt: number
}

/** Ends of the requests of one route while calls to one callee failed. */
interface Evidence {
  /** Failed requests to expect if each made one such call at least. */
  expected: number
  failed: number
}

/** Tells which routes of the node's own target do not need a callee, although both often run at the same time: their requests end well while calls to it fail. */
export interface Independence {
  /** Records the end of a call of the node's own target. */
  recordCallEnd: (callee: string, hasFailed: boolean) => void
  /** Records the end of a request at the node's own target. */
  recordRequestEnd: (route: string, hasFailed: boolean) => void
  /** Returns true for a route that does not need a callee; false where nothing is known. */
  isIndependent: (route: string, callee: string) => boolean
}

function pairOf (route: string, callee: string): string {
  return `${route}\n${callee}`
}

/** Creates an empty record. */
export function createIndependence (clock: Clock): Independence {
  const callees = new Map<string, CalleeEnds>()
  const evidenceByPair = new Map<string, Evidence>()

  const decay = (ends: CalleeEnds) => {
    const factor = Math.exp(-(clock.now() - ends.updatedAt) / callMemoryMs)
    ends.ended *= factor
    ends.failed *= factor
    ends.updatedAt = clock.now()
  }
  const evidenceOf = (route: string, callee: string): Evidence => {
    const pair = pairOf(route, callee)
    const known = evidenceByPair.get(pair)
    if (known !== undefined) return known
    if (evidenceByPair.size >= maxPairs) evidenceByPair.clear()
    const created = { expected: 0, failed: 0 }
    evidenceByPair.set(pair, created)
    return created
  }
  const addEvidence = (evidence: Evidence, failedFraction: number, hasFailed: boolean) => {
    evidence.expected += failedFraction
    if (hasFailed) evidence.failed++
    const excess = evidence.expected / maxExpectedFailures
    if (excess <= 1) return
    evidence.expected /= excess
    evidence.failed /= excess
  }
  return {
    recordCallEnd (callee, hasFailed) {
      if (callees.size >= maxPairs) callees.clear()
      const ends = callees.get(callee) ?? { ended: 0, failed: 0, updatedAt: clock.now() }
      callees.set(callee, ends)
      decay(ends)
      ends.ended++
      if (hasFailed) ends.failed++
    },
    recordRequestEnd (route, hasFailed) {
      for (const [callee, ends] of callees) {
        if (ends.failed === 0) continue
        decay(ends)
        const failedFraction = ends.failed / Math.max(1, ends.ended)
        if (ends.ended >= minCalls && failedFraction >= minFailedFraction) addEvidence(evidenceOf(route, callee), failedFraction, hasFailed)
      }
    },
    isIndependent (route, callee) {
      const evidence = evidenceByPair.get(pairOf(route, callee))
      return evidence !== undefined && evidence.expected >= minExpectedFailures && evidence.failed <= evidence.expected * independentFraction
    }
  }
}
