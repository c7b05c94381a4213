import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Log } from './index.ts'

/** Lines of one kind that are written in a second. */
const linesPerSecond = 40

/** Part of the requests that ended well which get a line. */
const sampledSuccesses = 0.005

/** One decision about a request. `id` is the caller's id of the request, the same on all nodes that it passes. */
export type RequestEvent =
  /** A node that took a request from a caller gave its final answer. */
  | {
    kind: 'request ended',
    id: string,
    route: string,
    service: string,
    workspace: string | null,
    priority: number,
    begun: boolean
    outcome: string,
    reason: string,
    status: number | undefined,
    attempts: number,
    tookMs: number,
    leftMs: number
  }
  /** A request was refused before a target was chosen, with what decided it. */
  | { kind: 'request refused early', id: string, route: string, service: string, reason: string, priority: number, share: number, returning: boolean }
  /** A request was refused by a filter: unknown route or key, rate, body. */
  | { kind: 'request refused at the entry', id: string, route: string, reason: string, revision: number, tookMs: number }
  /** One sending to the node beside a target ended. */
  | { kind: 'attempt ended', id: string, service: string, node: string, outcome: string, reason: string, load: number, tookMs: number }
  /** The node beside a target did not let a request in. */
  | { kind: 'request shed', id: string, service: string, reason: string, priority: number, waitedMs: number, running: number, limit: number, load: number }
  /** An exchange with the target ended without a whole answer. */
  | { kind: 'target failed', id: string, service: string, instance: string | undefined, cause: string, reason: string, sent: boolean, tookMs: number }

/** Writes a line for decisions about requests, as far as the budget of each kind goes. */
export interface RequestLog {
  write: (event: RequestEvent) => void
  /** True for the few requests that ended well and get a line all the same. */
  samples: () => boolean
}

interface Budget {
  left: number
  filledAt: number
  dropped: number
}

/** Creates a log of requests. Lines beyond the budget are counted, and the count stands in the next line of the kind. */
export function createRequestLog (log: Log, metrics: Metrics, clock: Clock, draw: () => number): RequestLog {
  const budgets = new Map<string, Budget>()
  const budgetOf = (kind: string): Budget => {
    const now = clock.now()
    const budget = budgets.get(kind) ?? { left: linesPerSecond, filledAt: now, dropped: 0 }
    budgets.set(kind, budget)
    budget.left = Math.min(linesPerSecond, budget.left + (now - budget.filledAt) * linesPerSecond / 1000)
    budget.filledAt = now
    return budget
  }
  return {
    write ({ kind, ...details }) {
      const budget = budgetOf(kind)
      if (budget.left < 1) {
        budget.dropped++
        metrics.count(`log_lines_dropped_total{kind="${kind}"}`)
        return
      }
      budget.left--
      const { dropped } = budget
      budget.dropped = 0
      log.info(kind, dropped > 0 ? { ...details, droppedBefore: dropped } : details)
    },
    samples: () => draw() < sampledSuccesses
  }
}
