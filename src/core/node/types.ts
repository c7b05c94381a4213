import type { Failure } from '../errors/index.ts'
import { headerOf } from './headers.ts'

/** What a call carries from node to node. The target sees none of it. */
export interface CallContext {
  /** Identifies this attempt. */
  attempt: string
  /** Identifies the caller's request over the whole chain. */
  chain: string
  /** Stable over the attempts and resends of one logical call. */
  lineage: string
  /** Workspace, or null on routes open to all. */
  workspace: string | null
  /** Id of the key that came with the caller's request. */
  keyId: string | null
  template: string
  route: string
  service: string
  /** 0 is shed last; below it stands what a target needs for work that it has begun. */
  priority: number
  weight: number
  idempotent: boolean
  /** A claim must be held before the request runs. */
  needsClaim: boolean
  /** Host header for the target, or null when it gets the target's own address. */
  host: string | null
  /** SHA-256 over method, path and body. */
  digest: string
  fingerprint: string
  /** A target ended while it ran this request before; it runs apart from others of its kind. */
  suspect: boolean
  /** The key under which the request runs at most once came from the caller, who may have sent it before. */
  resendable: boolean
  depth: number
  /** Extra attempts lent to this call. */
  budget: number
  /** Time left, in milliseconds. */
  remainingMs: number
  /** Time that the call may still wait in queues, in milliseconds; missing where the queue decides. */
  waitMs?: number
}

/** Names what a call goes to, for what is learnt about it: the service and the route. */
export function calleeOf ({ service, route }: Pick<CallContext, 'service' | 'route'>): string {
  return `${service}/${route}`
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
  /** Ends the call when its caller is gone. */
  cancellation: Cancellation
  /** Its caller was refused before and told to come back now. */
  returning?: boolean
}

/** Tells the parts of a call that its caller is gone. */
export interface Cancellation {
  cancelled: boolean
  /** Runs `listener` on cancellation, or at once when it has happened. Returns a function that removes it. */
  listen: (listener: () => void) => () => void
  cancel: () => void
}

/** What the target's node reports with an outcome. */
export interface Report {
  /** Extra attempts used below this call. */
  used: number
  /** Load of the target: running and waiting requests over its limit. */
  load: number
  /** A service further down refused a part of this call. */
  shed: boolean
  /** Share of the new work that the target and what it calls can bear; missing when no node answered. */
  share?: number
}

/** Receives an answer as it comes. */
export interface Sink {
  /** Status and headers; the headers alternate names and values. */
  head: (status: number, headers: string[], report: Report) => void
  /** Returns false when the receiver wants a pause. */
  write: (chunk: Uint8Array) => boolean
  /** True once the head was passed on. */
  started: () => boolean
  onDrain: (listener: () => void) => void
  end: () => void
  /** Breaks an answer off so that its receiver sees that it is not whole. */
  abort: () => void
}

/** How an attempt ended. */
export type Attempted =
  | { type: 'answered', status: number, report: Report }
  /** Not run. `elsewhere` is true when another target may do better, `arrived` when a target saw the request and turned it away. */
  | { type: 'refused', failure: Failure, elsewhere: boolean, arrived: boolean, report: Report }
  /** May have run. */
  | { type: 'failed', failure: Failure, crashed: boolean, report: Report }
  /** The answer began and was broken off. */
  | { type: 'broken', report: Report }

/** Report of a call that no target took part in. */
export const emptyReport: Report = { used: 0, load: 0, shed: false }

/** Why an attempt has no answer, or an empty text. */
export function reasonOf (attempted: Attempted): string {
  return 'failure' in attempted ? attempted.failure.message : ''
}

/** The caller's id of the request that a call belongs to, for the log. */
export function requestIdOf ({ headers, context }: Call, { requestIdHeader }: { requestIdHeader: string }): string {
  return headerOf(headers, requestIdHeader) ?? context.chain
}

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
