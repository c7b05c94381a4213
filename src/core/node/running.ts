import type { Clock } from '../clock/index.ts'
import type { Environment } from '../peers/index.ts'

/** Requests that a stop lists when it gives them up. Further ones are only counted. */
const maxGivenUpLines = 50

/** Where a request came from: a caller or the node's own target, or another node that forwarded it. */
export type RequestSource = 'caller' | 'node'

/** A request that this node has read and not ended yet. */
export interface RunningRequest {
  /** Id in the header that names requests; undefined when the request has none. */
  id: string | undefined
  source: RequestSource
  /** Monotonic time at which the request was read, in ms. */
  readAt: number
  /** Ends the request without waiting for its answer. */
  giveUp: () => void
}

/** The requests that a node has read and not ended yet. */
export interface RunningRequests {
  /** Adds a request. Returns a function that removes it. */
  begin: (request: Omit<RunningRequest, 'readAt'>) => () => void
  count: () => number
  /** Returns the requests in the order in which they were read. */
  list: () => RunningRequest[]
}

/** Creates an empty set of running requests. */
export function createRunningRequests (clock: Clock): RunningRequests {
  const requests = new Set<RunningRequest>()
  return {
    begin (request) {
      const running: RunningRequest = { ...request, readAt: clock.now() }
      requests.add(running)
      return () => void requests.delete(running)
    },
    count: () => requests.size,
    list: () => [...requests]
  }
}

/** Ends the requests that still run when a stop which began at `startedAt` ends. Their callers get a final answer where none has begun. */
export function giveUpRunning (running: RunningRequests, startedAt: number, { clock, log, metrics }: Environment): void {
  const requests = running.list()
  if (requests.length === 0) return
  const now = clock.now()
  log.warn('stop timeout expired with requests running', { active: requests.length, afterMs: Math.round(now - startedAt) })
  for (const { id, source, readAt } of requests.slice(0, maxGivenUpLines)) {
    log.warn('request given up by a stop', { request: id, source, readAfterMs: Math.round(readAt - startedAt), runningMs: Math.round(now - readAt) })
  }
  for (const { source, giveUp } of requests) {
    metrics.count(`requests_given_up_total{source="${source}"}`)
    giveUp()
  }
}
