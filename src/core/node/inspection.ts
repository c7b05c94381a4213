import { createProbelessDraw, explainChoice, failingNodes } from '../routing/index.ts'
import type { Candidate, ChoiceExplanation, TargetStats, TargetStatsMap } from '../routing/index.ts'
import type { KnownTarget, TargetView } from '../where/index.ts'
import { nextEndpoints } from './endpoints.ts'
import type { Endpoint, ServiceEndpoints } from './endpoints.ts'

/** What the sending side knows of the targets of a service. */
export interface SendingView {
  endpoints: ServiceEndpoints | undefined
  statsByNode: TargetStatsMap
  ownDomain: string
  /** Service and route; undefined where calls are not placed by the room that targets state. */
  callee: string | undefined
  /** Deadline of the request that is explained, monotonic, in ms. */
  deadlineAt: number
}

/** Nodes whose targets may be chosen, and those of them that get probes only. */
interface TargetSets {
  usable: ReadonlySet<string>
  failing: ReadonlySet<string>
}

/** Returns what is known of a target, without creating statistics for it. */
function describeTarget ({ node, domain, slots }: Endpoint, state: KnownTarget['state'], { usable, failing }: TargetSets, stats: TargetStats | undefined, now: number): KnownTarget {
  const isKnown = stats !== undefined && stats.loadAt > 0
  return {
    node,
    domain,
    state,
    isUsable: usable.has(node),
    isFailing: failing.has(node),
    slots,
    inFlight: stats?.inFlight ?? 0,
    ...(isKnown ? { load: stats.load, loadAgeMs: now - stats.loadAt, latencyMs: stats.latencyMs } : {}),
    ejectedForMs: Math.max(0, (stats?.ejectedUntil ?? now) - now)
  }
}

/** Returns what a target's node has stated about the callee; nothing where the place was weighed by what others stated. */
function statedBy (places: readonly ChoiceExplanation[] | undefined, { node }: KnownTarget): Pick<KnownTarget, 'room' | 'workMs'> {
  const place = places?.find((candidate) => candidate.node === node)
  return place?.ageMs === undefined ? {} : { room: place.room, workMs: place.workMs }
}

/** Shows the targets of a service as the sending side sees them, and changes nothing. */
export function inspectTargets ({ endpoints, statsByNode, ownDomain, callee, deadlineAt }: SendingView, now: number): TargetView {
  const candidates: readonly Candidate[] = nextEndpoints(endpoints, { tried: new Set(), refusedBy: new Set(), deadlineAt })
  const sets = { usable: new Set(candidates.map(({ node }) => node)), failing: failingNodes(statsByNode, candidates, now) }
  const describe = (state: KnownTarget['state']) => (endpoint: Endpoint) => describeTarget(endpoint, state, sets, statsByNode.get(endpoint.node), now)
  // A choice adds empty statistics of targets that are not known yet.
  const copy = new Map(statsByNode)
  const places = callee === undefined ? undefined : explainChoice(statsByNode, candidates, ownDomain, callee, now)
  const targets = [...(endpoints?.staying ?? []).map(describe('stays')), ...(endpoints?.leaving ?? []).map(describe('leaves'))]
  const draw = createProbelessDraw(copy, candidates, ownDomain, now, callee)
  return {
    targets: targets.map((target) => ({ ...target, ...statedBy(places, target) })),
    ownDomain,
    choose: (random) => draw(random)?.node
  }
}
