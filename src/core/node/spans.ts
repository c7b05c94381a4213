import { randomId } from '../auth/index.ts'
import { createBudget } from '../retries/index.ts'
import type { Budget } from '../retries/index.ts'
import type { RequestMeter } from '../room/index.ts'
import type { Cancellation, CallContext } from './types.ts'
import { createCancellation } from './types.ts'

const tokenBytes = 18

/** A request that runs at the node's own target, with the state shared by its outgoing calls. */
export interface Span {
  token: string
  context: CallContext
  deadlineAt: number
  budget: Budget
  /** Number of times each outgoing call was made, by route and digest. */
  callCounts: Map<string, number>
  /** Cancels the outgoing calls. */
  cancellation: Cancellation
  /** Time during which at least one outgoing call ran, in ms. */
  outgoingMs: number
  outgoingRunning: number
  outgoingSince: number
  /** True when an outgoing call was refused for overload. */
  shed: boolean
  /** True when an outgoing call was refused or failed. */
  hasFailedCall: boolean
  /** Counts the request in the room of the target; undefined where the room is not used. */
  meter: RequestMeter | undefined
}

/**
 * Spans of the requests that run at the node's own target, by token. The token is random and known to this
 * node only: a target can name the request that a call belongs to but cannot change its context.
 */
export interface Spans {
  open: (context: CallContext, deadlineAt: number) => Span
  find: (token: string) => Span | undefined
  close: (span: Span) => void
  size: () => number
}

/** Creates an empty table. */
export function createSpans (): Spans {
  const spans = new Map<string, Span>()
  return {
    open (context, deadlineAt) {
      const span: Span = {
        token: randomId(tokenBytes),
        context,
        deadlineAt,
        budget: createBudget(context.budget),
        callCounts: new Map(),
        cancellation: createCancellation(),
        outgoingMs: 0,
        outgoingRunning: 0,
        outgoingSince: 0,
        shed: false,
        hasFailedCall: false,
        meter: undefined
      }
      spans.set(span.token, span)
      return span
    },
    find: (token) => spans.get(token),
    close (span) {
      spans.delete(span.token)
      span.cancellation.cancel()
    },
    size: () => spans.size
  }
}

/** Records that an outgoing call started. */
export function recordOutgoingStart (span: Span, now: number): void {
  if (span.outgoingRunning === 0) span.outgoingSince = now
  span.outgoingRunning++
  span.meter?.startCall()
}

/** Records that an outgoing call ended. */
export function recordOutgoingEnd (span: Span, now: number): void {
  span.outgoingRunning--
  if (span.outgoingRunning === 0) span.outgoingMs += now - span.outgoingSince
  span.meter?.endCall()
}

/** Returns the number of this occurrence of an outgoing call within its span, from 0, and counts it. */
export function countOccurrence (span: Span, name: string): number {
  const count = span.callCounts.get(name) ?? 0
  span.callCounts.set(name, count + 1)
  return count
}
