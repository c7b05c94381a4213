import type { Clock } from '../clock/index.ts'

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
