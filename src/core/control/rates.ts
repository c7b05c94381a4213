import { workspacesWithRateLimit, rateLimitOf } from '../config/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { createLeaderLedger, decodeDemands, encodeGrants, takeoverReportMs } from '../rate/index.ts'
import type { AnyGrant, CeilingScope, EncodedDemands, EncodedGrants, LeaderLedger, Tolerance } from '../rate/index.ts'
import type { Command, Registry } from '../registry/index.ts'
import type { Group } from './group.ts'

const ledgerIntervalMs = 500

/** Shortest time between two plans of ceilings that hold requests back, in milliseconds. A change costs a sync of the disks. */
const minPlanIntervalMs = 40

/** Starts granting rate shares to nodes, which happens only while this instance is leader. Each term has its own ledger. */
export function startRateGrants (
  rateWindowMs: number, tolerance: Tolerance, peers: Peers, group: Group, isLeader: () => boolean, registry: () => Registry, { clock, log, metrics }: Environment
): NodeJS.Timeout {
  let ledger: LeaderLedger | undefined
  let term = -1
  const mismatchedHolders = new Set<string>()
  const currentLedger = () => {
    if (ledger === undefined || term !== group.state.hardState.term) {
      term = group.state.hardState.term
      ledger = createLeaderLedger({ windowMs: rateWindowMs, tolerance, earlierCeilings: registry().ceilings }, term, peers.boot, group.leaderSince())
    }
    return ledger
  }
  let isCommittingCeilings = false
  let ceilingsPlannedAt = -Infinity
  /** Makes the ceilings durable that should change. A leader after this one then knows how much may have been granted. */
  const commitCeilings = async (scope: CeilingScope) => {
    if (isCommittingCeilings) return
    const current = currentLedger()
    ceilingsPlannedAt = clock.now()
    const ceilings = current.planCeilings(ceilingsPlannedAt, scope)
    if (Object.keys(ceilings).length === 0) return
    isCommittingCeilings = true
    const committed = await group.propose({ type: 'ceilings', ceilings } satisfies Command)
    isCommittingCeilings = false
    if (committed.ok) current.confirmCeilings(ceilings)
  }
  /** Reports a node whose rate window differs from this instance's. Such a node gets no grants and refuses every request of a workspace with a rate limit. */
  const reportMismatch = (holder: string) => {
    metrics.count('rate_reports_mismatched_total')
    if (mismatchedHolders.has(holder)) return
    mismatchedHolders.add(holder)
    log.error('the rate window of a node differs from that of this instance; set --rate-window to the same value on both', { boot: holder, rateWindowMs })
  }
  peers.datagrams.method('rate.report', ({ holder, upMs, demands }: { holder: string, upMs: number, demands: EncodedDemands }): EncodedGrants | null => {
    const decoded = decodeDemands(demands)
    if (!isLeader() || decoded === undefined) return null
    const now = clock.now()
    const current = currentLedger()
    current.recordUptime(holder, upMs, now)
    const configuration = peers.configuration()
    const grants: AnyGrant[] = []
    for (const demand of decoded) {
      const limit = rateLimitOf(configuration, demand.workspace)
      const grant = limit && current.decide(holder, demand, limit, now)
      if (grant !== undefined) grants.push(grant)
      else if (limit !== undefined) reportMismatch(holder)
    }
    if (now - ceilingsPlannedAt >= minPlanIntervalMs && current.isCeilingShort()) void commitCeilings('short')
    return encodeGrants(grants)
  })
  peers.datagrams.method('rate.leave', ({ holder, demands }: { holder: string, demands: EncodedDemands }): void => {
    if (!isLeader()) return
    for (const demand of decodeDemands(demands) ?? []) currentLedger().releaseUnused(holder, demand, clock.now())
  })
  const bootByNode = new Map<string, string>()
  /** Monotonic time in ms since which no node has been missing. */
  let completeSince = Infinity
  peers.onMemberChange(({ id, boot, status }) => {
    const previousBoot = bootByNode.get(id) ?? boot
    bootByNode.set(id, boot)
    if (ledger === undefined) return
    if (previousBoot !== boot) {
      ledger.release(previousBoot, clock.now())
      completeSince = Infinity
    }
    if (status === 'left') ledger.release(boot, clock.now())
  })
  const updateLedger = () => {
    if (!isLeader()) return
    const now = clock.now()
    if (peers.missingMembers().some(({ role }) => role === 'node')) completeSince = Infinity
    else completeSince = Math.min(completeSince, now)
    if (now - Math.max(completeSince, group.leaderSince()) >= takeoverReportMs) currentLedger().completeTakeover(now)
    const configuration = peers.configuration()
    for (const workspace of workspacesWithRateLimit(configuration)) {
      const limit = rateLimitOf(configuration, workspace)
      if (limit !== undefined) currentLedger().open(workspace, limit, clock.now())
    }
    void commitCeilings('all')
  }
  return setInterval(updateLedger, ledgerIntervalMs)
}
