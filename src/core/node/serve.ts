import type { IncomingHttpHeaders } from 'node:http'
import type { ClaimClient, HeldClaim } from '../claims/client.ts'
import { maxKeptAnswerBytes } from '../claims/index.ts'
import type { KeptAnswer } from '../claims/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { reportedFractionOf } from '../admission/index.ts'
import type { ReportedFractions } from '../admission/index.ts'
import type { RequestResult } from '../room/index.ts'
import { inProgressPriority } from './constants.ts'
import type { CrashReporter } from './crashes.ts'
import type { Decisions } from './decisions.ts'
import { sendExchange } from './exchange.ts'
import type { ExchangeError } from './exchange.ts'
import type { Dependencies } from './dependencies.ts'
import { createDurations } from './durations.ts'
import type { Dialect } from './dialect.ts'
import type { Admittance } from './gate.ts'
import { headerOf } from './headers.ts'
import type { KeyCheck } from './key-check.ts'
import { createQueuedRequest, waitedMetric } from './queued-request.ts'
import { createRefusedIds } from './refused-ids.ts'
import type { EndedRequest, OwnFailures } from './own-failures.ts'
import type { RoomShares } from './room-shares.ts'
import { createSerialQueue } from './serial-queue.ts'
import { createHeldSink } from './sinks.ts'
import type { Span, Spans } from './spans.ts'
import type { StoppingRequest } from './stop.ts'
import type { OwnTarget } from './target.ts'
import { callEndOf, emptyReport, firstErrorStatus, fractionKey } from './types.ts'
import type { AttemptOutcome, Call, CallContext, Report, Sink } from './types.ts'

/** Status of a target that is not the intended one (misdirected request). */
const misdirectedStatus = 421

/** Lowest status of an answer that says that the target failed. */
const firstServerErrorStatus = 500

/** Status of an answer that says that a request took too long. */
const timeoutStatus = 504

/** How runs at the target end, as counted. */
export const runEnds = ['good', 'failed', 'refused', 'timeout', 'cancelled', 'broken', 'not_sent'] as const
type RunEnd = (typeof runEnds)[number]

const runEndsByCause: Record<ExchangeError['cause'], RunEnd> = { connect: 'not_sent', timeout: 'timeout', cancelled: 'cancelled', broken: 'broken' }

/** Returns the name of the counter of the runs that ended so. */
export function runsMetric (end: RunEnd): string {
  return `runs_total{end="${end}"}`
}

/** Serves calls with the node's own target. */
export interface CallServer {
  serve: (call: Call, sink: Sink) => Promise<AttemptOutcome>
  running: () => number
}

/** Services and state that the serving side uses. */
export interface ServeContext {
  dialect: Dialect
  findKeyFailure: KeyCheck
  /** Returns false for a call that this node no longer begins because it stops. */
  mayBegin: (call: StoppingRequest) => boolean
  peers: Peers
  target: OwnTarget
  claims: ClaimClient
  crashes: CrashReporter
  spans: Spans
  dependencies: Dependencies
  /** Admission fractions reported by other services' nodes. */
  reportedFractions: ReportedFractions
  /** Shares of the room; undefined where admission fractions are stated in their place. */
  roomShares?: RoomShares
  /** Failures of the node's own target; undefined where they are not stated. */
  ownFailures?: OwnFailures
  /** Whether requests wait by the rank of the caller's request that they belong to. Targets then report a fraction for each priority. Default: false. */
  rankedWaiting?: boolean
  decisions: Decisions
  environment: Environment
}

/** Returns the failure for a banned fingerprint, or undefined. */
function findBan (fingerprint: string, peers: Peers, date: Date): Failure | undefined {
  const ban = peers.configuration().bans[fingerprint]
  if (ban === undefined || ban.until <= date.getTime()) return undefined
  return fail('quarantined', { until: new Date(ban.until).toISOString() })
}

/** Matches a Transfer-Encoding whose last coding is chunked. An answer in any other one ends with its connection. */
const lastCodingIsChunked = /(^|[\s,])chunked\s*$/i

/** Returns true for an answer whose end can be distinguished from a broken connection. */
function hasDetectableEnd (method: string, status: number, headers: IncomingHttpHeaders): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true
  return headers['content-length'] !== undefined || lastCodingIsChunked.test(String(headers['transfer-encoding']))
}

/** Returns the failure of a call that the queue before the target shed. */
function failureOf (reason: Extract<Admittance, { type: 'shed' }>['reason'], service: string): Failure {
  if (reason === 'too-late') return fail('deadline', { stage: 'while the request waited' })
  return reason === 'stopping' ? fail('leaving') : fail('overloaded', { service, reason })
}

/** Who ended a run at the target, for the counts of runs: the target with its status, or this node at the deadline, for a caller that left, or as the exchange broke. */
function runEndOf (status: number, isRefused: boolean, error: ExchangeError | undefined): RunEnd {
  if (error !== undefined) return error.written ? runEndsByCause[error.cause] : 'not_sent'
  if (isRefused) return 'refused'
  return status >= firstServerErrorStatus ? 'failed' : 'good'
}

/** Returns how a request ended at the target, for the target's room. Without a sample it was cancelled or never got there. */
function resultOf (sample: { failed: boolean } | undefined, status: number, isRefused: boolean): RequestResult {
  if (sample === undefined) return 'cancelled'
  if (isRefused) return 'refused'
  return sample.failed || status >= firstServerErrorStatus ? 'failed' : 'good'
}

/** Returns how a request ended that the target answered, for the record of its failures. */
function ownEndOf (status: number): EndedRequest['end'] {
  if (status === timeoutStatus) return 'timeout'
  return status >= firstServerErrorStatus ? 'failed' : 'good'
}

/** Creates the part of a node that serves calls with its own target. */
export function createCallServer (context: ServeContext): CallServer {
  const { dialect, findKeyFailure, mayBegin, peers, target, claims, crashes, spans, dependencies, reportedFractions, roomShares, ownFailures, rankedWaiting = false, decisions, environment } = context
  const { clock, metrics } = environment
  const suspectQueue = createSerialQueue()
  const refusedIds = createRefusedIds(clock)
  const durations = createDurations(clock)
  let running = 0
  let echoesRequestId = false

  /** Returns the fraction reported for a callee. Calls that a request makes bear its priority, or that of calls in progress where targets do not name it. */
  const reportedFraction = (callee: string, priority: number, now: number): number => {
    const keys = [priority, inProgressPriority].map((each) => fractionKey(callee, each, rankedWaiting))
    return Math.min(...keys.map((key) => reportedFractionOf(reportedFractions, key, now)))
  }
  /** Returns the smallest of the target's share or admission fraction and those of the callees that the call's route needs downstream. */
  const statedShare = (callContext: CallContext): number => {
    const { route, priority } = callContext
    const now = clock.now()
    const callees = dependencies.neededCallees(route)
    if (roomShares !== undefined) return roomShares.stateShare(callContext, callees)
    const needed = callees.map((callee) => reportedFraction(callee, priority, now))
    return Math.round(1000 * Math.min(target.gate.admissionFraction(priority, needed.length > 0), ...needed)) / 1000
  }
  /** Returns what this node states about the failures of its target. */
  const failureStatement = (): Pick<Report, 'ownFailures'> => {
    const fraction = ownFailures?.fraction()
    return fraction === undefined ? {} : { ownFailures: fraction }
  }
  /** Returns what this node states about its target; nothing where it has no such target. */
  const targetStatement = ({ context }: Call): Pick<Report, 'room' | 'workMs' | 'ownFailures'> => {
    const { gate } = target
    if (gate.meter === undefined || target.current()?.service !== context.service) return {}
    const workMs = gate.meter.workingMs(context.route)
    const statedMs = workMs === undefined ? {} : { workMs: Math.max(0.01, Math.round(workMs * 100) / 100) }
    return { room: gate.room(), ...statedMs, ...failureStatement() }
  }
  const createReport = (call: Call, span?: Span): Report => ({
    used: span?.budget.used ?? 0, load: target.gate.load(), shed: span?.shed ?? false, share: statedShare(call.context), ...targetStatement(call)
  })
  const createRefusal = (call: Call, failure: Failure, elsewhere: boolean, arrived = false): AttemptOutcome => {
    const shed = failure.code === 'overloaded' || arrived
    return { type: 'refused', failure, elsewhere, arrived, report: { ...emptyReport, load: target.gate.load(), shed, share: statedShare(call.context), ...targetStatement(call) } }
  }
  const createFailure = (call: Call, failure: Failure, crashed: boolean, span?: Span): AttemptOutcome => ({ type: 'failed', failure, crashed, report: createReport(call, span) })

  /** Refuses a call before the target received it. */
  const refuse = (call: Call, { failure, elsewhere }: { failure: Failure, elsewhere: boolean }): AttemptOutcome => {
    decisions.refuseCall(call, failure, elsewhere)
    return createRefusal(call, failure, elsewhere)
  }

  const findRefusal = (call: Call): { failure: Failure, elsewhere: boolean } | undefined => {
    const { service, fingerprint, route } = call.context
    const now = clock.now()
    if (!mayBegin({ source: call.source ?? 'caller', timeoutMs: call.deadlineAt - now, longestMs: durations.longest(route) })) return { failure: fail('leaving'), elsewhere: true }
    if (target.current()?.service !== service || !target.acceptsRequests()) return { failure: fail('noTarget', { service }), elsewhere: true }
    const banned = findBan(fingerprint, peers, clock.date())
    if (banned !== undefined) return { failure: banned, elsewhere: false }
    const unauthorized = findKeyFailure(call.context)
    if (unauthorized !== undefined) return { failure: unauthorized, elsewhere: unauthorized.code === 'stale' }
    if (call.deadlineAt <= now) return { failure: fail('deadline', { stage: 'before the target was reached' }), elsewhere: false }
    return undefined
  }

  /**
   * Returns true when an answer that states "not run" identifies this sending and does not contradict itself.
   * A second refusal under an id may repeat the first one, while the target runs the request.
   */
  const isCertainRefusal = (pool: object, requestId: string | undefined, echoed: unknown, status: number): boolean =>
    requestId !== undefined && echoed === requestId && status >= firstErrorStatus && !refusedIds.has(pool, requestId)

  const serve = async (call: Call, sink: Sink): Promise<AttemptOutcome> => {
    const recordEnd = durations.begin(call.context.route)
    let outcome: AttemptOutcome | undefined
    try {
      outcome = await serveUnlessRefused(call, sink)
      return outcome
    } finally {
      recordEnd(outcome === undefined ? 'failed' : callEndOf(outcome))
      roomShares?.leave(call.context, outcome)
    }
  }

  const serveUnlessRefused = async (call: Call, sink: Sink): Promise<AttemptOutcome> => {
    const refusal = findRefusal(call)
    if (refusal !== undefined) return refuse(call, refusal)
    if (!call.context.suspect) return await admit(call, sink)
    const release = await suspectQueue.enter()
    try {
      return await admit(call, sink)
    } finally {
      release()
    }
  }

  const admit = async (call: Call, sink: Sink): Promise<AttemptOutcome> => {
    const { attempt, priority, service } = call.context
    const { gate } = target
    const arrivedAt = clock.now()
    const entry = createQueuedRequest(call, arrivedAt, dependencies)
    roomShares?.enter(call.context)
    const entering = gate.enter(entry)
    const stopListening = call.cancellation.listen(() => gate.cancel(attempt))
    const admittance = entering instanceof Promise ? await entering : entering
    stopListening()
    metrics.time('queue', clock.now() - arrivedAt)
    if (entering instanceof Promise || admittance.type === 'shed') metrics.count(waitedMetric(call.context, entry, admittance))
    if (admittance.type === 'shed') {
      metrics.count(`shed_total{reason="${admittance.reason}",priority="${priority}"}`)
      const isTooLate = admittance.reason === 'too-late'
      const failure = failureOf(admittance.reason, service)
      decisions.shed(call, failure, admittance.reason, arrivedAt)
      return createRefusal(call, failure, !isTooLate)
    }
    roomShares?.start(call.context)
    const refusal = call.cancellation.cancelled ? { failure: fail('deadline', { stage: 'while the request waited' }), elsewhere: false } : findRefusal(call)
    if (refusal !== undefined) {
      gate.exit(undefined, attempt)
      return refuse(call, refusal)
    }
    return call.context.needsClaim ? await claimAndRun(call, sink) : await run(call, sink, undefined)
  }

  const claimAndRun = async (call: Call, sink: Sink): Promise<AttemptOutcome> => {
    const { workspace, lineage, digest, attempt } = call.context
    const runsForMs = call.deadlineAt - clock.now() + 1000
    const claimed = await claims.acquire(`${workspace ?? ''}\n${lineage}`, digest, attempt, runsForMs)
    if (claimed.type === 'granted') {
      const refusal = findRefusal(call)
      if (refusal === undefined) return await run(call, sink, claimed.claim)
      claims.release(claimed.claim)
      target.gate.exit(undefined, attempt)
      return refuse(call, refusal)
    }
    target.gate.exit(undefined, attempt)
    metrics.count(`claims_refused_total{reason="${claimed.type}"}`)
    decisions.refuseClaim(call, claimed)
    switch (claimed.type) {
      case 'done': return claimed.answer === undefined ? createFailure(call, fail('answerNotKept', { status: claimed.status }), false) : replay(call, claimed.answer, sink)
      case 'running': return createFailure(call, fail('stillRunning'), false)
      case 'lapsed': return createFailure(call, fail('unknownOutcome', { reason: 'an earlier attempt under this key did not report its end' }), false)
      case 'key-reused': return createRefusal(call, fail('keyReused'), false)
      case 'unavailable': return createRefusal(call, fail('claimUnavailable', { reason: claimed.reason }), true)
    }
  }

  const replay = (call: Call, answer: KeptAnswer, sink: Sink): AttemptOutcome => {
    sink.head(answer.status, [...answer.headers, 'idempotency-replayed', 'true'], createReport(call))
    sink.write(Buffer.from(answer.body, 'base64'))
    sink.end()
    return { type: 'answered', status: answer.status, report: createReport(call) }
  }

  const run = (call: Call, callerSink: Sink, claim: HeldClaim | undefined) => new Promise<AttemptOutcome>((resolve) => {
    const heldSink = claim && createHeldSink(callerSink, maxKeptAnswerBytes)
    const sink = heldSink ?? callerSink
    const pool = target.pool()
    const span = spans.open(call.context, call.deadlineAt)
    const startedAt = clock.now()
    const instance = target.instance()
    const headers = dialect.targetHeaders(call, { token: span.token, instance, remainingMs: call.deadlineAt - startedAt })
    const requestId = headerOf(headers, dialect.requestIdHeader)
    let targetRefused = false
    const kept: Buffer[] = []
    let keptBytes = 0
    let status = 0
    let answerHeaders: string[] = []
    let report: Report | undefined
    running++
    dependencies.recordStart(call.context.route, call.context.rank)
    span.meter = target.gate.meter?.startRequest(call.context.route)
    const recordOwnEnd = (end: EndedRequest['end']) => {
      if (instance !== target.instance()) return
      const workMs = target.gate.meter?.workingMs(call.context.route)
      ownFailures?.recordEnd({ instance, startedAt, end, calls: { hasFailed: span.hasFailedCall, underWay: span.outgoingRunning }, timeoutMs: call.deadlineAt - startedAt, workMs })
    }
    const closeRun = (sample: { failed: boolean } | undefined) => {
      running--
      const result = resultOf(sample, status, targetRefused)
      span.meter?.end(result)
      const tellsOfCalls = result === 'good' || result === 'failed'
      dependencies.recordEnd(call.context.route, call.context.rank, tellsOfCalls ? result === 'failed' : undefined)
      const latencyMs = clock.now() - startedAt - span.outgoingMs
      target.gate.exit(sample && { kind: call.context.route, latencyMs, failed: sample.failed, isError: status >= firstServerErrorStatus }, call.context.attempt)
      spans.close(span)
      metrics.time('target', clock.now() - startedAt)
    }
    const finishRun = (outcome: AttemptOutcome, sample: { failed: boolean } | undefined) => {
      closeRun(sample)
      resolve(outcome)
    }
    if (pool === undefined) return finishRun(refuse(call, { failure: fail('noTarget', { service: call.context.service }), elsewhere: true }), undefined)
    sendExchange(pool, {
      origin: target.origin(),
      method: call.method,
      path: call.path,
      headers,
      body: call.body,
      timeoutMs: Math.max(1, call.deadlineAt - startedAt),
      cancellation: call.context.idempotent ? call.cancellation : undefined
    }, {
      head (code, received) {
        const echoed = received[dialect.requestIdHeader]
        if (echoed === requestId) echoesRequestId = true
        else if (dialect.alwaysRepeatsId || (echoesRequestId && echoed !== undefined)) return false
        if (!dialect.acceptsUnframed && !hasDetectableEnd(call.method, code, received)) return false
        status = code
        targetRefused = dialect.reportsNotRun(code, received)
        if (targetRefused) return isCertainRefusal(pool, requestId, echoed, code)
        recordOwnEnd(ownEndOf(code))
        answerHeaders = dialect.answerHeaders(received)
        report = createReport(call, span)
        sink.head(code, answerHeaders, report)
        return true
      },
      data (chunk, resume) {
        if (targetRefused) return true
        if (claim !== undefined && keptBytes <= maxKeptAnswerBytes) kept.push(chunk)
        keptBytes += chunk.length
        if (sink.write(chunk)) return true
        sink.onDrain(resume)
        return false
      },
      end () {
        metrics.count(runsMetric(runEndOf(status, targetRefused, undefined)))
        if (targetRefused) {
          if (requestId !== undefined) refusedIds.add(pool, requestId, call.deadlineAt)
          return finishRun(refuseNotRun(call, status, instance, claim), { failed: true })
        }
        sink.end()
        crashes.recordCompletion(call.context.fingerprint)
        const answered: AttemptOutcome = { type: 'answered', status, report: report === undefined ? createReport(call, span) : { ...report, used: span.budget.used, shed: span.shed } }
        closeRun({ failed: status === 503 && !span.shed })
        if (claim === undefined) return resolve(answered)
        const body = keptBytes <= maxKeptAnswerBytes ? Buffer.concat(kept) : undefined
        void storeAnswer(claim, status, answerHeaders, body).then(() => {
          heldSink?.release()
          resolve(answered)
        })
      },
      error (error) {
        metrics.count(runsMetric(runEndOf(status, targetRefused, error)))
        if (error.written && error.cause !== 'cancelled') recordOwnEnd(error.cause === 'timeout' ? 'timeout' : 'failed')
        decisions.recordTargetFailure(call, { error, instance, startedAt })
        void handleExchangeError(call, sink, claim, span, error).then(({ outcome, sample }) => finishRun(outcome, sample))
      }
    })
  })

  /** Refuses a call that the target reported as not run; another target may run it. */
  const refuseNotRun = (call: Call, status: number, instance: string | undefined, claim: HeldClaim | undefined): AttemptOutcome => {
    if (claim !== undefined) claims.release(claim)
    if (status === misdirectedStatus) target.markReplaced(instance)
    target.gate.recordRefusal(call.context.priority)
    const failure = fail('notExecuted', { status })
    decisions.recordTargetRefusal(call, failure, status, instance)
    return createRefusal(call, failure, true, true)
  }

  /** Stores an answer for retries. It is passed on after that, so that the loss of this node leaves no caller with an answer whose retry finds none. */
  const storeAnswer = async (claim: HeldClaim, status: number, headers: string[], body: Buffer | undefined) => {
    const answer = body && { status, headers, body: body.toString('base64') }
    await claims.complete(claim, { type: 'done', status, answer })
  }

  /** Handles an exchange without a complete answer. Resolves with the outcome of the attempt and the sample for the gate. */
  const handleExchangeError = async (call: Call, sink: Sink, claim: HeldClaim | undefined, span: Span, error: ExchangeError) => {
    const { service, fingerprint } = call.context
    if (!error.written) {
      if (claim !== undefined) claims.release(claim)
      void target.probe()
      const wasCancelled = error.cause === 'cancelled'
      return { outcome: createRefusal(call, fail('noTarget', { service }), !wasCancelled), sample: wasCancelled ? undefined : { failed: true } }
    }
    const headSent = error.answered && sink.started()
    if (headSent) sink.abort()
    if (error.cause !== 'broken') crashes.recordAbandoned(fingerprint, call.deadlineAt)
    const crashed = error.cause === 'broken' && await crashes.checkForCrash(fingerprint)
    const sample = error.cause === 'cancelled' ? undefined : { failed: true }
    if (headSent) return { outcome: { type: 'broken', report: createReport(call, span) } satisfies AttemptOutcome, sample }
    const failure = error.cause === 'timeout' ? fail('deadline', { stage: 'while the target worked' }) : fail('brokenAnswer', { reason: error.reason })
    return { outcome: createFailure(call, failure, crashed, span), sample }
  }

  return {
    serve,
    running: () => running
  }
}
