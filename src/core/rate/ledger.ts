import { demandTtlMs, maxShareBurstSeconds, maxSparseFraction, minSharedDemand, sparseShareBurst, sharedBurstFraction, sharedRateFraction, shareLeaseMs, sweepIntervalMs, tokenTtlMs, urgentReportIntervalMs, reportIntervalMs } from './constants.ts'
import type { Demand, Grant, Limit } from './types.ts'

/** A grant that a holder may still be using. */
interface OutstandingGrant {
  sequence: number
  rate: number
  burst: number
  /** Tokens in flight to the holder's bucket, beyond the burst that the share itself adds. */
  tokens: number
  expiresAt: number
}

/** Outstanding grants and last reported demand of one holder. */
interface Holding {
  outstanding: OutstandingGrant[]
  demand: number
  demandAt: number
}

/** Pool and holdings of one workspace. */
interface Account {
  limit: Limit
  /** Until then, all capacity that may be leased in shares counts as held under earlier leaders. */
  takeoverEndsAt: number
  /** Tokens of the pool, which holds the capacity that is not leased. */
  tokens: number
  tokensAt: number
  holdings: Map<string, Holding>
  /** Sum over holdings of the largest share in use. Between sweeps it may include expired grants, but never misses an active one. */
  inUse: Capacity
  /** Sum of the demands reported within `demandTtlMs`. */
  demand: number
  sweptAt: number
}

/** Rate shares of all workspaces, kept by the leader of the control group. */
export interface Ledger {
  /** Identifies this leader and its term. */
  generation: string
  /** Time at which the pool opens. Tokens that an earlier leader moved have expired by then. */
  poolOpensAt: number
  /** Time by which shares of earlier leaders have expired or been adopted. */
  takeoverEndsAt: number
  sequence: number
  accounts: Map<string, Account>
}

/**
 * Creates an empty ledger at the start of a leader's term. Until every grant of an earlier leader has
 * expired or been adopted, the ledger renews the shares that nodes hold, leases no new ones, and moves
 * tokens only from the part of rate and burst that is never leased in shares.
 */
export function createLedger (generation: string, since: number): Ledger {
  return { generation, poolOpensAt: since + tokenTtlMs, takeoverEndsAt: since + shareLeaseMs, sequence: 0, accounts: new Map() }
}

/** Capacity that one holder, or all holders together, may be using. */
interface Capacity {
  rate: number
  burst: number
  inFlight: number
}

function noCapacity (): Capacity {
  return { rate: 0, burst: 0, inFlight: 0 }
}

function addCapacity (left: Capacity, right: Capacity): Capacity {
  return { rate: left.rate + right.rate, burst: left.burst + right.burst, inFlight: left.inFlight + right.inFlight }
}

function subtractCapacity (left: Capacity, right: Capacity): Capacity {
  return { rate: left.rate - right.rate, burst: left.burst - right.burst, inFlight: left.inFlight - right.inFlight }
}

/** Returns the largest share that a holder may be using at `time`. */
function capacityInUse (holding: Holding, time: number): Capacity {
  const held = noCapacity()
  for (const grant of holding.outstanding) {
    if (grant.expiresAt <= time) continue
    held.rate = Math.max(held.rate, grant.rate)
    held.burst = Math.max(held.burst, grant.burst)
    held.inFlight += grant.tokens
  }
  return held
}

/** Returns the capacity in use, including shares of earlier leaders that may still be held. */
function unavailableCapacity (account: Account, time: number): Capacity {
  const { inUse, limit } = account
  if (time >= account.takeoverEndsAt) return inUse
  return { rate: Math.max(inUse.rate, sharedRateFraction * limit.rate), burst: Math.max(inUse.burst, sharedBurstFraction * limit.burst), inFlight: inUse.inFlight }
}

/** Refills the pool for the time since the last call, then sweeps the account if due. */
function refillPool (account: Account, now: number): void {
  if (now > account.tokensAt) {
    const held = unavailableCapacity(account, account.tokensAt)
    const elapsedSeconds = (now - account.tokensAt) / 1000
    account.tokens += elapsedSeconds * Math.max(0, account.limit.rate - held.rate)
    account.tokensAt = now
    capPool(account, held)
  }
  if (now >= account.sweptAt + sweepIntervalMs) sweep(account, now)
}

/** Drops expired grants and demands and recomputes the sums. */
function sweep (account: Account, now: number): void {
  account.sweptAt = now
  account.inUse = noCapacity()
  account.demand = 0
  for (const [name, holding] of account.holdings) {
    holding.outstanding = holding.outstanding.filter((grant) => grant.expiresAt > now)
    if (holding.demandAt + demandTtlMs < now) holding.demand = 0
    if (holding.outstanding.length === 0 && holding.demand === 0) account.holdings.delete(name)
    account.inUse = addCapacity(account.inUse, capacityInUse(holding, now))
    account.demand += holding.demand
  }
}

/** Caps the pool at the burst that no holder has or is about to receive. */
function capPool (account: Account, held: Capacity): void {
  const capacity = Math.max(0, account.limit.burst - held.burst - held.inFlight)
  account.tokens = Math.min(account.tokens, capacity)
}

/** Opens the account of a workspace. Its pool fills before its first request. */
export function openAccount (ledger: Ledger, workspace: string, limit: Limit, now: number): void {
  accountOf(ledger, workspace, limit, now)
}

function accountOf (ledger: Ledger, workspace: string, limit: Limit, now: number): Account {
  const known = ledger.accounts.get(workspace)
  if (known !== undefined) {
    refillPool(known, now)
    known.limit = limit
    return known
  }
  const created: Account = { limit, takeoverEndsAt: ledger.takeoverEndsAt, tokens: 0, tokensAt: Math.max(now, ledger.poolOpensAt), holdings: new Map(), inUse: noCapacity(), demand: 0, sweptAt: now }
  ledger.accounts.set(workspace, created)
  return created
}

function holdingOf (account: Account, holder: string): Holding {
  const known = account.holdings.get(holder)
  if (known !== undefined) return known
  const created: Holding = { outstanding: [], demand: 0, demandAt: -Infinity }
  account.holdings.set(holder, created)
  return created
}

/**
 * Ends the takeover from earlier leaders: reported shares are adopted, the rest is free. To be called only after all
 * nodes have reported and none is missing: a node that is cut off may use its share until the lease expires.
 */
export function endTakeover (ledger: Ledger, now: number): void {
  if (ledger.takeoverEndsAt <= now) return
  ledger.takeoverEndsAt = now
  for (const account of ledger.accounts.values()) {
    refillPool(account, now)
    account.takeoverEndsAt = Math.min(account.takeoverEndsAt, now)
  }
}

/** Releases the shares of a holder whose process is known to have ended. */
export function releaseHolder (ledger: Ledger, holder: string, now: number): void {
  for (const account of ledger.accounts.values()) {
    const holding = account.holdings.get(holder)
    if (holding === undefined) continue
    refillPool(account, now)
    account.inUse = subtractCapacity(account.inUse, capacityInUse(holding, now))
    account.demand -= holding.demand
    account.holdings.delete(holder)
  }
}

/** Drops the grants that are older than the acknowledged one, and adopts shares of earlier leaders. */
function acknowledge (ledger: Ledger, holding: Holding, demand: Demand, now: number): void {
  const { held } = demand
  if (held === undefined) return
  if (held.generation === ledger.generation) {
    holding.outstanding = holding.outstanding.filter((grant) => grant.sequence >= held.sequence)
    for (const grant of holding.outstanding) {
      if (grant.sequence === held.sequence) grant.tokens = 0
    }
    return
  }
  if (now >= ledger.takeoverEndsAt || holding.outstanding.length > 0) return
  const { rate, burst } = held
  holding.outstanding = [{ sequence: 0, rate, burst, tokens: 0, expiresAt: now + shareLeaseMs }]
}

/**
 * Decides a holder's next grant from its report. The sum over all holders of the largest share that
 * each may still be using, plus the pool, never exceeds the limit. No interval therefore admits more
 * than rate × time + burst.
 */
export function decideGrant (ledger: Ledger, holder: string, demand: Demand, limit: Limit, now: number): Grant {
  const account = accountOf(ledger, demand.workspace, limit, now)
  const holding = holdingOf(account, holder)
  const others = subtractCapacity(account.inUse, capacityInUse(holding, now))
  acknowledge(ledger, holding, demand, now)
  account.demand += demand.rate - holding.demand
  holding.demand = demand.rate
  holding.demandAt = now
  const share = decideShare(ledger, account, holding, others, now)
  const headroom = Math.max(0, share.burst - capacityInUse(holding, now).burst)
  const grant: OutstandingGrant = { sequence: ++ledger.sequence, ...share, tokens: 0, expiresAt: now + shareLeaseMs }
  holding.outstanding.push(grant)
  const tokens = decideTokens(account, demand, share.burst, headroom)
  account.tokens -= tokens
  grant.tokens = Math.max(0, tokens - headroom)
  account.inUse = addCapacity(others, capacityInUse(holding, now))
  capPool(account, unavailableCapacity(account, now))
  return {
    workspace: demand.workspace,
    generation: ledger.generation,
    sequence: grant.sequence,
    rate: grant.rate,
    burst: grant.burst,
    tokens,
    open: now >= ledger.poolOpensAt,
    nextMs: nextTokenMs(account, demand.waiting - tokens, now),
    leaseMs: shareLeaseMs
  }
}

/** Returns the expected time until the pool has a token for requests that still wait; 0 if none waits. */
function nextTokenMs (account: Account, stillWaiting: number, now: number): number {
  if (stillWaiting < 1) return 0
  const refill = account.limit.rate - unavailableCapacity(account, now).rate
  const missingTokens = Math.max(0, 1 - account.tokens)
  return refill <= 0 ? reportIntervalMs : Math.min(reportIntervalMs, 1000 * missingTokens / refill)
}

/** Returns a share in proportion to demand, limited to the capacity that other holders do not have. */
function decideShare (ledger: Ledger, account: Account, holding: Holding, others: Capacity, now: number): Limit {
  const desired = desiredShare(account, holding)
  const { limit } = account
  const free = ledger.takeoverEndsAt > now
    ? capacityInUse(holding, now)
    : { rate: Math.max(0, sharedRateFraction * limit.rate - others.rate), burst: Math.max(0, sharedBurstFraction * limit.burst - others.burst) }
  const share = { rate: Math.min(desired.rate, free.rate), burst: Math.min(desired.burst, free.burst) }
  return share.burst < 1 ? { rate: 0, burst: 0 } : share
}

/** Returns true when shares for sparse demand take little of the limit. Such a share is idle most of the time; it serves while no leader answers. */
function hasRoomForSparseShares ({ limit, demand, holdings }: Account): boolean {
  return demand <= limit.rate * maxSparseFraction && holdings.size * sparseShareBurst <= limit.burst * maxSparseFraction
}

/** Returns the share in proportion to demand. */
function desiredShare (account: Account, holding: Holding): Limit {
  const { demand: totalDemand, limit: { rate, burst } } = account
  if (totalDemand <= 0) return { rate: 0, burst: 0 }
  if (holding.demand < minSharedDemand) return desiredSparseShare(account, holding)
  const fraction = holding.demand / totalDemand
  return { rate: sharedRateFraction * rate * fraction, burst: Math.min(sharedBurstFraction * burst * fraction, holding.demand * maxShareBurstSeconds) }
}

/**
 * Returns the share for sparse demand: none where the limit has little room. The estimate of sparse demand falls far between two
 * requests, so that the share does not follow it below half of an equal part.
 */
function desiredSparseShare (account: Account, { demand }: Holding): Limit {
  if (demand <= 0 || !hasRoomForSparseShares(account)) return { rate: 0, burst: 0 }
  const fraction = Math.max(demand / account.demand, 0.5 / account.holdings.size)
  return { rate: sharedRateFraction * account.limit.rate * fraction, burst: sparseShareBurst }
}

/**
 * Returns the tokens to move from the pool: whole tokens for the waiting requests and for those that arrive until the next
 * report, or, if that is more, tokens that fill the holder's additional burst as far as the pool is full. Without
 * them, moving empty capacity out of a full pool would lose tokens.
 */
function decideTokens (account: Account, demand: Demand, burst: number, headroom: number): number {
  const batch = demand.waiting === 0 ? 0 : demand.waiting + demand.rate * urgentReportIntervalMs / 1000
  const room = Math.max(burst, demand.waiting)
  const fill = account.tokens * headroom / Math.max(1, account.limit.burst)
  const wholeTokens = Math.floor(Math.min(account.tokens, Math.ceil(Math.min(batch, room))))
  return Math.max(0, wholeTokens, Math.min(account.tokens, fill))
}
