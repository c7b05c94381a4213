/** Rate share of one workspace that is leased to a node, with tokens moved from the leader's pool. */
export interface Grant {
  workspace: string
  /** Ledger generation and sequence number of the grant. A node acknowledges the newest grant it holds. */
  generation: string
  sequence: number
  /** Requests per second. */
  rate: number
  /** Capacity of the node's bucket. */
  burst: number
  /** Tokens moved from the pool to the node's bucket. */
  tokens: number
  /** False while a new leader does not yet move tokens. */
  open: boolean
  /** Expected time until the pool has a token for the requests that still wait, in milliseconds; 0 when none waits. */
  nextMs: number
  /** Lease duration, counted from the time at which the node sent its report, in milliseconds. */
  leaseMs: number
}

/** Demand for one workspace, as reported by a node. */
export interface Demand {
  workspace: string
  /** Estimated arrivals per second, admitted or not. */
  rate: number
  /** Requests that currently wait for a token. */
  waiting: number
  /** Grant that the node holds, if its lease has not expired. */
  held?: { generation: string, sequence: number, rate: number, burst: number }
}

/** What one node may still admit of a workspace. */
export interface Share {
  /** Leased share of the rate: requests per second, or requests in any window. 0 when the node holds no lease. */
  share: number
  /** Requests that may be admitted at once. */
  left: number
}

/** Rate and burst of one workspace. */
export interface Limit {
  rate: number
  burst: number
}

/** How far the allowances of all nodes together may exceed a limit, where a platform tolerates that. */
export interface Tolerance {
  /** Fraction of the limit. */
  fraction: number
  requests: number
}

/** Number of requests of one workspace that a node may admit in any window of time. */
export interface WindowGrant {
  workspace: string
  /** Term of the leader that granted it. */
  term: number
  sequence: number
  /** Requests that may be admitted in any window. */
  allowance: number
  /** Time after which the node should report again for the requests that still wait, or for what it keeps for others, in milliseconds; 0 for neither. */
  nextMs: number
  /** Lease duration, counted from the time at which the node sent its report, in milliseconds. */
  leaseMs: number
}

/** Demand for one workspace over the last window, as reported by a node. */
export interface WindowDemand {
  workspace: string
  /** Requests that arrived, admitted or not. */
  arrived: number
  /** Requests that a window is expected to bring, if their rate so far leads to more than have arrived. */
  expected?: number
  admitted: number
  /** Requests that currently wait to be admitted. */
  waiting: number
  /** True for a node that keeps admissions of the workspace for others while no leader answers. */
  isLender?: boolean
  /** Grant that the node holds, if its lease has not expired. */
  held?: { term: number, sequence: number, allowance: number }
}
