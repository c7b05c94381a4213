import {
  anticipationFraction, averageDemandWeight, borrowTtlMs, ceilingHeadroomFraction, ceilingRetryMs, immediateFraction, lentFraction, lowerCeilingAfterMs, minArrivalsForRate, minCeilingHeadroom, minRateFraction, reportIntervalMs, scarceReportIntervalMs, spareDemandFraction, sparePerHolder, spareWindowFraction,
  sweepIntervalMs, windowLeaseMs
} from './constants.ts'
import type { Limit, Tolerance, WindowDemand, WindowGrant } from './types.ts'

/** A grant that its holder may still be using. */
interface OutstandingGrant {
  sequence: number
  allowance: number
  expiresAt: number
}

/** Outstanding grants and last report of one holder. */
interface Holding {
  outstanding: OutstandingGrant[]
  /** Requests admitted in the window before the last report. */
  admitted: number
  /** Requests that arrived in that window. */
  demand: number
  /** Moving average of the demand. Spare capacity is divided in proportion to it. */
  averageDemand: number
  reportedAt: number
  /** Whether it keeps admissions for others. */
  isLender: boolean
}

/** An allowance that is no longer in use and whose last admissions still count. */
interface EndedAllowance {
  allowance: number
  endedAt: number
}

/** Sums over the holders of a workspace. Between sweeps they may include expired grants, but never miss an active one. */
interface Sums {
  occupied: number
  demand: number
  averageDemand: number
  lenders: number
}

/** Capacity and holdings of one workspace. */
interface Account {
  /** Requests that all holders together may admit in any window. */
  capacity: number
  /** Durable upper bound of what is occupied, at most the capacity with its tolerance. */
  ceiling: number
  /** Requests that the ceiling held back since it was last planned. */
  shortage: number
  /** Time since which the ceiling has been much higher than needed. */
  tooHighSince: number | undefined
  /** Requests by which the ceiling may be raised at once. Spreads an excess of demand over the window. */
  raise: { available: number, updatedAt: number }
  /** What may be held under an earlier leader by nodes that have not reported to this one. */
  unreported: number
  holdings: Map<string, Holding>
  endedAllowances: EndedAllowance[]
  sums: Sums
  /** Time at which demand began after none; undefined while there is none, or where it is not known. */
  demandSince: number | undefined
  sweptAt: number
}

/**
 * Allowances of all workspaces, kept by the leader of the control group. An allowance is what one node may admit in any
 * window of time; the sum over all nodes never exceeds what the limit allows the whole fleet in a window.
 */
export interface WindowLedger {
  term: number
  windowMs: number
  /** Time since which this leader is in office. */
  since: number
  /** What requests that wait may draw beyond the limit. It is not part of the shares that follow demand. */
  tolerance: Tolerance
  /** Time from which allowances that were not reported to this leader are no longer in use. */
  unreportedEndAt: number
  sequence: number
  accounts: Map<string, Account>
  /** Latest time at which each holder's process may have started. */
  starts: Map<string, number>
  /** Ceilings under which earlier leaders granted, by workspace; undefined if they kept none. */
  earlierCeilings: Readonly<Record<string, number>> | undefined
}

const noTolerance: Tolerance = { fraction: 0, requests: 0 }

/**
 * Creates the ledger of a leader that became leader at `since`. What earlier leaders may have granted, at most their ceilings, counts as in use until
 * it is reported, its leases expire, or the takeover ends.
 */
export function createWindowLedger (
  term: number, windowMs: number, since: number, tolerance: Tolerance = noTolerance, earlierCeilings?: Readonly<Record<string, number>>
): WindowLedger {
  return { term, windowMs, since, tolerance, unreportedEndAt: since + windowLeaseMs, sequence: 0, accounts: new Map(), starts: new Map(), earlierCeilings }
}

/**
 * Ends the takeover from earlier leaders. To be called only after all nodes have reported and none is missing: the holder
 * of an unreported allowance has then ended. A restarted holder's old process ended before its new one started, so the
 * latest process start is an upper bound for the end of all unreported allowances.
 */
export function endWindowTakeover (ledger: WindowLedger, now: number): void {
  const latestStart = Math.max(...ledger.starts.values())
  ledger.unreportedEndAt = Math.min(ledger.unreportedEndAt, Number.isFinite(latestStart) ? latestStart : now)
}

/** Records when a holder's process started: it has run for `upMs`. */
export function recordProcessStart (ledger: WindowLedger, holder: string, upMs: number, now: number): void {
  ledger.starts.set(holder, Math.min(now - upMs, ledger.starts.get(holder) ?? Infinity))
}

/** Releases the allowances of a holder whose process is known to have ended. They still count for one window. */
export function releaseWindowHolder (ledger: WindowLedger, holder: string, now: number): void {
  for (const account of ledger.accounts.values()) {
    const holding = account.holdings.get(holder)
    if (holding === undefined) continue
    account.holdings.delete(holder)
    account.endedAllowances.push({ allowance: occupancy(holding, now), endedAt: now })
    account.sweptAt = -Infinity
  }
}

/** Releases the allowance of a holder that is stopping. Only the requests it has admitted still count, for one window. */
export function returnAllowance (ledger: WindowLedger, holder: string, { workspace, admitted }: WindowDemand, now: number): void {
  const account = ledger.accounts.get(workspace)
  if (account?.holdings.delete(holder) !== true) return
  account.endedAllowances.push({ allowance: admitted, endedAt: now })
  account.sweptAt = -Infinity
}

/** Returns the number of requests that the fleet may admit in a window. */
function windowCapacity (limit: Limit, windowMs: number): number {
  return Math.floor(limit.rate * windowMs / 1000 + limit.burst)
}

/** Returns the largest number of requests that a holder may have admitted, or may still admit, in the current window. */
function occupancy (holding: Holding, now: number): number {
  let highest = holding.admitted
  for (const { allowance, expiresAt } of holding.outstanding) {
    if (expiresAt > now) highest = Math.max(highest, allowance)
  }
  return highest
}

/**
 * Returns how much of an allowance that ended `sinceMs` ago still counts. Its last admissions stay in the window for one window length; what its
 * holder lent just before may have been admitted up to `borrowTtlMs` later.
 */
function occupancyAfterEnd (allowance: number, sinceMs: number, windowMs: number): number {
  return sinceMs < windowMs + borrowTtlMs ? allowance : 0
}

function accountOf (ledger: WindowLedger, workspace: string, limit: Limit, now: number): Account {
  const capacity = windowCapacity(limit, ledger.windowMs)
  const known = ledger.accounts.get(workspace)
  const ceiling = ledger.earlierCeilings?.[workspace] ?? 0
  const unreported = ledger.earlierCeilings === undefined ? capacity : ceiling
  const account = known ?? {
    capacity, ceiling, shortage: 0, tooHighSince: undefined, raise: { available: capacity * immediateFraction, updatedAt: now }, unreported, holdings: new Map(), endedAllowances: [], sums: { occupied: 0, demand: 0, averageDemand: 0, lenders: 0 }, demandSince: undefined, sweptAt: -Infinity
  }
  if (known === undefined) ledger.accounts.set(workspace, account)
  account.capacity = capacity
  if (now >= account.sweptAt + sweepIntervalMs) sweep(ledger, account, now)
  return account
}

function sweep (ledger: WindowLedger, account: Account, now: number): void {
  account.sweptAt = now
  const sums: Sums = { occupied: 0, demand: 0, averageDemand: 0, lenders: 0 }
  for (const [name, holding] of account.holdings) {
    expire(account, holding, now)
    const isSilent = now - holding.reportedAt > ledger.windowMs
    if (isSilent) holding.demand = 0
    if (isSilent && holding.outstanding.length === 0) {
      account.holdings.delete(name)
      continue
    }
    sums.occupied += occupancy(holding, now)
    sums.demand += holding.demand
    sums.averageDemand += holding.averageDemand
    if (holding.isLender) sums.lenders++
  }
  account.endedAllowances = account.endedAllowances.filter(({ allowance, endedAt }) => occupancyAfterEnd(allowance, now - endedAt, ledger.windowMs) > 0)
  for (const { allowance } of account.endedAllowances) sums.occupied += allowance
  account.sums = sums
  if (sums.demand === 0) account.demandSince = undefined
}

/** Moves a holding whose lease has expired to the ended allowances. */
function expire (account: Account, holding: Holding, now: number): void {
  const last = holding.outstanding.reduce((latest, { expiresAt }) => Math.max(latest, expiresAt), -Infinity)
  if (holding.outstanding.length === 0 || last > now) return
  account.endedAllowances.push({ allowance: Math.max(...holding.outstanding.map(({ allowance }) => allowance)), endedAt: last })
  holding.outstanding = []
  holding.admitted = 0
}

function holdingOf (account: Account, holder: string): Holding {
  const known = account.holdings.get(holder)
  if (known !== undefined) return known
  const created: Holding = { outstanding: [], admitted: 0, demand: 0, averageDemand: 0, reportedAt: -Infinity, isLender: false }
  account.holdings.set(holder, created)
  return created
}

/** Drops the grants that are older than the acknowledged one, and adopts allowances of an earlier leader. */
function acknowledge (ledger: WindowLedger, account: Account, holding: Holding, { held }: WindowDemand, now: number): void {
  if (held === undefined) return
  if (held.term === ledger.term) holding.outstanding = holding.outstanding.filter(({ sequence }) => sequence >= held.sequence)
  else if (held.term < ledger.term && holding.outstanding.length === 0) {
    holding.outstanding = [{ sequence: 0, allowance: held.allowance, expiresAt: now + windowLeaseMs }]
    account.unreported = Math.max(0, account.unreported - held.allowance)
  }
}

/** Returns the capacity with its tolerance. */
function toleratedCapacity ({ tolerance }: WindowLedger, { capacity }: Account): number {
  return capacity + Math.floor(capacity * tolerance.fraction + tolerance.requests)
}

/** Returns what may still be held under earlier leaders without having been reported. */
function unreportedOccupancy (ledger: WindowLedger, { unreported }: Account, now: number): number {
  return occupancyAfterEnd(unreported, now - ledger.unreportedEndAt, ledger.windowMs)
}

/** Returns the requests that demand which has just begun will bring to a whole window beyond what has come, as far as there is plenty. */
function anticipatedDemand ({ windowMs, since }: WindowLedger, { capacity, demandSince, sums: { demand } }: Account, now: number): number {
  // A leader that has not been in office for a whole window cannot know when demand began.
  if (demandSince === undefined || demandSince - since < windowMs || demand < minArrivalsForRate) return 0
  const elapsedMs = Math.max(windowMs * minRateFraction, now - demandSince)
  if (elapsedMs >= windowMs) return 0
  return Math.max(0, Math.min(demand * (windowMs / elapsedMs - 1), capacity * anticipationFraction - demand))
}

/**
 * Returns a holder's demand plus a part of what is spare. Little is spare, so that the ceiling can be low: a holder that needs more
 * asks for it. What is spare for each holder would be less than a request where demand is spread over many; where there are lenders, they keep it
 * for all. If demand exceeds capacity, returns a part of the capacity in proportion to demand.
 */
function desiredAllowance (ledger: WindowLedger, account: Account, holding: Holding, now: number): number {
  const { capacity, holdings, sums: { demand, averageDemand, lenders } } = account
  const shared = capacity * (1 - spareWindowFraction)
  if (demand >= shared) return shared * holding.demand / demand
  const spare = Math.min(shared - demand, demand * spareDemandFraction + holdings.size * sparePerHolder)
  const lent = lenders > 0 ? Math.min(spare, holdings.size * sparePerHolder, (shared - demand) * lentFraction) : 0
  const fraction = averageDemand > 0 ? holding.averageDemand / averageDemand : 0
  const kept = holding.isLender ? Math.min(shared - demand, lent + anticipatedDemand(ledger, account, now)) / lenders : 0
  return holding.demand + (spare - lent) * fraction + kept
}

/** Returns what a holder whose demand has just begun is expected to need, as far as there is plenty. */
function anticipatedAllowance ({ capacity }: Account, { expected }: WindowDemand, occupied: number): number {
  if (expected === undefined) return 0
  return Math.min(expected * (1 + spareDemandFraction) + sparePerHolder, capacity * anticipationFraction - occupied)
}

/** Returns when a holder should report again, in ms: soon while its requests wait, or while what a lender keeps is not all that it should; otherwise 0. */
function nextReportMs ({ windowMs }: WindowLedger, { demandSince }: Account, demand: WindowDemand, { allowance, heldBack }: { allowance: number, heldBack: number }, now: number): number {
  if (demand.waiting > 0 && allowance < demand.admitted + demand.waiting) return heldBack > 0 ? ceilingRetryMs : scarceReportIntervalMs
  const isYoung = demandSince !== undefined && now - demandSince < windowMs
  return demand.isLender === true && (heldBack > 0 || isYoung) ? reportIntervalMs : 0
}

/** Decides a holder's next allowance from its report. */
export function decideAllowance (ledger: WindowLedger, holder: string, demand: WindowDemand, limit: Limit, now: number): WindowGrant {
  const account = accountOf(ledger, demand.workspace, limit, now)
  const holding = holdingOf(account, holder)
  const { sums } = account
  const occupiedByOthers = sums.occupied - occupancy(holding, now)
  sums.demand -= holding.demand
  sums.averageDemand -= holding.averageDemand
  if (holding.isLender) sums.lenders--
  acknowledge(ledger, account, holding, demand, now)
  holding.admitted = demand.admitted
  holding.demand = demand.arrived
  holding.averageDemand = Math.max(1, holding.averageDemand + averageDemandWeight * (demand.arrived - holding.averageDemand))
  holding.reportedAt = now
  holding.isLender = demand.isLender === true
  sums.demand += holding.demand
  sums.averageDemand += holding.averageDemand
  if (holding.isLender) sums.lenders++
  if (sums.demand > 0) account.demandSince ??= now
  const occupied = occupiedByOthers + unreportedOccupancy(ledger, account, now)
  const desired = Math.max(desiredAllowance(ledger, account, holding, now), anticipatedAllowance(account, demand, occupied))
  const requested = Math.max(desired, demand.admitted + demand.waiting)
  const currentAllowance = holding.outstanding.reduce((highest, { allowance, expiresAt }) => expiresAt > now ? Math.max(highest, allowance) : highest, 0)
  const permitted = Math.min(requested, toleratedCapacity(ledger, account) - occupied)
  const granted = Math.min(permitted, account.ceiling - occupied)
  const kept = Math.min(currentAllowance, Math.max(desired, demand.waiting > 0 ? demand.admitted : 0))
  const allowance = Math.floor(Math.max(0, granted, kept))
  const heldBack = Math.max(0, Math.floor(permitted) - allowance)
  account.shortage += heldBack
  const grant: OutstandingGrant = { sequence: ++ledger.sequence, allowance, expiresAt: now + windowLeaseMs }
  holding.outstanding.push(grant)
  sums.occupied = occupiedByOthers + occupancy(holding, now)
  const nextMs = nextReportMs(ledger, account, demand, { allowance, heldBack }, now)
  return { workspace: demand.workspace, term: ledger.term, sequence: grant.sequence, allowance, nextMs, leaseMs: windowLeaseMs }
}

/** Returns true when a ceiling holds back what a limit permits. */
export function isCeilingShort (ledger: WindowLedger): boolean {
  for (const { shortage } of ledger.accounts.values()) if (shortage > 0) return true
  return false
}

/** Which ceilings are planned: all, or those that hold something back. */
export type CeilingScope = 'all' | 'short'

/**
 * Returns the ceilings that should change, to be made durable. A raised one applies once `confirmCeilings` is called, a lowered one at once, so that
 * what is granted never exceeds the durable ceiling, whether or not the change becomes durable.
 */
export function planCeilings (ledger: WindowLedger, now: number, scope: CeilingScope): Record<string, number> {
  const changes: Record<string, number> = {}
  for (const [workspace, account] of ledger.accounts) {
    if (scope === 'short' && account.shortage === 0) continue
    sweep(ledger, account, now)
    const planned = planCeiling(ledger, account, now)
    account.shortage = 0
    if (planned === account.ceiling) continue
    changes[workspace] = planned
    account.ceiling = Math.min(account.ceiling, planned)
  }
  return changes
}

function planCeiling (ledger: WindowLedger, account: Account, now: number): number {
  const { capacity, ceiling, shortage, raise } = account
  raise.available = Math.min(capacity * immediateFraction, raise.available + capacity * (now - raise.updatedAt) / ledger.windowMs)
  raise.updatedAt = now
  const occupied = account.sums.occupied + unreportedOccupancy(ledger, account, now)
  const headroom = Math.max(minCeilingHeadroom, capacity * ceilingHeadroomFraction)
  const wanted = Math.min(toleratedCapacity(ledger, account), Math.ceil(occupied + shortage + headroom))
  const isTooHigh = occupied + 3 * headroom < ceiling
  account.tooHighSince = isTooHigh ? account.tooHighSince ?? now : undefined
  if (wanted > ceiling && (shortage > 0 || occupied + headroom / 2 > ceiling)) return raiseCeiling(account, Math.max(ceiling, occupied), wanted)
  if (account.tooHighSince === undefined || now - account.tooHighSince < lowerCeilingAfterMs) return ceiling
  account.tooHighSince = undefined
  return wanted
}

function raiseCeiling ({ raise }: Account, from: number, to: number): number {
  const raised = Math.floor(Math.min(to, from + raise.available))
  raise.available -= Math.max(0, raised - from)
  return raised
}

/** Applies ceilings that are durable now. */
export function confirmCeilings (ledger: WindowLedger, ceilings: Readonly<Record<string, number>>): void {
  for (const [workspace, ceiling] of Object.entries(ceilings)) {
    const account = ledger.accounts.get(workspace)
    if (account === undefined) continue
    account.ceiling = ceiling
  }
}
