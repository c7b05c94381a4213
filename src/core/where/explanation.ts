import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import type { Limit, Share } from '../rate/index.ts'
import { explainTargets } from './targets.ts'
import type { ExplainedTarget, TargetView } from './targets.ts'

/** Route that a request would take. */
export interface RouteView {
  name: string
  /** Empty for a route of a deployment. */
  template: string
  /** Priority, from 0, which is shed last. */
  rank: number
  idempotent: boolean
  open: boolean
  timeoutMs: number
  objectiveMs: number | null
}

/** Rate of a workspace, and what the node holds of it; null where the node has had no request of it. */
export interface RateView {
  limit: Limit
  held: Share & { waiting: number, unansweredMs: number } | null
}

/** What a node knows about a service to which a route leads. */
export interface ServiceView extends TargetView {
  service: string
  /** Part of the route's requests that go to this service, 0 to 1. */
  weight: number
  /** Part of the requests of this route and rank that may begin, 0 to 1. */
  share: number
  /** Part of them that is sent on while targets further down refuse others, 0 to 1. */
  passFraction: number
}

/** What a node knows about a request that was not sent. */
export interface RequestView {
  node: string
  domain: string
  revision: number
  route: RouteView
  /** Null on a route that is open to all. */
  workspace: string | null
  /** Null without a workspace or a limit. */
  rate: RateView | null
  services: readonly ServiceView[]
  /** Why the node would refuse every such request now. */
  failures: readonly Failure[]
}

/** Why a request would be refused now, or some of such requests. */
export interface ExpectedRefusal {
  code: string
  reason: string
  /** Part of such requests, 0 to 1. */
  part: number
}

/** A service to which the request may go. */
export interface ExplainedService {
  service: string
  weight: number
  share: number
  passFraction: number
  /** Node of the target that gets most of such requests; null when there is none. */
  goesTo: string | null
  targets: ExplainedTarget[]
}

/** Where a request would go now, and what would refuse it. */
export interface Explanation extends Omit<RequestView, 'services' | 'failures'> {
  services: ExplainedService[]
  refusals: ExpectedRefusal[]
}

function toRefusal ({ name, message }: Failure, part = 1): ExpectedRefusal {
  return { code: name, reason: message, part }
}

/** Returns what would refuse requests to a service before they reach a target. */
function refusalsOf ({ service, weight, share, passFraction, targets }: ServiceView): ExpectedRefusal[] {
  const refusals: ExpectedRefusal[] = []
  if (targets.length === 0) refusals.push(toRefusal(fail('noTarget', { service }), weight))
  if (share < 1) refusals.push(toRefusal(fail('overloaded', { service, reason: 'services that it leads to have no room for more' }), weight * (1 - share)))
  if (passFraction < 1) refusals.push(toRefusal(fail('overloaded', { service, reason: 'targets further down refuse' }), weight * (1 - passFraction)))
  return refusals
}

function explainService (view: ServiceView): ExplainedService {
  const targets = explainTargets(view)
  const { service, weight, share, passFraction } = view
  const [first] = targets as Array<ExplainedTarget | undefined>
  return { service, weight, share, passFraction, goesTo: first !== undefined && first.part > 0 ? first.node : null, targets }
}

/** Explains where a request would go. */
export function explain ({ services, failures, ...request }: RequestView): Explanation {
  const { rate, workspace } = request
  const isOverRate = rate?.held != null && rate.held.left < 1
  const overRate = isOverRate ? [toRefusal(fail('overRate', { workspace: workspace ?? '' }))] : []
  return {
    ...request,
    services: services.map(explainService),
    refusals: [...failures.map((failure) => toRefusal(failure)), ...overRate, ...services.flatMap(refusalsOf)]
  }
}
