import type { IncomingMessage } from 'node:http'
import type { ClaimResult } from '../claims/client.ts'
import type { Clock } from '../clock/index.ts'
import type { Failure } from '../errors/index.ts'
import type { LoggedRequest, RequestLog, StopTimes } from '../log/index.ts'
import type { RateClient } from '../rate/client.ts'
import type { Dialect } from './dialect.ts'
import type { ExchangeError } from './exchange.ts'
import type { Arrival } from './filters.ts'
import { containsKey, headerOf } from './headers.ts'
import type { Directory } from './identity.ts'
import type { AskedReturn } from './return-policy.ts'
import type { Stop } from './stop.ts'
import type { OwnTarget } from './target.ts'
import type { AttemptOutcome, Call, CallContext } from './types.ts'

/** Characters of one text in a log line: ids, hosts and reasons come from callers and targets. */
const maxTextLength = 200

/** Characters of the stack of an unexpected error. */
const maxStackLength = 2000

/** One of this many requests that ended well is logged. */
const answeredPerSample = 500

/** Why the sending side refused a request before an attempt. */
export interface TurnAway {
  rule: 'room share' | 'admission fraction' | 'throttle'
  /** Share or admission fraction of the callee as last reported, 0 to 1. */
  fraction: number
}

/** How an exchange with a target failed. */
export interface TargetFailure {
  error: ExchangeError
  instance: string | undefined
  startedAt: number
}

/** End of an attempt without an answer. */
export interface AttemptEnd {
  /** Node to which the attempt was sent. */
  to: string
  /** Time in ms since this node learned that the other one stops; undefined for one that does not. */
  stopKnownMs: number | undefined
  outcome: AttemptOutcome
  /** What follows: another attempt, or why there is none. */
  next: string
  budgetLeft: number
  startedAt: number
}

/** End of a request at the node that received it from its caller or its own target. */
export interface RequestEnd {
  outcome: AttemptOutcome
  extraAttempts: number
  startedAt: number
  /** When the caller is asked to return; missing for an end that does not say so. */
  askedReturn?: AskedReturn
}

/** Logs the decisions of a node about requests, with the inputs that led to them. */
export interface Decisions {
  refuseArrival: (arrival: Pick<Arrival, 'request' | 'arrivedAt' | 'callerRequest' | 'method' | 'route' | 'identity'>, failure: Failure, askedReturn?: AskedReturn) => void
  turnAway: (call: Call, failure: Failure, turnAway: TurnAway) => void
  refuseCall: (call: Call, failure: Failure, elsewhere: boolean) => void
  shed: (call: Call, failure: Failure, shedReason: string, arrivedAt: number) => void
  refuseClaim: (call: Call, claim: Exclude<ClaimResult, { type: 'granted' }>) => void
  recordTargetRefusal: (call: Call, failure: Failure, status: number, instance: string | undefined) => void
  recordTargetFailure: (call: Call, failure: TargetFailure) => void
  endAttempt: (call: Call, end: AttemptEnd) => void
  endRequest: (call: Call, end: RequestEnd) => void
  /** Logs that the caller of a request that was answered well left before it had the whole answer. */
  recordUndelivered: (call: Call, end: RequestEnd) => void
  refuseOutgoing: (request: IncomingMessage, parent: CallContext | undefined, failure: Failure) => void
  abandon: (request: IncomingMessage) => void
  /** Logs a request that was read and is not served, because an answer before its own closes their connection. */
  leaveUnserved: (request: IncomingMessage) => void
  crash: (request: IncomingMessage, error: Error) => void
}

/** Services that the decisions are logged with. */
export interface DecisionContext {
  requestLog: RequestLog
  dialect: Pick<Dialect, 'requestIdHeader'>
  target: Pick<OwnTarget, 'gate' | 'current' | 'instance'>
  directory: Pick<Directory, 'limitOf'>
  rates: Pick<RateClient, 'state'>
  revision: () => number
  /** Returns the stop of this node; undefined while it does not stop. */
  stop: () => Stop | undefined
  clock: Clock
}

/** Returns a text for a log line: shortened, and withheld when it contains a key. */
function loggable (text: string, key?: string): string {
  if (containsKey(text) || (key !== undefined && text.includes(key))) return '[withheld: contains a key]'
  return text.length > maxTextLength ? `${text.slice(0, maxTextLength)}…` : text
}

function round (value: number, digits = 0): number {
  const factor = 10 ** digits
  return Math.round(value * factor) / factor
}

function causeOf ({ name, message }: Failure, key?: string) {
  return { code: name, reason: loggable(message, key) }
}

/** Returns why an attempt has no answer. A broken answer has no failure of its own: its caller saw the connection end. */
function causeOfOutcome (outcome: AttemptOutcome): { code: string, reason: string } {
  if (outcome.type === 'answered') return { code: 'answered', reason: `the target answered with status ${outcome.status}` }
  return outcome.type === 'broken' ? { code: 'broken_off', reason: 'the answer had begun and broke off' } : causeOf(outcome.failure)
}

/** Returns the status of the answer, or of the failure in the error catalogue; null when the connection ends instead. */
function statusOf (outcome: AttemptOutcome): number | null {
  if (outcome.type === 'answered') return outcome.status
  return outcome.type === 'broken' ? null : outcome.failure.status
}

function isGood (outcome: AttemptOutcome): boolean {
  return outcome.type === 'answered' && outcome.status < 500
}

/** Creates the log of a node's decisions. */
export function createDecisions ({ requestLog, dialect, target, directory, rates, revision, stop, clock }: DecisionContext): Decisions {
  let answered = 0
  const idOf = (request: IncomingMessage, chain: string | null): LoggedRequest => {
    const id = request.headers[dialect.requestIdHeader]
    return { id: typeof id === 'string' ? loggable(id) : chain, chain }
  }
  const identityOf = ({ headers, context: { chain, attempt } }: Call): LoggedRequest => {
    const id = headerOf(headers, dialect.requestIdHeader)
    return { id: id === undefined ? chain : loggable(id), chain, ...(attempt === chain ? {} : { attempt }) }
  }
  const describe = (call: Call) => {
    const { service, route, workspace, priority } = call.context
    return { ...identityOf(call), service, route, workspace, priority }
  }
  const timesOf = (call: Call, startedAt: number) => {
    const now = clock.now()
    return { elapsedMs: round(now - startedAt), timeLeftMs: round(call.deadlineAt - now), ...stopTimes() }
  }
  /** Returns the time since this node's stop began, for lines about requests that end meanwhile. */
  const stopTimes = (): StopTimes => {
    const current = stop()
    return current === undefined ? {} : { stoppingMs: round(clock.now() - current.startedAt) }
  }
  const logEnd = (call: Call, { outcome, extraAttempts, startedAt, askedReturn }: RequestEnd) => requestLog.write('requestEnded', () => ({
    ...describe(call),
    ...causeOfOutcome(outcome),
    outcome: outcome.type,
    status: statusOf(outcome),
    depth: call.context.depth,
    extraAttempts,
    retryAfterMs: askedReturn === undefined ? null : round(askedReturn.afterMs),
    returnPlan: askedReturn?.type ?? null,
    callerLeft: call.cancellation.cancelled,
    ...timesOf(call, startedAt)
  }))
  const sampleAnswer = (call: Call, { outcome, extraAttempts, startedAt }: RequestEnd) => {
    if (answered++ % answeredPerSample !== 0) return
    requestLog.write('requestAnswered', () => ({ ...describe(call), status: statusOf(outcome), extraAttempts, ...timesOf(call, startedAt) }))
  }
  return {
    refuseArrival ({ request, arrivedAt, callerRequest, method, route, identity }, failure, askedReturn) {
      const workspace = identity?.workspace ?? null
      requestLog.write('requestRefused', () => ({
        ...idOf(request, null),
        ...causeOf(failure, callerRequest.key),
        method,
        host: loggable(callerRequest.host, callerRequest.key),
        route: route?.name ?? null,
        workspace,
        status: failure.status,
        limit: workspace === null ? null : directory.limitOf(workspace) ?? null,
        rateState: workspace !== null && failure.code === 'overRate' ? rates.state(workspace) : null,
        retryAfterMs: askedReturn === undefined ? null : round(askedReturn.afterMs),
        revision: revision(),
        elapsedMs: round(clock.now() - arrivedAt),
        ...stopTimes()
      }))
    },
    turnAway (call, failure, { rule, fraction }) {
      requestLog.write('requestTurnedAway', () => ({
        ...describe(call), ...causeOf(failure), rule, fraction: round(fraction, 3), expectedRetry: call.isExpectedRetry === true
      }))
    },
    refuseCall (call, failure, elsewhere) {
      requestLog.write('callRefused', () => ({
        ...describe(call),
        ...causeOf(failure),
        targetState: target.current()?.state ?? null,
        targetService: target.current()?.service ?? null,
        instance: target.instance() ?? null,
        elsewhere,
        timeLeftMs: round(call.deadlineAt - clock.now()),
        ...stopTimes()
      }))
    },
    shed (call, failure, shedReason, arrivedAt) {
      const { gate } = target
      requestLog.write('callShed', () => {
        const { elapsedMs: waitedMs, ...times } = timesOf(call, arrivedAt)
        const maxWaitMs = call.context.waitMs === undefined ? null : round(call.context.waitMs)
        const state = { running: gate.running(), limit: round(gate.limit(), 1), load: round(gate.load(), 2) }
        return { ...describe(call), ...causeOf(failure), shedReason, rank: call.context.rank, waitedMs, maxWaitMs, ...state, ...times }
      })
    },
    refuseClaim (call, claim) {
      if (claim.type === 'done' && claim.answer !== undefined) return
      requestLog.write('claimRefused', () => ({ ...describe(call), claim: claim.type, reason: claim.type === 'unavailable' ? claim.reason : '' }))
    },
    recordTargetRefusal (call, failure, status, instance) {
      requestLog.write('targetRefused', () => ({ ...describe(call), ...causeOf(failure), status, instance: instance ?? null }))
    },
    recordTargetFailure (call, { error: { reason, cause, written, answered: headReceived }, instance, startedAt }) {
      requestLog.write('targetFailed', () => ({
        ...describe(call), reason: loggable(reason), cause, written, answered: headReceived, instance: instance ?? null, ...timesOf(call, startedAt)
      }))
    },
    endAttempt (call, { to, stopKnownMs, outcome, next, budgetLeft, startedAt }) {
      if (outcome.type === 'answered') return
      requestLog.write('attemptEnded', () => ({
        ...describe(call),
        ...causeOfOutcome(outcome),
        to,
        outcome: outcome.type,
        next,
        load: round(outcome.report.load, 2),
        budgetLeft,
        ...timesOf(call, startedAt),
        ...(stopKnownMs === undefined ? {} : { stopKnownMs: round(stopKnownMs) })
      }))
    },
    endRequest (call, end) {
      if (isGood(end.outcome) && !call.cancellation.cancelled) sampleAnswer(call, end)
      else logEnd(call, end)
    },
    recordUndelivered (call, end) {
      if (isGood(end.outcome)) logEnd(call, end)
    },
    refuseOutgoing (request, parent, failure) {
      requestLog.write('outgoingRefused', () => ({
        ...idOf(request, parent?.chain ?? null), ...causeOf(failure), depth: parent?.depth ?? null, workspace: parent?.workspace ?? null
      }))
    },
    abandon (request) {
      requestLog.write('requestAbandoned', () => ({ ...idOf(request, null), method: request.method ?? '' }))
    },
    leaveUnserved (request) {
      requestLog.write('requestUnserved', () => ({ ...idOf(request, null), method: request.method ?? '', ...stopTimes() }))
    },
    crash (request, error) {
      requestLog.write('requestCrashed', () => ({ ...idOf(request, null), error: String(error.stack).slice(0, maxStackLength) }))
    }
  }
}
