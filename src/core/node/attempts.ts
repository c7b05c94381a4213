import { randomId } from '../auth/index.ts'
import { passesThrottle, createThrottle, isAdmitted, pruneThrottle, recordOutcome, recordReportedFraction, reportedFractionOf } from '../admission/index.ts'
import type { ReportedFractions } from '../admission/index.ts'
import { priorities } from '../config/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import type { Member } from '../membership/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { createRetryTokens, depositRetryToken, releaseBudget, reserveBudget, mayRetry, divideFleetRetries, consumeAttempt, takeRetryToken } from '../retries/index.ts'
import type { Budget } from '../retries/index.ts'
import { chooseTarget, createKnownStops, createTargetStats, pruneTargetStats, recordAnswer, recordFailure, recordStart, recordStatedFailures, recordStatement, statsOf } from '../routing/index.ts'
import type { ServiceView } from '../where/index.ts'
import { inProgressPriority } from './constants.ts'
import type { Decisions, TurnAway } from './decisions.ts'
import { createDurations } from './durations.ts'
import type { CallEnd } from './durations.ts'
import { countEndpoints, endpointsByService, nextEndpoints } from './endpoints.ts'
import type { Endpoint, ServiceEndpoints } from './endpoints.ts'
import type { Forwarder } from './forward.ts'
import { inspectTargets } from './inspection.ts'
import type { RoomShares } from './room-shares.ts'
import type { CallServer } from './serve.ts'
import type { StoppingRequest } from './stop.ts'
import { calleeKey, callEndOf, emptyReport, fractionKey } from './types.ts'
import type { AttemptOutcome, Call, CallContext, Sink } from './types.ts'

/** Maximum number of endpoints tried for one attempt while nodes refuse it before their targets receive it. */
const maxEndpoints = 3

const pruneEveryMs = 5000

/** Properties of a request by which the throttle tells requests apart. */
type ThrottledRequest = Pick<CallContext, 'template' | 'route' | 'service' | 'workspace' | 'priority'>

/** Sends calls to targets, with retries where they are allowed. */
export interface CallSender {
  send: (call: Call, budget: Budget, sink: Sink) => Promise<AttemptOutcome>
  /** Returns the longest time in ms that calls to a service and route have taken lately; undefined when none has ended. */
  longestMs: (callee: Pick<CallContext, 'service' | 'route'>) => number | undefined
  /** Returns the mean time in ms that calls to a service and route have taken lately; undefined when none was answered. */
  meanMs: (callee: Pick<CallContext, 'service' | 'route'>) => number | undefined
  /** Shows what decides where a request with this deadline would go, and changes nothing. */
  inspect: (request: ThrottledRequest, deadlineAt: number) => Pick<ServiceView, 'targets' | 'ownDomain' | 'choose' | 'passFraction'>
  /** Takes over changes of the list of members; the time of this call counts as the time at which their stops became known. */
  refreshMembers: () => void
  close: () => void
}

function createRefusal (failure: Failure, shed: boolean): AttemptOutcome {
  return { type: 'refused', failure, elsewhere: false, arrived: false, report: { ...emptyReport, shed } }
}

/** Returns true when no target received the attempt. Another endpoint can then be tried without extra load on the targets. */
function didNotArrive (outcome: AttemptOutcome): boolean {
  return outcome.type === 'refused' && !outcome.arrived
}

/** Returns true for an outcome that the node of a target with the service has reported. */
function isStatedByTarget (outcome: AttemptOutcome): boolean {
  if (outcome.type === 'refused' && outcome.failure.code === 'noTarget') return false
  return outcome.type === 'answered' || outcome.report.share !== undefined
}

/** Returns the outcome of a call: that of the last attempt, unless it is a refusal, which states "not run", and an earlier attempt may have run. */
function finalOutcome (last: AttemptOutcome, mayHaveRun: AttemptOutcome | undefined): AttemptOutcome {
  return last.type === 'refused' && mayHaveRun !== undefined ? { ...mayHaveRun, report: last.report } : last
}

/** Services and state that the sending side uses. */
export interface SendContext {
  peers: Peers
  server: CallServer
  forwarder: Forwarder
  /** Retries per service that all nodes together may make in a short time beyond a tenth of the successes. */
  fleetRetries: number
  /** Whether calls are placed by the room that targets state. */
  roomPlacement: boolean
  reportedFractions: ReportedFractions
  /** Shares of the room; undefined where admission fractions decide in their place. */
  roomShares?: RoomShares
  /** Whether requests wait by the rank of the caller's request that they belong to. Targets then report a fraction for each priority. Default: false. */
  rankedWaiting?: boolean
  /** Returns false for an attempt that this node no longer begins because it stops. */
  mayBegin: (attempt: StoppingRequest) => boolean
  /** Time for which a target that leaves by itself still gets requests, in ms. */
  drainMs: number
  decisions: Decisions
  environment: Environment
}

/** Creates the part of a node that calls targets. */
export function createCallSender ({
  peers, server, forwarder, fleetRetries, roomPlacement, reportedFractions, roomShares, rankedWaiting = false, mayBegin, drainMs, decisions, environment
}: SendContext): CallSender {
  const { clock, random, metrics } = environment
  const statsByNode = createTargetStats()
  const retryTokens = createRetryTokens()
  const throttle = createThrottle()
  const durations = createDurations(clock)
  const stops = createKnownStops(clock, drainMs)
  let endpoints = new Map<string, ServiceEndpoints>()
  let indexedMembers: readonly Member[] | undefined
  const prune = () => {
    pruneThrottle(throttle, clock.now())
    pruneTargetStats(statsByNode, new Set(peers.members().map(({ id }) => id)))
  }
  const timer = setInterval(prune, pruneEveryMs)

  const refreshMembers = () => {
    const members = peers.members()
    if (members !== indexedMembers) {
      stops.update(members)
      endpoints = endpointsByService(members, stops)
      divideFleetRetries(retryTokens, fleetRetries, members.filter(({ role }) => role === 'node').length)
    }
    indexedMembers = members
  }
  const findEndpoints = (service: string): ServiceEndpoints | undefined => {
    refreshMembers()
    return endpoints.get(service)
  }
  const fractionKeyOf = (callContext: CallContext) => fractionKey(calleeKey(callContext), callContext.priority, rankedWaiting)
  const attemptOnce = async (call: Call, budget: Budget, endpoint: Endpoint, sink: Sink, waitMs: number | undefined): Promise<AttemptOutcome> => {
    const { id } = peers.self()
    const stats = statsOf(statsByNode, endpoint.node)
    const startedAt = clock.now()
    const reserved = reserveBudget(budget)
    const share = shareOf(call.context)
    const heardShare = share < 1 ? share : undefined
    const attempt: Call = { ...call, context: { ...call.context, attempt: randomId(), budget: reserved, waitMs, heardShare } }
    recordStart(stats, startedAt)
    const work = endpoint.node === id ? server.serve(attempt, sink) : forwarder.forward(endpoint.address, attempt, reserved, sink)
    const outcome = await work.finally(() => {
      stats.inFlight--
    })
    releaseBudget(budget, reserved, outcome.report.used)
    recordAttempt(call.context, outcome, endpoint, clock.now() - startedAt)
    return outcome
  }
  /** Returns the share of the callee's room for calls like this one; 1 where shares are off. */
  const shareOf = (callContext: CallContext): number => roomShares?.shareFor(callContext) ?? 1
  /** Records the share or admission fraction that the node of a target stated. */
  const recordShare = (callContext: CallContext, outcome: AttemptOutcome, node: string) => {
    const { report } = outcome
    if (roomShares !== undefined) {
      // A node without its target knows nothing of the room.
      if (outcome.type !== 'refused' || outcome.failure.code !== 'noTarget') roomShares.recordReport(callContext, node, report)
      return
    }
    if (report.share !== undefined) recordReportedFraction(reportedFractions, fractionKeyOf(callContext), node, report.share, clock.now())
  }
  /** Returns the latency that counts for an attempt. An answer that fails at once does not make its target a fast one. */
  const learntLatencyMs = (outcome: AttemptOutcome, latencyMs: number, meanMs: number): number =>
    roomPlacement && outcome.report.ownFailures !== undefined ? Math.max(latencyMs, meanMs) : latencyMs
  const recordAttempt = (callContext: CallContext, outcome: AttemptOutcome, endpoint: Endpoint, latencyMs: number) => {
    const stats = statsOf(statsByNode, endpoint.node)
    const now = clock.now()
    if (roomPlacement) {
      recordStatement(stats.statements, calleeKey(callContext), outcome.report, now)
      if (isStatedByTarget(outcome)) recordStatedFailures(stats.statedFailures, outcome.report.ownFailures, now)
    }
    recordShare(callContext, outcome, endpoint.node)
    metrics.count(`attempts_total{outcome="${outcome.type}"}`)
    if (outcome.type === 'answered') return recordAnswer(stats, learntLatencyMs(outcome, latencyMs, stats.latencyMs), outcome.report.load, now)
    const unreachable = outcome.type === 'refused' && outcome.failure.code === 'noTarget'
    if (outcome.type === 'refused' && !unreachable) return recordAnswer(stats, stats.latencyMs, outcome.report.load, now)
    recordFailure(stats, now)
    if (unreachable && outcome.report === emptyReport) peers.reportUnreachable(endpoint.node)
  }
  const canRetry = (call: Call, outcome: AttemptOutcome): boolean => {
    if (outcome.type === 'answered' || outcome.type === 'broken' || call.cancellation.cancelled) return false
    const notRun = outcome.type === 'refused'
    const crashed = outcome.type === 'failed' && outcome.crashed
    const elsewhere = outcome.type === 'refused' ? outcome.elsewhere : true
    return mayRetry({ notRun, crashed, suspect: call.context.suspect, elsewhere }, call.context.idempotent, call.deadlineAt - clock.now())
  }
  /** Returns true when a new request of a caller is begun, by the share of the room or the admission fraction that its callee states. */
  const mayBeginNew = (call: Call, share: number): boolean => {
    if (roomShares !== undefined) return share === 1 || roomShares.mayBegin(call, share)
    const fraction = reportedFractionOf(reportedFractions, fractionKeyOf(call.context), clock.now())
    return call.isBookedReturn === true || isAdmitted(fraction * (call.partForOthers ?? 1), call.context.priority, random.next(), call.isExpectedRetry)
  }
  const mayBeginAnother = ({ context, deadlineAt }: Call): boolean =>
    mayBegin({ source: 'caller', timeoutMs: deadlineAt - clock.now(), longestMs: durations.longest(calleeKey(context)) })
  const turnAway = (call: Call, reason: string, rule: TurnAway['rule']): AttemptOutcome => {
    const failure = fail('overloaded', { service: call.context.service, reason })
    const fraction = roomShares === undefined ? reportedFractionOf(reportedFractions, fractionKeyOf(call.context), clock.now()) : shareOf(call.context)
    decisions.turnAway(call, failure, { rule, fraction })
    return createRefusal(failure, true)
  }
  const throttleKey = ({ template, route, workspace, priority }: ThrottledRequest) => `${template}/${route}/${workspace ?? ''}/${priority}`

  const sendUnrecorded = async (call: Call, budget: Budget, sink: Sink): Promise<AttemptOutcome> => {
    const { service, priority } = call.context
    const key = throttleKey(call.context)
    const isNewRequest = priority > inProgressPriority && call.context.depth === 0
    const share = shareOf(call.context)
    if (isNewRequest && !mayBeginNew(call, share)) {
      metrics.count(`turned_away_total{priority="${priority}"}`)
      return turnAway(call, 'refused before it began, as it leads to services that cannot bear more', roomShares === undefined ? 'admission fraction' : 'room share')
    }
    // A share already takes into account what targets refuse.
    const isSubjectToThrottle = priority > inProgressPriority && share === 1
    if (isSubjectToThrottle && !passesThrottle(throttle, key, priority, random.next(), clock.now())) {
      metrics.count(`throttled_total{priority="${priorities[priority]}"}`)
      return turnAway(call, 'refused early, as targets further down refuse', 'throttle')
    }
    const tried = new Set<string>()
    const refusedBy = new Set<string>()
    const findCandidates = (all: ServiceEndpoints | undefined) => nextEndpoints(all, { tried, refusedBy, deadlineAt: call.deadlineAt })
    const startedAt = clock.now()
    let next = call
    let mayHaveRun: AttemptOutcome | undefined
    /** Returns the time in ms that the call may still wait in queues; undefined for no bound but its deadline, as when it may have run and can no longer be refused. */
    const waitLeft = () => call.context.waitMs === undefined || mayHaveRun !== undefined ? undefined : call.context.waitMs - (clock.now() - startedAt)
    while (true) {
      const all = findEndpoints(service)
      const chosen = chooseTarget(statsByNode, findCandidates(all), peers.self().domain, clock.now(), random, roomPlacement ? calleeKey(call.context) : undefined) as Endpoint | undefined
      if (chosen === undefined) return mayHaveRun ?? createRefusal(fail('noTarget', { service }), false)
      const attemptedAt = clock.now()
      const outcome = await attemptOnce(next, budget, chosen, sink, waitLeft())
      const logEnd = (what: string) => {
        const stopKnownMs = chosen.stop && clock.now() - chosen.stop.knownAt
        decisions.endAttempt(call, { to: chosen.node, stopKnownMs, outcome, next: what, budgetLeft: budget.left, startedAt: attemptedAt })
      }
      /** Ends the call for the given reason. */
      const end = (reason: string) => {
        logEnd(reason)
        return finalOutcome(outcome, mayHaveRun)
      }
      const overloaded = outcome.report.shed || (outcome.type === 'answered' && outcome.status === 503)
      if (isSubjectToThrottle) recordOutcome(throttle, key, priority, !overloaded, clock.now())
      if (outcome.type === 'answered') depositRetryToken(retryTokens, service)
      if (outcome.type === 'failed') mayHaveRun = outcome
      tried.add(chosen.node)
      if (outcome.type === 'refused' && outcome.arrived) refusedBy.add(chosen.node)
      if (!canRetry(next, outcome)) return end('end: a retry is not allowed')
      if (!mayBeginAnother(call)) return end('end: this node stops')
      if (didNotArrive(outcome)) {
        if (tried.size >= Math.min(countEndpoints(all, call.deadlineAt), maxEndpoints)) return end('end: no endpoint is left to try')
        if ((waitLeft() ?? 1) <= 0) return end('end: no time is left to wait')
        logEnd('another endpoint')
        continue
      }
      if (budget.left < 1) return end('end: no extra attempt is left')
      if (findCandidates(all).length === 0) return end('end: every target has refused it')
      if (!takeRetryToken(retryTokens, service)) return end('end: the service has no retry token')
      consumeAttempt(budget)
      logEnd('retry')
      metrics.count('retries_total')
      if (outcome.type === 'failed' && outcome.crashed) next = { ...call, context: { ...call.context, suspect: true } }
    }
  }

  return {
    async send (call, budget, sink) {
      const recordEnd = durations.begin(calleeKey(call.context))
      let end: CallEnd = 'failed'
      try {
        const outcome = await sendUnrecorded(call, budget, sink)
        end = callEndOf(outcome)
        return outcome
      } finally {
        recordEnd(end)
      }
    },
    longestMs: (callee) => durations.longest(calleeKey(callee)),
    meanMs: (callee) => durations.mean(calleeKey(callee)),
    inspect (request, deadlineAt) {
      const members = peers.members()
      const known = members === indexedMembers ? endpoints : endpointsByService(members, stops)
      const view = { endpoints: known.get(request.service), statsByNode, ownDomain: peers.self().domain, callee: roomPlacement ? calleeKey(request) : undefined, deadlineAt }
      return { ...inspectTargets(view, clock.now()), passFraction: throttle.get(throttleKey(request))?.passFraction ?? 1 }
    },
    refreshMembers,
    close: () => clearInterval(timer)
  }
}
