import type { Hash } from '../claims/index.ts'
import { workspacesWithRateLimit } from '../config/index.ts'
import type { Configuration } from '../config/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { demandsPerReport, leaderlessAfterMs, leaderlessWaitMs, maxWaiting, reportIntervalMs, tokenWaitMs, urgentReportIntervalMs } from './constants.ts'
import { decodeGrants, encodeDemands } from './codec.ts'
import type { EncodedGrants } from './codec.ts'
import { createLenders, lendingNodes } from './lenders.ts'
import { startLending } from './lending.ts'
import type { AnyDemand, AnyGrant, Meter } from './meters.ts'
import type { Share } from './types.ts'

const reportTimeouts = { retryMs: 90, timeoutMs: 300 }
const waitingCheckMs = 15
const idleCheckMs = 250

/** Shortest interval between two searches for the workspaces that this node lends, in milliseconds. Each hashes all workspaces for all nodes. */
const lenderCheckMs = 1000

/** Returns true where the next report is due for what this node keeps for others, and not for requests that wait. */
function isLenderInterval (grant: AnyGrant): boolean {
  return 'allowance' in grant && grant.nextMs >= reportIntervalMs
}

/** How a request was admitted: counted at this node, or counted at another one that lent the admission; refused if beyond the rate. */
export type Admission = 'counted' | 'borrowed' | 'refused'

/** A request that waits for a token. */
interface Waiter {
  admit: (admission: Admission) => void
  since: number
  until: number
}

/** State of one workspace at this node, as it decides on the next request. */
export interface RateState extends Share {
  /** Requests that wait for a token. */
  waiting: number
  /** Time since the oldest report that no leader has answered, in ms; 0 when all were answered. */
  unansweredMs: number
}

/** Admits requests within the rate limits of their workspaces. */
export interface RateClient {
  /** Returns whether the request is within the rate. May wait up to `leaderlessWaitMs` for a token. */
  admit: (workspace: string) => Admission | Promise<Admission>
  /** Uncounts a request that was counted at `admittedAt` and refused before it ran. A borrowed one cannot be uncounted. */
  refundRequest: (workspace: string, admittedAt: number) => void
  state: (workspace: string) => RateState
  /** Returns the state of a workspace without creating one; undefined where this node has had no request of it. */
  peek: (workspace: string) => RateState | undefined
  /** Stops reporting and returns the held allowances to the leader. No request may be admitted afterwards. */
  close: () => void
}

/** Creates a rate client that reports demand to the control group and accepts grants. */
export function createRateClient (peers: Peers, meter: Meter, environment: Environment, hash: Hash): RateClient {
  const { clock, metrics } = environment
  const waiters = new Map<string, Waiter[]>()
  const startedAt = clock.now()
  let isReporting = false
  let isUrgent = false
  /** Shortest interval between urgent reports. No token becomes available earlier. */
  let urgentIntervalMs = urgentReportIntervalMs
  let nextReportAt = 0
  /** The next report covers all workspaces, because the leader does not know the last one. */
  let mustReportAll = true
  /** Term of the leader at the last report. A new leader needs a report on all workspaces. */
  let reportedTerm: number | undefined
  /** Time of the oldest report that no leader has answered; undefined if all were answered. */
  let unansweredSince: number | undefined
  let closed = false

  const admitWaiters = (workspace: string, count: number, admission: Admission = 'counted') => {
    const queue = waiters.get(workspace) ?? []
    for (const waiter of queue.splice(0, count)) waiter.admit(admission)
    if (queue.length === 0) waiters.delete(workspace)
  }
  let lenders = createLenders([], hash)
  let lendersFrom: { nodes: string, configuration: Configuration } | undefined
  let lendersCheckedAt = -Infinity
  /** Finds the lenders anew where members or workspaces have changed, and which workspaces this node lends. */
  const updateLenders = (now: number) => {
    if (now - lendersCheckedAt < lenderCheckMs) return
    lendersCheckedAt = now
    const configuration = peers.configuration()
    const members = lendingNodes(peers.members())
    const nodes = members.map(({ id, domain }) => `${id}/${domain}`).sort().join()
    if (lendersFrom?.nodes === nodes && lendersFrom.configuration === configuration) return
    lendersFrom = { nodes, configuration }
    lenders = createLenders(members, hash)
    const { id, domain } = peers.self()
    meter.lendWorkspaces(new Set(workspacesWithRateLimit(configuration).filter((workspace) => lenders.inDomain(workspace, domain) === id)), now)
  }
  const borrow = startLending(peers, meter, {
    lendersOf: (workspace) => lenders.of(workspace),
    counts: () => [...waiters].map(([workspace, queue]) => [workspace, queue.length]),
    admitBorrowed: (workspace, count) => admitWaiters(workspace, meter.admitBorrowed(workspace, count, clock.now()), 'borrowed'),
    isClosed: () => closed
  }, environment)
  const reportDemands = async () => {
    const sentAt = clock.now()
    updateLenders(sentAt)
    const term = peers.freshness.newest?.term
    const demands = meter.demands(sentAt, mustReportAll || term !== reportedTerm)
    nextReportAt = sentAt + reportIntervalMs
    isUrgent = false
    urgentIntervalMs = urgentReportIntervalMs
    if (demands.length === 0) return
    unansweredSince ??= sentAt
    mustReportAll = false
    reportedTerm = term
    const batches: AnyDemand[][] = []
    for (let start = 0; start < demands.length; start += demandsPerReport) batches.push(demands.slice(start, start + demandsPerReport))
    await Promise.all(batches.map(async (batch) => {
      const grants = await sendReport(batch)
      for (const grant of grants) admitWaiters(grant.workspace, meter.accept(grant, sentAt, clock.now()))
      const tokenWaitsMs = grants.filter((grant) => grant.nextMs > 0 && !isLenderInterval(grant)).map(({ nextMs }) => nextMs)
      if (tokenWaitsMs.length > 0) urgentIntervalMs = Math.max(urgentReportIntervalMs, Math.min(...tokenWaitsMs))
    }))
  }
  const sendReport = async (demands: AnyDemand[]): Promise<AnyGrant[]> => {
    for (const control of peers.controlAddresses().slice(0, 3)) {
      const report = { holder: peers.boot, upMs: Math.round(clock.now() - startedAt), demands: encodeDemands(demands) }
      const answer = await peers.datagrams.request<EncodedGrants | null>(control, 'rate.report', report, reportTimeouts)
      const grants = answer.ok ? decodeGrants(answer.value) : undefined
      if (grants === undefined) continue
      if (grants.every((grant) => !('open' in grant) || grant.open)) unansweredSince = undefined
      return grants
    }
    mustReportAll = true
    metrics.count('rate_reports_lost_total')
    return []
  }
  const reportIfDue = () => {
    if (isReporting || closed) return
    const now = clock.now()
    if (now < nextReportAt && !(isUrgent && now >= nextReportAt - reportIntervalMs + urgentIntervalMs)) return
    isReporting = true
    void reportDemands().finally(() => {
      isReporting = false
    })
  }
  const isLeaderless = (now: number) => now - (unansweredSince ?? now) > leaderlessAfterMs
  const checkWaiters = () => {
    const now = clock.now()
    for (const [workspace, queue] of waiters) {
      admitWaiters(workspace, meter.admitWaiting(workspace, now))
      if (isLeaderless(now)) for (const waiter of queue) waiter.until = waiter.since + leaderlessWaitMs
      while (queue.length > 0 && now >= queue[0].until) {
        queue.shift()?.admit('refused')
        meter.removeWaiting(workspace, now)
      }
      if (queue.length === 0) waiters.delete(workspace)
    }
    if (waiters.size > 0) isUrgent = true
    reportIfDue()
    if (waiters.size > 0 && isLeaderless(now)) borrow()
    scheduleCheck()
  }
  /** Schedules the next check: soon while requests wait, later otherwise. */
  const scheduleCheck = () => {
    clearTimeout(timer)
    if (!closed) timer = setTimeout(checkWaiters, waiters.size > 0 ? waitingCheckMs : idleCheckMs)
  }
  let timer = setTimeout(checkWaiters, idleCheckMs)
  const stateOf = (workspace: string): RateState => {
    const now = clock.now()
    return { ...meter.share(workspace, now), waiting: waiters.get(workspace)?.length ?? 0, unansweredMs: Math.round(now - (unansweredSince ?? now)) }
  }
  return {
    admit (workspace) {
      const now = clock.now()
      if (meter.tryAdmit(workspace, now)) return 'counted'
      isUrgent = true
      const queue = waiters.get(workspace) ?? []
      if (queue.length >= maxWaiting) {
        meter.removeWaiting(workspace, now)
        return 'refused'
      }
      waiters.set(workspace, queue)
      const admitted = new Promise<Admission>((resolve) => void queue.push({ admit: resolve, since: now, until: now + tokenWaitMs }))
      if (waiters.size === 1 && queue.length === 1) scheduleCheck()
      reportIfDue()
      return admitted
    },
    state: stateOf,
    peek: (workspace) => meter.knows(workspace) ? stateOf(workspace) : undefined,
    refundRequest: (workspace, admittedAt) => meter.refund(workspace, admittedAt, clock.now()),
    close () {
      closed = true
      clearTimeout(timer)
      for (const queue of waiters.values()) for (const waiter of queue) waiter.admit('refused')
      waiters.clear()
      const [leader] = peers.controlAddresses()
      if (leader !== undefined) peers.datagrams.notify(leader, 'rate.leave', { holder: peers.boot, demands: encodeDemands(meter.demands(clock.now(), true)) })
    }
  }
}
