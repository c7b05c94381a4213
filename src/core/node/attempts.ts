import { randomId } from '../auth/index.ts'
import { admits, createThrottle, letsIn, pruneThrottle, recordOutcome, recordShare, shareOf } from '../admission/index.ts'
import type { KnownShares } from '../admission/index.ts'
import { priorities } from '../config/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import type { RequestLog } from '../log/index.ts'
import type { Member } from '../membership/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { createRetryRatios, earnRetry, giveBack, lend, mayRetry, shareAllowance, spend, takeRetry } from '../retries/index.ts'
import type { Budget } from '../retries/index.ts'
import { chooseTarget, createStandings, recordAnswer, recordFailure, standingOf } from '../routing/index.ts'
import type { Candidate } from '../routing/index.ts'
import { begunPriority } from './constants.ts'
import type { Dialect } from './dialect.ts'
import type { Forwarder } from './forward.ts'
import type { CallServer } from './serve.ts'
import { calleeOf, emptyReport, reasonOf, requestIdOf } from './types.ts'
import type { Attempted, Call, Sink } from './types.ts'

/** Targets whose nodes are asked for one attempt while each turns it away unseen. */
const maxPlaces = 3

const pruneEveryMs = 5000

/** Brings a call to a target, with further attempts where they are allowed. */
export interface Caller {
  call: (call: Call, budget: Budget, sink: Sink) => Promise<Attempted>
  close: () => void
}

/** A target with the address of the node beside it. */
export interface Place extends Candidate {
  address: string
}

function refused (failure: Failure, shed: boolean): Attempted {
  return { type: 'refused', failure, elsewhere: false, arrived: false, report: { ...emptyReport, shed } }
}

/** True when no target saw the attempt, so that trying elsewhere costs targets nothing. */
function isUnseen (attempted: Attempted): boolean {
  return attempted.type === 'refused' && !attempted.arrived
}

/** A refusal says "not run", which does not hold when an earlier attempt may have run. */
function conclusion (last: Attempted, mayHaveRun: Attempted | undefined): Attempted {
  return last.type === 'refused' && mayHaveRun !== undefined ? { ...mayHaveRun, report: last.report } : last
}

/** Targets of each service that take work; of a service that has none, those whose node is suspected, else those that are about to leave. */
export function placesByService (members: readonly Member[]): Map<string, Place[]> {
  const leaving = placesIn(members, ({ target }) => target?.state === 'leaving')
  const suspected = placesIn(members, ({ target, status }) => target?.state === 'up' && status !== 'alive')
  const sound = placesIn(members, ({ target, status }) => target?.state === 'up' && status === 'alive')
  return new Map([...leaving, ...suspected, ...sound])
}

function placesIn (members: readonly Member[], isWanted: (member: Member) => boolean): Map<string, Place[]> {
  const places = new Map<string, Place[]>()
  for (const member of members) {
    const { id, domain, address, target } = member
    if (target === undefined || !isWanted(member)) continue
    const known = places.get(target.service) ?? []
    known.push({ node: id, domain, slots: target.slots, address })
    places.set(target.service, known)
  }
  return places
}

/** What the calling side works with. */
export interface CallerContext {
  peers: Peers
  server: CallServer
  forwarder: Forwarder
  /** Retries that all nodes together may make in a short time beyond a tenth of the successes, for each service. */
  fleetRetries: number
  shares: KnownShares
  requests: RequestLog
  dialect: Dialect
  environment: Environment
}

/** Creates the calling side of a node. */
export function createCaller ({ peers, server, forwarder, fleetRetries, shares, requests, dialect, environment: { clock, random, metrics } }: CallerContext): Caller {
  const standings = createStandings()
  const ratios = createRetryRatios()
  const throttle = createThrottle()
  let places = new Map<string, Place[]>()
  let placesOf: readonly Member[] | undefined
  const timer = setInterval(() => pruneThrottle(throttle, clock.now()), pruneEveryMs)

  const candidates = (service: string): readonly Place[] => {
    const members = peers.members()
    if (members !== placesOf) {
      places = placesByService(members)
      shareAllowance(ratios, fleetRetries, members.filter(({ role }) => role === 'node').length)
    }
    placesOf = members
    return places.get(service) ?? []
  }
  const attemptOnce = async (call: Call, budget: Budget, place: Place, sink: Sink, waitMs: number | undefined): Promise<Attempted> => {
    const { id } = peers.self()
    const standing = standingOf(standings, place.node)
    const startedAt = clock.now()
    const lent = lend(budget)
    const attempt: Call = { ...call, context: { ...call.context, attempt: randomId(), budget: lent, waitMs } }
    standing.inFlight++
    const attempted = place.node === id ? await server.serve(attempt, sink) : await forwarder.forward(place.address, attempt, lent, sink)
    standing.inFlight--
    giveBack(budget, lent, attempted.report.used)
    const tookMs = clock.now() - startedAt
    learn(calleeOf(call.context), attempted, place, tookMs)
    if (attempted.type !== 'answered') logAttempt(call, place, attempted, tookMs)
    return attempted
  }
  const logAttempt = (call: Call, { node }: Place, attempted: Attempted, tookMs: number) => requests.write({
    kind: 'attempt ended',
    id: requestIdOf(call, dialect),
    service: call.context.service,
    node,
    outcome: attempted.type,
    reason: reasonOf(attempted),
    load: Math.round(100 * attempted.report.load) / 100,
    tookMs: Math.round(tookMs)
  })
  const refuseEarly = (call: Call, reason: string): Attempted => {
    const { route, service, priority } = call.context
    const share = shareOf(shares, calleeOf(call.context), clock.now())
    requests.write({ kind: 'request refused early', id: requestIdOf(call, dialect), route, service, reason, priority, share: Math.round(1000 * share) / 1000, returning: call.returning === true })
    return refused(fail('overloaded', { service, reason }), true)
  }
  const learn = (callee: string, attempted: Attempted, place: Place, latencyMs: number) => {
    const standing = standingOf(standings, place.node)
    const now = clock.now()
    if (attempted.report.share !== undefined) recordShare(shares, callee, place.node, attempted.report.share, now)
    metrics.count(`attempts_total{outcome="${attempted.type}"}`)
    if (attempted.type === 'answered') return recordAnswer(standing, latencyMs, attempted.report.load, now)
    const unreachable = attempted.type === 'refused' && attempted.failure.code === 'noTarget'
    if (attempted.type === 'refused' && !unreachable) return recordAnswer(standing, standing.latencyMs, attempted.report.load, now)
    recordFailure(standing, now)
    if (unreachable && attempted.report === emptyReport) peers.reportUnreachable(place.node)
  }
  const canRepeat = (call: Call, attempted: Attempted): boolean => {
    if (attempted.type === 'answered' || attempted.type === 'broken' || call.cancellation.cancelled) return false
    const notRun = attempted.type === 'refused'
    const crashed = attempted.type === 'failed' && attempted.crashed
    const elsewhere = attempted.type === 'refused' ? attempted.elsewhere : true
    return mayRetry({ notRun, crashed, suspect: call.context.suspect, elsewhere }, call.context.idempotent, call.deadlineAt - clock.now())
  }
  const throttleKey = ({ context }: Call) => `${context.template}/${context.route}/${context.workspace ?? ''}/${context.priority}`

  return {
    async call (call, budget, sink) {
      const { service, priority } = call.context
      const key = throttleKey(call)
      const isNew = priority > begunPriority && call.context.depth === 0
      if (isNew && !letsIn(shareOf(shares, calleeOf(call.context), clock.now()), priority, random.next(), call.returning)) {
        metrics.count(`turned_away_total{priority="${priority}"}`)
        return refuseEarly(call, 'refused before it began, as it leads to services that cannot bear more')
      }
      if (priority > begunPriority && !admits(throttle, key, priority, random.next(), clock.now())) {
        metrics.count(`throttled_total{priority="${priorities[priority]}"}`)
        return refuseEarly(call, 'refused early, as targets further down refuse')
      }
      const tried = new Set<string>()
      const startedAt = clock.now()
      /** What is left of the time that the call may wait in queues. */
      const waitLeft = () => call.context.waitMs === undefined ? undefined : call.context.waitMs - (clock.now() - startedAt)
      let next = call
      let mayHaveRun: Attempted | undefined
      while (true) {
        const all = candidates(service)
        const fresh = all.filter((place) => !tried.has(place.node))
        const chosen = chooseTarget(standings, fresh.length > 0 ? fresh : all, peers.self().domain, clock.now(), random) as Place | undefined
        if (chosen === undefined) return mayHaveRun ?? refused(fail('noTarget', { service }), false)
        const attempted = await attemptOnce(next, budget, chosen, sink, waitLeft())
        const overloaded = attempted.report.shed || (attempted.type === 'answered' && attempted.status === 503)
        recordOutcome(throttle, key, priority, !overloaded, clock.now())
        if (attempted.type === 'answered') earnRetry(ratios, service)
        if (attempted.type === 'failed') mayHaveRun = attempted
        tried.add(chosen.node)
        if (!canRepeat(next, attempted)) return conclusion(attempted, mayHaveRun)
        if (isUnseen(attempted)) {
          if (tried.size >= Math.min(all.length, maxPlaces) || (waitLeft() ?? 1) <= 0) return conclusion(attempted, mayHaveRun)
          continue
        }
        if (budget.left < 1 || !takeRetry(ratios, service)) return conclusion(attempted, mayHaveRun)
        spend(budget)
        metrics.count('retries_total')
        if (attempted.type === 'failed' && attempted.crashed) next = { ...call, context: { ...call.context, suspect: true } }
      }
    },
    close: () => clearInterval(timer)
  }
}
