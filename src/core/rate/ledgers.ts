import { createLedger, decideGrant, openAccount, releaseHolder, endTakeover } from './ledger.ts'
import type { AnyDemand, AnyGrant } from './meters.ts'
import type { Limit, Tolerance } from './types.ts'
import type { CeilingScope } from './window-ledger.ts'
import { confirmCeilings, createWindowLedger, decideAllowance, isCeilingShort, planCeilings, returnAllowance, recordProcessStart, releaseWindowHolder, endWindowTakeover } from './window-ledger.ts'

/** Ledger of all workspaces' limits, kept by one leader during its term. */
export interface LeaderLedger {
  /** Returns the grant for a holder's report; undefined if the report is for the other kind of limit. */
  decide: (holder: string, demand: AnyDemand, limit: Limit, now: number) => AnyGrant | undefined
  /** Records that a holder's process has run for `upMs`. */
  recordUptime: (holder: string, upMs: number, now: number) => void
  /** Opens the account of a workspace before its first request. */
  open: (workspace: string, limit: Limit, now: number) => void
  /** Releases the grants of a holder whose process is known to have ended. */
  release: (holder: string, now: number) => void
  /** Releases the unused part of a holder's allowance. The holder is stopping and admits no more requests. */
  releaseUnused: (holder: string, demand: AnyDemand, now: number) => void
  /** Ends the takeover from earlier leaders. To be called only after all nodes have reported and none is missing. */
  completeTakeover: (now: number) => void
  /** Returns true when a durable ceiling holds back what a limit permits. */
  isCeilingShort: () => boolean
  /** Returns the ceilings that are to be made durable, by workspace. */
  planCeilings: (now: number, scope: CeilingScope) => Record<string, number>
  /** Applies ceilings that are durable now. */
  confirmCeilings: (ceilings: Readonly<Record<string, number>>) => void
}

function createBucketLedger (term: number, leader: string, since: number): LeaderLedger {
  const ledger = createLedger(`${term}/${leader}`, since)
  return {
    decide: (holder, demand, limit, now) => 'rate' in demand ? decideGrant(ledger, holder, demand, limit, now) : undefined,
    recordUptime () {},
    open: (workspace, limit, now) => openAccount(ledger, workspace, limit, now),
    release: (holder, now) => releaseHolder(ledger, holder, now),
    releaseUnused () {},
    completeTakeover: (now) => endTakeover(ledger, now),
    isCeilingShort: () => false,
    planCeilings: () => ({}),
    confirmCeilings () {}
  }
}

function createSlidingLedger (term: number, windowMs: number, since: number, tolerance: Tolerance, earlierCeilings: Readonly<Record<string, number>> | undefined): LeaderLedger {
  const ledger = createWindowLedger(term, windowMs, since, tolerance, earlierCeilings)
  return {
    decide: (holder, demand, limit, now) => 'arrived' in demand ? decideAllowance(ledger, holder, demand, limit, now) : undefined,
    recordUptime: (holder, upMs, now) => recordProcessStart(ledger, holder, upMs, now),
    open () {},
    release: (holder, now) => releaseWindowHolder(ledger, holder, now),
    releaseUnused (holder, demand, now) {
      if ('arrived' in demand) returnAllowance(ledger, holder, demand, now)
    },
    completeTakeover: (now) => endWindowTakeover(ledger, now),
    isCeilingShort: () => isCeilingShort(ledger),
    planCeilings: (now, scope) => planCeilings(ledger, now, scope),
    confirmCeilings: (ceilings) => confirmCeilings(ledger, ceilings)
  }
}

/** Limits under which a leader grants. */
export interface LedgerOptions {
  /** Length of the window in which requests are counted, in ms; 0 for token buckets, which tolerate nothing. */
  windowMs: number
  tolerance: Tolerance
  /** Ceilings under which earlier leaders granted; undefined if they kept none. */
  earlierCeilings: Readonly<Record<string, number>> | undefined
}

/** Creates the ledger of a leader that became leader at `since`. */
export function createLeaderLedger ({ windowMs, tolerance, earlierCeilings }: LedgerOptions, term: number, leader: string, since: number): LeaderLedger {
  return windowMs > 0 ? createSlidingLedger(term, windowMs, since, tolerance, earlierCeilings) : createBucketLedger(term, leader, since)
}
