import { acceptGrant, createBuckets, collectDemands, shareOfBucket, removeWaitingRequest, takeToken, takeTokensForWaiting } from './buckets.ts'
import type { Demand, Grant, Share, WindowDemand, WindowGrant } from './types.ts'
import {
  acceptWindowGrant, createWindowMeter, refundToWindow, removeWaitingInWindow, admitBorrowedInWindow, admitWaitingInWindow, admitInWindow, collectWindowDemands, lendFromWindow, lendWorkspaces, shareOfWindow
} from './window-meter.ts'

/** Grant of either kind of limit, sent in answer to a report. */
export type AnyGrant = Grant | WindowGrant

/** Demand of either kind of limit, as reported by a node. */
export type AnyDemand = Demand | WindowDemand

/** Counts one node's requests against the limits of their workspaces. */
export interface Meter {
  /** Admits a request or counts it as waiting. Returns whether it was admitted. */
  tryAdmit: (workspace: string, now: number) => boolean
  /** Admits waiting requests as capacity becomes available. Returns how many, oldest first. */
  admitWaiting: (workspace: string, now: number) => number
  /** Lends up to `count` admissions to another node. Returns how many. */
  lend: (workspace: string, count: number, now: number) => number
  /** Sets the workspaces of which this node keeps admissions for others. */
  lendWorkspaces: (workspaces: ReadonlySet<string>, now: number) => void
  /** Admits up to `count` waiting requests that a lender counts. Returns how many, oldest first. */
  admitBorrowed: (workspace: string, count: number, now: number) => number
  /** Removes a waiting request that timed out or was refused. */
  removeWaiting: (workspace: string, now: number) => void
  /** Uncounts a request that was admitted at `admittedAt` and did not run. */
  refund: (workspace: string, admittedAt: number, now: number) => void
  /** Accepts a grant. Returns how many waiting requests are admitted. */
  accept: (grant: AnyGrant, sentAt: number, now: number) => number
  /** Returns the demands that are due for a report to the leader; with `all`, those of all workspaces. */
  demands: (now: number, all: boolean) => AnyDemand[]
  /** Returns what this node may still admit. */
  share: (workspace: string, now: number) => Share
  /** Returns true once there was a request or a grant of the workspace. */
  knows: (workspace: string) => boolean
}

/**
 * Creates a meter that applies rate and burst as a token bucket over the fleet. Requests that did not run are not
 * refunded, because the bucket may have been emptied in the meantime. It lends nothing: a bucket that refills while a lent token is
 * on its way would hold more than its share.
 */
function createBucketMeter (): Meter {
  const buckets = createBuckets()
  return {
    tryAdmit: (workspace, now) => takeToken(buckets, workspace, now),
    admitWaiting: (workspace, now) => takeTokensForWaiting(buckets, workspace, now),
    lend: () => 0,
    lendWorkspaces () {},
    admitBorrowed: () => 0,
    removeWaiting: (workspace, now) => removeWaitingRequest(buckets, workspace, now),
    refund () {},
    accept: (grant, sentAt, now) => 'rate' in grant ? acceptGrant(buckets, grant, sentAt, now) : 0,
    demands: (now) => collectDemands(buckets, now),
    share: (workspace, now) => shareOfBucket(buckets, workspace, now),
    knows: (workspace) => buckets.has(workspace)
  }
}

/** Creates a meter that applies rate and burst as a number of requests in any window of time. */
function createSlidingMeter (windowMs: number): Meter {
  const meter = createWindowMeter(windowMs)
  return {
    tryAdmit: (workspace, now) => admitInWindow(meter, workspace, now),
    admitWaiting: (workspace, now) => admitWaitingInWindow(meter, workspace, now),
    lend: (workspace, count, now) => lendFromWindow(meter, workspace, count, now),
    lendWorkspaces: (workspaces, now) => lendWorkspaces(meter, workspaces, now),
    admitBorrowed: (workspace, count, now) => admitBorrowedInWindow(meter, workspace, count, now),
    removeWaiting: (workspace, now) => removeWaitingInWindow(meter, workspace, now),
    refund: (workspace, admittedAt, now) => refundToWindow(meter, workspace, admittedAt, now),
    accept: (grant, sentAt, now) => 'allowance' in grant ? acceptWindowGrant(meter, grant, sentAt, now) : 0,
    demands: (now, all) => collectWindowDemands(meter, now, all),
    share: (workspace, now) => shareOfWindow(meter, workspace, now),
    knows: (workspace) => meter.accounts.has(workspace)
  }
}

/** Creates a node's meter: a window meter if `windowMs` is positive, a token bucket meter otherwise. */
export function createMeter (windowMs: number): Meter {
  return windowMs > 0 ? createSlidingMeter(windowMs) : createBucketMeter()
}
