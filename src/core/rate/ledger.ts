import { burstSeconds, demandLifeMs, minSharedDemand, sharedBurstPart, sharedPart, shareLeaseMs, sweepMs, tokenLifeMs, urgentReportMs, reportMs } from './constants.ts'
import type { Demand, Grant, Limit } from './types.ts'

/** A grant that a holder may still be using. */
interface Outstanding {
  sequence: number
  rate: number
  burst: number
  /** Tokens on their way to the holder's bucket, beyond the room that the share itself makes. */
  tokens: number
  expiresAt: number
}

interface Holding {
  outstanding: Outstanding[]
  demand: number
  demandAt: number
}

interface Account {
  limit: Limit
  /** What holders of earlier leaders' shares may still have: all that may be cut into shares, until then. */
  settledAt: number
  /** Tokens of the pool: what no holder has a share of. */
  tokens: number
  tokensAt: number
  holdings: Map<string, Holding>
  /** Sum over holdings of the largest share in use; between sweeps it may count ended grants, never miss one. */
  held: Held
  /** Sum of the demands reported lately. */
  demand: number
  sweptAt: number
}

/** Shares of all workspaces, kept by the leader of the control group. */
export interface Ledger {
  /** Identifies this leader's term of office. */
  generation: string
  /** Tokens that an earlier leader moved are void by then. */
  opensAt: number
  /** Shares of earlier leaders have run out by then. */
  settledAt: number
  sequence: number
  accounts: Map<string, Account>
}

/**
 * Creates an empty ledger at the start of a leader's term of office. Until every grant of an earlier
 * leader has run out, it renews the shares that nodes hold, gives no new ones, and moves tokens
 * only from the part of rate and burst that is never cut into shares.
 */
export function createLedger (generation: string, since: number): Ledger {
  return { generation, opensAt: since + tokenLifeMs, settledAt: since + shareLeaseMs, sequence: 0, accounts: new Map() }
}

/** Sum over holdings of the largest share that each may be using. */
interface Held {
  rate: number
  burst: number
  inFlight: number
}

function nothing (): Held {
  return { rate: 0, burst: 0, inFlight: 0 }
}

function add (left: Held, right: Held): Held {
  return { rate: left.rate + right.rate, burst: left.burst + right.burst, inFlight: left.inFlight + right.inFlight }
}

function subtract (left: Held, right: Held): Held {
  return { rate: left.rate - right.rate, burst: left.burst - right.burst, inFlight: left.inFlight - right.inFlight }
}

/** The largest share that a holder may be using at a time. */
function largest (holding: Holding, time: number): Held {
  const held = nothing()
  for (const grant of holding.outstanding) {
    if (grant.expiresAt <= time) continue
    held.rate = Math.max(held.rate, grant.rate)
    held.burst = Math.max(held.burst, grant.burst)
    held.inFlight += grant.tokens
  }
  return held
}

/** Shares in use, with what holders of earlier leaders' shares may still have. */
function heldIn (account: Account, time: number): Held {
  const { held, limit } = account
  if (time >= account.settledAt) return held
  return { rate: Math.max(held.rate, sharedPart * limit.rate), burst: Math.max(held.burst, sharedBurstPart * limit.burst), inFlight: held.inFlight }
}

/** Adds what the pool earned since the last call, then forgets grants that have ended. */
function settlePool (account: Account, now: number): void {
  if (now > account.tokensAt) {
    const held = heldIn(account, account.tokensAt)
    const elapsedSeconds = (now - account.tokensAt) / 1000
    account.tokens += elapsedSeconds * Math.max(0, account.limit.rate - held.rate)
    account.tokensAt = now
    capPool(account, held)
  }
  if (now >= account.sweptAt + sweepMs) sweep(account, now)
}

/** Sums up anew without ended grants and old demands. */
function sweep (account: Account, now: number): void {
  account.sweptAt = now
  account.held = nothing()
  account.demand = 0
  for (const [name, holding] of account.holdings) {
    holding.outstanding = holding.outstanding.filter((grant) => grant.expiresAt > now)
    if (holding.demandAt + demandLifeMs < now) holding.demand = 0
    if (holding.outstanding.length === 0 && holding.demand === 0) account.holdings.delete(name)
    account.held = add(account.held, largest(holding, now))
    account.demand += holding.demand
  }
}

/** Caps the pool at what no holder has or is about to receive. */
function capPool (account: Account, held: Held): void {
  const capacity = Math.max(0, account.limit.burst - held.burst - held.inFlight)
  account.tokens = Math.min(account.tokens, capacity)
}

/** Opens the account of a workspace, so that its pool fills before its first request. */
export function openAccount (ledger: Ledger, workspace: string, limit: Limit, now: number): void {
  accountOf(ledger, workspace, limit, now)
}

function accountOf (ledger: Ledger, workspace: string, limit: Limit, now: number): Account {
  const known = ledger.accounts.get(workspace)
  if (known !== undefined) {
    settlePool(known, now)
    known.limit = limit
    return known
  }
  const created: Account = { limit, settledAt: ledger.settledAt, tokens: 0, tokensAt: Math.max(now, ledger.opensAt), holdings: new Map(), held: nothing(), demand: 0, sweptAt: now }
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
 * All holders of earlier leaders' shares have reported: what they hold is adopted, the rest is free. To be called only
 * when no node is missing, as one that is cut off may go on with its share until the lease ends.
 */
export function settleLedger (ledger: Ledger, now: number): void {
  if (ledger.settledAt <= now) return
  ledger.settledAt = now
  for (const account of ledger.accounts.values()) {
    settlePool(account, now)
    account.settledAt = Math.min(account.settledAt, now)
  }
}

/** A holder's process has ended for certain, so that nobody uses its shares any more. */
export function releaseHolder (ledger: Ledger, holder: string, now: number): void {
  for (const account of ledger.accounts.values()) {
    const holding = account.holdings.get(holder)
    if (holding === undefined) continue
    settlePool(account, now)
    account.held = subtract(account.held, largest(holding, now))
    account.demand -= holding.demand
    account.holdings.delete(holder)
  }
}

/** Takes the holder's acknowledgement: older grants are no longer in use. Shares of earlier leaders are adopted. */
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
  if (now >= ledger.settledAt || holding.outstanding.length > 0) return
  const { rate, burst } = held
  holding.outstanding = [{ sequence: 0, rate, burst, tokens: 0, expiresAt: now + shareLeaseMs }]
}

/**
 * Decides a holder's next grant from its report. The sum over all holders of the largest share that
 * each may still be using, plus the pool, never exceeds the limit, so that no interval sees more
 * than rate × time + burst.
 */
export function decideGrant (ledger: Ledger, holder: string, demand: Demand, limit: Limit, now: number): Grant {
  const account = accountOf(ledger, demand.workspace, limit, now)
  const holding = holdingOf(account, holder)
  const others = subtract(account.held, largest(holding, now))
  acknowledge(ledger, holding, demand, now)
  account.demand += demand.rate - holding.demand
  holding.demand = demand.rate
  holding.demandAt = now
  const share = decideShare(ledger, account, holding, others, now)
  const headroom = Math.max(0, share.burst - largest(holding, now).burst)
  const grant: Outstanding = { sequence: ++ledger.sequence, ...share, tokens: 0, expiresAt: now + shareLeaseMs }
  holding.outstanding.push(grant)
  const tokens = decideTokens(account, demand, share.burst, headroom)
  account.tokens -= tokens
  grant.tokens = Math.max(0, tokens - headroom)
  account.held = add(others, largest(holding, now))
  capPool(account, heldIn(account, now))
  return {
    workspace: demand.workspace,
    generation: ledger.generation,
    sequence: grant.sequence,
    rate: grant.rate,
    burst: grant.burst,
    tokens,
    open: now >= ledger.opensAt,
    nextMs: nextTokenMs(account, demand.waiting - tokens, now),
    leaseMs: shareLeaseMs
  }
}

/** Time until the pool has a token again for requests that got none. */
function nextTokenMs (account: Account, stillWaiting: number, now: number): number {
  if (stillWaiting < 1) return 0
  const refill = account.limit.rate - heldIn(account, now).rate
  const missing = Math.max(0, 1 - account.tokens)
  return refill <= 0 ? reportMs : Math.min(reportMs, 1000 * missing / refill)
}

/** A share in proportion to demand, limited to what others do not hold. */
function decideShare (ledger: Ledger, account: Account, holding: Holding, others: Held, now: number): Limit {
  const wanted = wantedShare(account, holding)
  const { limit } = account
  const free = ledger.settledAt > now
    ? largest(holding, now)
    : { rate: Math.max(0, sharedPart * limit.rate - others.rate), burst: Math.max(0, sharedBurstPart * limit.burst - others.burst) }
  const share = { rate: Math.min(wanted.rate, free.rate), burst: Math.min(wanted.burst, free.burst) }
  return share.burst < 1 ? { rate: 0, burst: 0 } : share
}

/** In proportion to demand. Sparse demand gets no share, which would lie idle between its requests. */
function wantedShare (account: Account, holding: Holding): Limit {
  const sum = account.demand
  if (holding.demand < minSharedDemand || sum <= 0) return { rate: 0, burst: 0 }
  const part = holding.demand / sum
  const { rate, burst } = account.limit
  return { rate: sharedPart * rate * part, burst: Math.min(sharedBurstPart * burst * part, holding.demand * burstSeconds) }
}

/**
 * Whole tokens for the requests that wait, with a batch for those that follow until the next report,
 * or what fills the part of the share that is new to its holder, so that moving capacity out of a
 * full pool loses nothing.
 */
function decideTokens (account: Account, demand: Demand, burst: number, headroom: number): number {
  const batch = demand.waiting === 0 ? 0 : demand.waiting + demand.rate * urgentReportMs / 1000
  const room = Math.max(burst, demand.waiting)
  const fill = account.tokens * headroom / Math.max(1, account.limit.burst)
  const whole = Math.floor(Math.min(account.tokens, Math.ceil(Math.min(batch, room))))
  return Math.max(0, whole, Math.min(account.tokens, fill))
}
