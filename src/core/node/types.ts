import type { Failure } from '../errors/index.ts'
import type { CallEnd } from './durations.ts'
import type { RequestSource } from './running.ts'

/** Context of a call that is sent between nodes, but not to the target. */
export interface CallContext {
  /** Identifies this attempt. */
  attempt: string
  /** Identifies the caller's request throughout the chain. */
  chain: string
  /** Stable over the attempts and retries of one logical call. */
  lineage: string
  /** Workspace, or null on routes open to all. */
  workspace: string | null
  /** Id of the key sent with the caller's request. */
  keyId: string | null
  template: string
  route: string
  service: string
  /** Lower numbers are shed later: from 0 for new requests, negative for calls of requests in progress. */
  priority: number
  /** Priority of the caller's request to which the call belongs, from 0. Where targets do not name that request, it is estimated. */
  rank: number
  weight: number
  idempotent: boolean
  /** A claim must be held before the request runs. */
  needsClaim: boolean
  /** Host header for the target, or null when it gets the target's own address. */
  host: string | null
  /** SHA-256 over method, path and body. */
  digest: string
  fingerprint: string
  /** True when a target crashed while it ran this request; such requests run one at a time. */
  suspect: boolean
  /** True when the idempotency key came from the caller, who may have sent the request before. */
  resendable: boolean
  depth: number
  /** Extra attempts reserved for this call. */
  budget: number
  /** Time left, in milliseconds. */
  remainingMs: number
  /** Time that the call may still wait in queues, in milliseconds; missing when the queue applies its default. */
  waitMs?: number
  /** Share of its callee's room with which the sending node reckoned for such calls, 0 to 1; missing while it knows of no shortage. */
  heardShare?: number
}

/** Returns the key of the statistics on calls to a service and route. */
export function calleeKey ({ service, route }: Pick<CallContext, 'service' | 'route'>): string {
  return `${service}/${route}`
}

/** Returns the key of the admission fractions that are reported for calls to a callee. Where requests wait by rank, each priority has its own. */
export function fractionKey (callee: string, priority: number, rankedWaiting: boolean): string {
  return rankedWaiting ? `${callee} ${priority}` : callee
}

/** One call at one node. */
export interface Call {
  context: CallContext
  method: string
  path: string
  /** Header names and values, alternating. */
  headers: string[]
  body: Buffer
  /** Monotonic deadline. */
  deadlineAt: number
  /** Cancels the call when its caller has disconnected. */
  cancellation: Cancellation
  /** Where this node got the call from. Default: a caller or the node's own target. */
  source?: RequestSource
  /** True for an expected retry: its caller was told in Retry-After to retry now. */
  isExpectedRetry?: boolean
  /** True for an expected retry for which room was set aside when its caller was refused. */
  isBookedReturn?: boolean
  /** Part of the share of its route that is left for requests for which no room was set aside, 0 to 1. Default: 1. */
  partForOthers?: number
}

/** Signals to the parts of a call that its caller has disconnected. */
export interface Cancellation {
  cancelled: boolean
  /** Runs `listener` on cancellation, or at once if it has happened. Returns a function that removes it. */
  listen: (listener: () => void) => () => void
  cancel: () => void
}

/** Report of the target's node, sent with each outcome. */
export interface Report {
  /** Extra attempts used downstream of this call. */
  used: number
  /** Load of the target: running and waiting requests divided by its limit. */
  load: number
  /** True when a downstream service refused a part of this call. */
  shed: boolean
  /** Share or admission fraction of the target and its callees; missing when no node answered. */
  share?: number
  /** Requests that the target works on well at once; missing where its node does not state it. */
  room?: number
  /** Mean working time at the target of requests of this call's route, without their own calls, in ms; missing until some have ended. */
  workMs?: number
  /** Fraction of its recent requests that failed by the target's own fault, beyond what chance explains; missing for none. */
  ownFailures?: number
}

/** Receives an answer as a stream. */
export interface Sink {
  /** Passes status and headers on; the headers alternate names and values. */
  head: (status: number, headers: string[], report: Report) => void
  /** Returns false when the sender must wait for the drain. */
  write: (chunk: Uint8Array) => boolean
  /** Returns true once the head was passed on. */
  started: () => boolean
  onDrain: (listener: () => void) => void
  end: () => void
  /** Aborts an answer in a way that the receiver detects as incomplete. */
  abort: () => void
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { type: 'answered', status: number, report: Report }
  /** Not run. `elsewhere` is true when another target may accept it, `arrived` when a target received the request and refused it. */
  | { type: 'refused', failure: Failure, elsewhere: boolean, arrived: boolean, report: Report }
  /** May have run. */
  | { type: 'failed', failure: Failure, crashed: boolean, report: Report }
  /** The answer started but was aborted. */
  | { type: 'broken', report: Report }

/** Lowest status of an answer that is neither a success nor a redirect. */
export const firstErrorStatus = 400

/** Returns how a call ended, for the record of durations. */
export function callEndOf (outcome: AttemptOutcome): CallEnd {
  if (outcome.type === 'refused') return 'not-run'
  return outcome.type === 'answered' && outcome.status < firstErrorStatus ? 'answered' : 'failed'
}

/** Report of a call in which no target took part. */
export const emptyReport: Report = { used: 0, load: 0, shed: false }

/** Creates a cancellation that has not happened. */
export function createCancellation (): Cancellation {
  const listeners = new Set<() => void>()
  const cancellation: Cancellation = {
    cancelled: false,
    listen (listener) {
      if (cancellation.cancelled) listener()
      else listeners.add(listener)
      return () => void listeners.delete(listener)
    },
    cancel () {
      if (cancellation.cancelled) return
      cancellation.cancelled = true
      for (const listener of listeners) listener()
      listeners.clear()
    }
  }
  return cancellation
}
