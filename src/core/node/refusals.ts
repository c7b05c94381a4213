import type { ServerResponse } from 'node:http'
import { createExpectedRetries, expectRetry, pruneExpectedRetries, takeExpectedRetry } from '../admission/index.ts'
import type { ExpectedRetries } from '../admission/index.ts'
import type { ClaimClient } from '../claims/client.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import type { Environment } from '../peers/index.ts'
import { inProgressPriority } from './constants.ts'
import type { Dialect } from './dialect.ts'
import { requestTimeoutMs } from './filters.ts'
import type { Arrival } from './filters.ts'
import type { AskedReturn, ReturnPolicy } from './return-policy.ts'
import { abortResponse } from './sinks.ts'
import type { AttemptOutcome, Call, CallContext } from './types.ts'

/** Time between removals of expected retries that did not arrive, in milliseconds. */
const pruneEveryMs = 1000

/** Statuses of failures whose answer can say when to return. A request that ran out of time before it ran may be reported as unavailable. */
const returnStatuses = new Set([429, 503, 504])

/** A caller that returns as it was asked to: one for which room was set aside, or another. */
type ExpectedReturn = 'booked' | 'expected'

/** How a request that arrived is to be admitted where only a part of the requests may begin. */
export type Preference = Required<Pick<Call, 'isExpectedRetry' | 'isBookedReturn' | 'partForOthers'>>

/** Answers callers whose requests ended without an answer from a target. */
export interface Refusals {
  /** Counts a caller's request, and recognises one that returns as it was asked to; each expected return is matched once. */
  recordArrival: (context: Pick<CallContext, 'service' | 'route' | 'rank' | 'fingerprint'>) => Preference
  /** Decides when the caller of a request that a filter refused is asked to return; undefined for a refusal that does not say so. */
  askArrival: (arrival: Arrival, failure: Failure) => AskedReturn | undefined
  /** Decides when the caller of a call without an answer is asked to return, and expects it then; undefined for an end that does not say so. */
  askCaller: (call: Call, outcome: AttemptOutcome) => AskedReturn | undefined
  refuseArrival: (response: ServerResponse, failure: Failure, arrival: Arrival, asked: AskedReturn | undefined) => Promise<void>
  /** Refuses a request whose response has not begun when the node that received it stops. `begun` is false for one that no target can have received. */
  refuseGivenUp: (response: ServerResponse, begun: boolean) => void
  refuseUnlessAnswered: (response: ServerResponse, call: Call, outcome: AttemptOutcome, asked?: AskedReturn) => Promise<void>
}

/** Services that the refusals of a node use. */
export interface RefusalContext {
  claims: ClaimClient
  dialect: Dialect
  policy: ReturnPolicy
  environment: Pick<Environment, 'clock' | 'metrics'>
}

/** Returns the failure with which a call ends that can say when to return. */
function refusalOf (outcome: AttemptOutcome): Failure | undefined {
  if (outcome.type !== 'refused' && outcome.type !== 'failed') return undefined
  const mayState = outcome.type === 'refused' || outcome.failure.status !== 504
  return mayState && returnStatuses.has(outcome.failure.status) ? outcome.failure : undefined
}

/**
 * Creates the refusals of one node. A request that may have been sent before under the same
 * Idempotency-Key is reported as "not run" only when a majority of the holders have no claim for it.
 */
export function createRefusals ({ claims, dialect, policy, environment: { clock, metrics } }: RefusalContext): Refusals {
  const expected: Record<ExpectedReturn, ExpectedRetries> = { booked: createExpectedRetries(), expected: createExpectedRetries() }
  /** Returns that were asked for and have neither come nor been missed. */
  let outstanding = 0
  let pruneAt = 0
  const runStateOf = async (workspace: string | null, lineage: string): Promise<string> => {
    return await claims.isUnclaimed(`${workspace ?? ''}\n${lineage}`) ? 'not-run' : 'unknown'
  }
  const writeRefusal = (response: ServerResponse, failure: Failure, run: string, asked: AskedReturn | undefined) => {
    if (!response.headersSent && !response.destroyed) dialect.writeRefusal(response, { failure, run, retryAfterMs: asked?.afterMs ?? 0 })
  }
  const expectReturn = (type: ExpectedReturn, fingerprint: string, dueAt: number) => {
    expectRetry(expected[type], fingerprint, dueAt)
    outstanding++
    metrics.count(`returns_expected_total{type="${type}"}`)
  }
  /** Drops the returns that did not come. */
  const prune = (now: number) => {
    if (now < pruneAt) return
    pruneAt = now + pruneEveryMs
    let kept = 0
    for (const retries of [expected.booked, expected.expected]) {
      pruneExpectedRetries(retries, now)
      for (const times of retries.values()) kept += times.length
    }
    metrics.count('returns_missed_total', outstanding - kept)
    outstanding = kept
  }
  const takeReturn = (fingerprint: string, now: number): ExpectedReturn | undefined => {
    if (takeExpectedRetry(expected.booked, fingerprint, now)) return 'booked'
    return takeExpectedRetry(expected.expected, fingerprint, now) ? 'expected' : undefined
  }
  const recordAsked = (asked: AskedReturn): AskedReturn => {
    metrics.time('retry_after', asked.afterMs)
    metrics.count(`returns_asked_total{type="${asked.type}"}`)
    return asked
  }
  return {
    recordArrival (context) {
      const now = clock.now()
      prune(now)
      const taken = takeReturn(context.fingerprint, now)
      const isBookedReturn = taken === 'booked'
      if (taken !== undefined) {
        outstanding--
        metrics.count(`returns_come_total{type="${taken}"}`)
      }
      return {
        isExpectedRetry: isBookedReturn || (taken !== undefined && policy.prefersUnbooked),
        isBookedReturn,
        partForOthers: policy.recordArrival(context, isBookedReturn, now)
      }
    },
    askArrival ({ route, identity, arrivedAt, callerRequest }, failure) {
      if (!returnStatuses.has(failure.status)) return undefined
      const timeoutMs = route === undefined ? callerRequest.timeLeftMs ?? Infinity : requestTimeoutMs(route, callerRequest)
      const callee = route && { service: route.service, route: route.name }
      return recordAsked(policy.forArrival({ workspace: identity?.workspace, deadlineAt: arrivedAt + timeoutMs, callee }, failure, clock.now()))
    },
    askCaller (call, outcome) {
      const failure = refusalOf(outcome)
      if (failure === undefined || call.cancellation.cancelled) return undefined
      const now = clock.now()
      const asked = recordAsked(policy.forCall(call, failure, now))
      const { priority, depth } = call.context
      const isOfCaller = priority > inProgressPriority && depth === 0
      const isExpected = isOfCaller && outcome.type === 'refused' && asked.type !== 'late'
      if (isExpected) expectReturn(asked.type === 'booked' ? 'booked' : 'expected', call.context.fingerprint, now + asked.afterMs)
      return asked
    },
    async refuseArrival (response, failure, { route, identity, idempotencyKey }, asked) {
      const isResendable = idempotencyKey !== undefined && route !== undefined && !route.idempotent
      const workspace = route?.open === true ? null : identity?.workspace ?? null
      writeRefusal(response, failure, isResendable ? await runStateOf(workspace, `key:${idempotencyKey}`) : 'not-run', asked)
    },
    refuseGivenUp (response, begun) {
      // Under an idempotency key an earlier attempt may have run.
      const mayHaveRun = begun || response.req.headers['idempotency-key'] !== undefined
      const asked = recordAsked(policy.forStop(clock.now()))
      if (mayHaveRun) writeRefusal(response, fail('unknownOutcome', { reason: 'the node that received it stops' }), 'unknown', asked)
      else writeRefusal(response, fail('leaving'), 'not-run', asked)
    },
    async refuseUnlessAnswered (response, { context }, outcome, asked) {
      if (outcome.type === 'answered') return
      if (outcome.type === 'broken') return abortResponse(response)
      const { workspace, lineage, idempotent, resendable } = context
      if (outcome.type === 'failed') return writeRefusal(response, outcome.failure, 'unknown', asked)
      const run = !idempotent && resendable ? await runStateOf(workspace, lineage) : 'not-run'
      writeRefusal(response, outcome.failure, run, asked)
    }
  }
}
