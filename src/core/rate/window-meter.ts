import { borrowTtlMs, calmReportIntervalMs, idleReportIntervalMs, immediateFraction, minArrivalsForRate, minRateFraction, scarceFraction, sliceCount, tokenTtlMs } from './constants.ts'
import type { Share, WindowDemand, WindowGrant } from './types.ts'

/** Admissions or arrivals of the last window, counted in slices. The count of a slice leaves the window all at once. */
interface WindowCount {
  slices: number[]
  /** Number of the newest slice. */
  newest: number
  sum: number
}

/** Admissions that this node has lent to another one. */
interface Loan {
  count: number
  /** Time until which the borrower may admit them. They are counted as if admitted then. */
  until: number
}

/** What the leader knows of an account from its last report. */
interface LastReport {
  at: number
  arrived: number
  admitted: number
  /** Sequence number and allowance of the grant that the report acknowledged. The leader cannot reassign what a smaller grant took away before it is acknowledged. */
  sequence: number
  allowance: number
}

/** Allowance and counts of one workspace at this node. */
interface Account {
  term: number
  sequence: number
  /** Last report of this account. */
  reported: LastReport
  /** Requests that this node may admit in any window. */
  allowance: number
  expiresAt: number
  admitted: WindowCount
  arrived: WindowCount
  /** Time of the first arrival after a whole window without one. */
  arrivingSince: number
  /** Loans that the borrower may still use. */
  loans: Loan[]
  /** Requests that may be admitted at once. Limits bursts within the window. */
  tokens: number
  tokensAt: number
  waiting: number
  /** True while this node keeps admissions of the workspace for others. */
  isLender: boolean
  /** Time from which the leader wants the next report. */
  nextReportAt: number
}

/** Allowances of one node, by workspace, and the requests it has admitted in the last window. */
export interface WindowMeter {
  windowMs: number
  accounts: Map<string, Account>
}

/** Creates the meter of a node that holds no allowance. */
export function createWindowMeter (windowMs: number): WindowMeter {
  return { windowMs, accounts: new Map() }
}

function createWindowCount (): WindowCount {
  return { slices: Array.from({ length: sliceCount + 1 }, () => 0), newest: 0, sum: 0 }
}

function sliceAt (meter: WindowMeter, time: number): number {
  return Math.floor(time * sliceCount / meter.windowMs)
}

/** Clears the slices that have left the window. */
function dropExpiredSlices (windowCount: WindowCount, slice: number): void {
  const { slices } = windowCount
  const steps = Math.min(slices.length, slice - windowCount.newest)
  for (let step = 1; step <= steps; step++) {
    const index = (windowCount.newest + step) % slices.length
    windowCount.sum -= slices[index]
    slices[index] = 0
  }
  if (steps > 0 && slice - windowCount.newest > steps) {
    slices.fill(0)
    windowCount.sum = 0
  }
  windowCount.newest = Math.max(windowCount.newest, slice)
}

function addToSlice (windowCount: WindowCount, slice: number, count: number): void {
  windowCount.slices[slice % windowCount.slices.length] += count
  windowCount.sum += count
}

function accountOf (meter: WindowMeter, workspace: string, now: number): Account {
  const known = meter.accounts.get(workspace)
  const account = known ?? {
    term: -1, sequence: 0, reported: { at: -Infinity, arrived: 0, admitted: 0, sequence: 0, allowance: 0 }, allowance: 0, expiresAt: -Infinity, admitted: createWindowCount(), arrived: createWindowCount(), arrivingSince: now, loans: [], tokens: 0, tokensAt: now, waiting: 0, isLender: false, nextReportAt: Infinity
  }
  if (known === undefined) meter.accounts.set(workspace, account)
  const slice = sliceAt(meter, now)
  dropExpiredSlices(account.admitted, slice)
  dropExpiredSlices(account.arrived, slice)
  if (account.loans.length > 0) settleLoans(meter, account, now)
  refill(meter, account, now)
  return account
}

/** Counts the loans that can no longer be used as admitted at their end, so that they leave the window after the borrower's admissions. */
function settleLoans (meter: WindowMeter, account: Account, now: number): void {
  const ended = account.loans.filter(({ until }) => until <= now)
  account.loans = account.loans.filter(({ until }) => until > now)
  for (const { count, until } of ended) {
    const slice = sliceAt(meter, until)
    if (account.admitted.newest - slice < account.admitted.slices.length) addToSlice(account.admitted, slice, count)
  }
}

/** Sets the workspaces of which this node keeps admissions for others. The leader hears of them without any request here. */
export function lendWorkspaces (meter: WindowMeter, workspaces: ReadonlySet<string>, now: number): void {
  for (const workspace of workspaces) accountOf(meter, workspace, now)
  for (const [workspace, account] of meter.accounts) account.isLender = workspaces.has(workspace)
}

/** Returns the requests that count as admitted in the last window, loans included. */
function countedAdmissions ({ admitted, loans }: Account): number {
  return loans.reduce((sum, { count }) => sum + count, admitted.sum)
}

/** Refills the tokens: at most `immediateFraction` of the allowance at once, all of it over a window. */
function refill (meter: WindowMeter, account: Account, now: number): void {
  if (now >= account.expiresAt) account.allowance = 0
  const refilled = account.allowance * (now - account.tokensAt) / meter.windowMs
  account.tokens = Math.min(burstCapacity(account), account.tokens + refilled)
  account.tokensAt = now
}

function burstCapacity ({ allowance }: Account): number {
  return Math.ceil(allowance * immediateFraction)
}

function admissibleCount (account: Account): number {
  return Math.max(0, Math.min(account.allowance - countedAdmissions(account), Math.floor(account.tokens)))
}

function recordAdmissions (meter: WindowMeter, account: Account, count: number, now: number): void {
  addToSlice(account.admitted, sliceAt(meter, now), count)
  account.tokens -= count
}

/** Returns what the node may still admit of a workspace. */
export function shareOfWindow (meter: WindowMeter, workspace: string, now: number): Share {
  const account = accountOf(meter, workspace, now)
  return { share: account.allowance, left: admissibleCount(account) }
}

/** Counts an arrival and admits it if the allowance permits. Otherwise the request counts as waiting until `removeWaitingInWindow` or a grant. */
export function admitInWindow (meter: WindowMeter, workspace: string, now: number): boolean {
  const account = accountOf(meter, workspace, now)
  if (account.arrived.sum === 0) account.arrivingSince = now
  addToSlice(account.arrived, sliceAt(meter, now), 1)
  if (account.waiting === 0 && admissibleCount(account) >= 1) {
    recordAdmissions(meter, account, 1, now)
    return true
  }
  account.waiting++
  return false
}

/** Admits waiting requests as capacity becomes available. Returns how many, oldest first. */
export function admitWaitingInWindow (meter: WindowMeter, workspace: string, now: number): number {
  const account = accountOf(meter, workspace, now)
  const admittedCount = Math.min(account.waiting, admissibleCount(account))
  if (admittedCount === 0) return 0
  account.waiting -= admittedCount
  recordAdmissions(meter, account, admittedCount, now)
  return admittedCount
}

/**
 * Lends up to `count` admissions of a workspace to another node, which may use them for `borrowTtlMs`. Gives at most half of what this node could
 * admit itself, and nothing while its own requests wait. Returns how many.
 */
export function lendFromWindow (meter: WindowMeter, workspace: string, count: number, now: number): number {
  if (!meter.accounts.has(workspace)) return 0
  const account = accountOf(meter, workspace, now)
  if (account.waiting > 0) return 0
  const lent = Math.min(count, Math.ceil(admissibleCount(account) / 2))
  if (lent <= 0) return 0
  account.loans.push({ count: lent, until: now + borrowTtlMs })
  account.tokens -= lent
  return lent
}

/** Admits up to `count` waiting requests that the lender counts. Returns how many, oldest first. */
export function admitBorrowedInWindow (meter: WindowMeter, workspace: string, count: number, now: number): number {
  const account = accountOf(meter, workspace, now)
  const admittedCount = Math.min(account.waiting, count)
  account.waiting -= admittedCount
  return admittedCount
}

/** Removes a waiting request that timed out or was refused. */
export function removeWaitingInWindow (meter: WindowMeter, workspace: string, now: number): void {
  const account = accountOf(meter, workspace, now)
  account.waiting = Math.max(0, account.waiting - 1)
}

/** Uncounts a request that was admitted at `admittedAt` and did not run. */
export function refundToWindow (meter: WindowMeter, workspace: string, admittedAt: number, now: number): void {
  const account = accountOf(meter, workspace, now)
  const slice = sliceAt(meter, admittedAt)
  if (account.admitted.newest - slice >= account.admitted.slices.length) return
  if (account.admitted.slices[slice % account.admitted.slices.length] < 1) return
  addToSlice(account.admitted, slice, -1)
  account.tokens = Math.min(burstCapacity(account), account.tokens + 1)
}

/**
 * Accepts a grant. Its lease starts at the time at which the report was sent. Grants of a leader earlier than the
 * newest known one are ignored. Returns how many waiting requests are admitted.
 */
export function acceptWindowGrant (meter: WindowMeter, grant: WindowGrant, sentAt: number, now: number): number {
  const account = accountOf(meter, grant.workspace, now)
  const isStale = grant.term < account.term || (grant.term === account.term && grant.sequence <= account.sequence)
  if (isStale || sentAt + grant.leaseMs <= now) return 0
  const added = grant.allowance - account.allowance
  account.term = grant.term
  account.sequence = grant.sequence
  account.allowance = grant.allowance
  account.expiresAt = sentAt + grant.leaseMs
  account.nextReportAt = grant.nextMs > 0 ? sentAt + grant.nextMs : Infinity
  const isTimely = now - sentAt <= tokenTtlMs
  account.tokens = Math.min(burstCapacity(account), account.tokens + (isTimely ? Math.max(0, added) : 0))
  return admitWaitingInWindow(meter, grant.workspace, now)
}

/**
 * Returns the arrivals to which their rate leads in a window if they began less than a window ago; otherwise undefined. The first arrival, at which the
 * time begins, says nothing of the rate.
 */
function expectedArrivals ({ windowMs }: WindowMeter, { arrived, arrivingSince }: Account, now: number): number | undefined {
  const elapsedMs = Math.max(windowMs * minRateFraction, now - arrivingSince)
  if (arrived.sum < minArrivalsForRate || elapsedMs >= windowMs) return undefined
  return Math.round(1 + (arrived.sum - 1) * windowMs / elapsedMs)
}

/**
 * Returns true when the leader should hear of an account: requests wait, it took something away that is not acknowledged yet,
 * the demand changed, or the last report is so old that the lease or the leader's view of the demand would run out.
 */
function isReportDue (account: Account, now: number): boolean {
  const { reported, sequence, allowance, waiting, arrived, nextReportAt } = account
  const admitted = countedAdmissions(account)
  if (waiting > 0 || now >= nextReportAt) return true
  if (sequence !== reported.sequence && allowance < reported.allowance) return true
  const ageMs = now - reported.at
  if (ageMs >= idleReportIntervalMs) return true
  const changed = arrived.sum !== reported.arrived || admitted !== reported.admitted
  const scarce = admitted >= allowance * scarceFraction
  return changed && (scarce || ageMs >= calmReportIntervalMs)
}

/** Returns the demands that are due for a report, or all of them. Removes accounts without demand and allowance. */
export function collectWindowDemands (meter: WindowMeter, now: number, all: boolean): WindowDemand[] {
  const demands: WindowDemand[] = []
  for (const workspace of [...meter.accounts.keys()]) {
    const account = accountOf(meter, workspace, now)
    const { arrived, allowance, waiting, term, sequence } = account
    const admitted = countedAdmissions(account)
    const isIdle = !account.isLender && allowance === 0 && admitted === 0 && arrived.sum === 0 && waiting === 0
    if (isIdle && account.reported.sequence === sequence) {
      meter.accounts.delete(workspace)
      continue
    }
    if (!all && !isReportDue(account, now)) continue
    account.reported = { at: now, arrived: arrived.sum, admitted, sequence, allowance }
    const held = now < account.expiresAt ? { term, sequence, allowance } : undefined
    const expected = expectedArrivals(meter, account, now)
    demands.push({ workspace, arrived: arrived.sum, admitted, waiting, held, ...(expected === undefined ? {} : { expected }), ...(account.isLender ? { isLender: true } : {}) })
  }
  return demands
}
