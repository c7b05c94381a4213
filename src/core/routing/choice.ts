import type { Random } from '../random/index.ts'
import { createStatedFailures, isFailing, isProbeDue, statedFractionOf, weighFailures } from './failing.ts'
import type { StatedFailures } from './failing.ts'
import { weighPlaces } from './placement.ts'
import type { PlaceWeight } from './placement.ts'
import { createStatements, statementOf } from './statements.ts'
import type { Statements } from './statements.ts'

/** Consecutive failures after which a target is ejected. */
const failuresToEject = 3

/** First and longest duration of an ejection, in milliseconds; it doubles with each consecutive ejection. */
const firstEjectionMs = 500
const longestEjectionMs = 10_000

/** Largest fraction of a service's targets that may be ejected at the same time. */
const maxEjectedFraction = 0.5

/** Load of the best local target from which targets of other failure domains are considered. */
const overflowLoad = 0.9

/** Time constant of the decay of a reported load, in milliseconds. */
const loadDecayMs = 1000

/** Time constant of the mean of reported loads, in milliseconds. Weights that followed each report would swing, as it is known late. */
const meanLoadMs = 200

/** Time without an end of any call after which a target counts as silent: this many milliseconds and mean latencies. */
const shortestSilenceMs = 50
const silenceLatencies = 3

/** Weight of a new latency in the moving average. */
const latencyWeight = 0.1

/** A target that may be chosen. */
export interface Candidate {
  /** Id of the target's node. */
  node: string
  domain: string
  slots: number
}

/** Statistics of one target, collected from this node's own calls. */
export interface TargetStats {
  inFlight: number
  latencyMs: number
  /** Load reported by the target's node, and when it was reported. */
  load: number
  loadAt: number
  /** Mean of the reported loads over a short time. */
  meanLoad: number
  /** Calls under way when the load was reported: the load includes them. */
  inFlightAtReport: number
  /** Time since which calls are under way without any of them ending. */
  silentSince: number
  /** What the target's node stated about its room. */
  statements: Statements
  /** What the target's node stated about requests that failed by its own fault. */
  statedFailures: StatedFailures
  failures: number
  ejections: number
  ejectedUntil: number
}

/** Target statistics by node id. */
export type TargetStatsMap = Map<string, TargetStats>

/** Creates an empty collection of target statistics. */
export function createTargetStats (): TargetStatsMap {
  return new Map()
}

/** Statistics of a target to which nothing was sent. */
const unknownStats: Readonly<TargetStats> = createStats()

/** Returns the statistics of a target; those of a new target are empty. */
export function statsOf (statsByNode: TargetStatsMap, node: string): TargetStats {
  const known = statsByNode.get(node)
  if (known !== undefined) return known
  const created = createStats()
  statsByNode.set(node, created)
  return created
}

/** Drops the statistics of nodes that are no longer members and have no calls under way. */
export function pruneTargetStats (statsByNode: TargetStatsMap, members: ReadonlySet<string>): void {
  for (const [node, { inFlight }] of statsByNode) if (inFlight === 0 && !members.has(node)) statsByNode.delete(node)
}

function createStats (): TargetStats {
  return {
    inFlight: 0,
    latencyMs: 0,
    load: 0,
    loadAt: -Infinity,
    meanLoad: 0,
    inFlightAtReport: 0,
    silentSince: 0,
    statements: createStatements(),
    statedFailures: createStatedFailures(),
    failures: 0,
    ejections: 0,
    ejectedUntil: -Infinity
  }
}

/** Records the start of a call. */
export function recordStart (stats: TargetStats, now: number): void {
  if (stats.inFlight === 0) stats.silentSince = now
  stats.inFlight++
}

/** Records a call that ended with an answer, or with a refusal that reports the load of the target. */
export function recordAnswer (stats: TargetStats, latencyMs: number, load: number, now: number): void {
  stats.latencyMs += latencyWeight * (latencyMs - stats.latencyMs)
  stats.meanLoad = meanLoadOf(stats, now) + (1 - Math.exp(-(now - stats.loadAt) / meanLoadMs)) * (load - meanLoadOf(stats, now))
  stats.load = load
  stats.loadAt = now
  stats.inFlightAtReport = stats.inFlight
  stats.silentSince = now
  stats.failures = 0
  stats.ejections = 0
}

/** Records a failed call. Consecutive failures eject the target, for longer each time. */
export function recordFailure (stats: TargetStats, now: number): void {
  stats.silentSince = now
  stats.failures++
  if (stats.failures < failuresToEject) return
  stats.ejectedUntil = now + Math.min(longestEjectionMs, firstEjectionMs * 2 ** stats.ejections)
  stats.ejections++
  stats.failures = failuresToEject - 1
}

function loadDecay ({ loadAt }: TargetStats, now: number): number {
  return Math.exp(-(now - loadAt) / loadDecayMs)
}

function meanLoadOf (stats: TargetStats, now: number): number {
  return stats.meanLoad * loadDecay(stats, now)
}

/** Returns the time for which calls of this node to a target have been under way without any of them ending, in ms. */
function silentMsOf ({ inFlight, silentSince }: TargetStats, now: number): number {
  return inFlight > 0 ? now - silentSince : 0
}

function currentLoad (stats: TargetStats, candidate: Candidate, now: number): number {
  return Math.max(stats.load * loadDecay(stats, now), stats.inFlight / candidate.slots)
}

/** Returns the candidates that are not ejected, or all of them when too many are ejected. */
function withoutEjected (statsByNode: TargetStatsMap, candidates: readonly Candidate[], now: number): readonly Candidate[] {
  const available = candidates.filter(({ node }) => (statsByNode.get(node)?.ejectedUntil ?? -Infinity) <= now)
  return available.length >= candidates.length * (1 - maxEjectedFraction) && available.length > 0 ? available : candidates
}

/** Targets to choose from, with the part of its usual calls that each should get where it fails more requests than others. */
interface Choice {
  candidates: readonly Candidate[]
  /** By node; missing for 1. */
  successParts: ReadonlyMap<string, number>
  /** Targets left out because they fail most requests. They get probes. */
  failing: readonly Candidate[]
}

const noParts: ReadonlyMap<string, number> = new Map()

/** Returns the candidates without those that are ejected or fail most requests. */
function findChoice (statsByNode: TargetStatsMap, candidates: readonly Candidate[], now: number): Choice {
  const available = withoutEjected(statsByNode, candidates, now)
  const fractions = available.map(({ node }) => statedFractionOf((statsByNode.get(node) ?? unknownStats).statedFailures, now))
  if (fractions.every((fraction) => fraction === 0)) return { candidates: available, successParts: noParts, failing: [] }
  // Ejected targets count as those that fail most: both together take out at most half of the slots.
  const ejected = candidates.filter((candidate) => !available.includes(candidate))
  const parts = weighFailures([...available.map(({ slots }, index) => ({ slots, fraction: fractions[index] })), ...ejected.map(({ slots }) => ({ slots, fraction: 1 }))])
  const successParts = new Map(available.map(({ node }, index) => [node, parts[index]]))
  return {
    candidates: available.filter((_, index) => !isFailing(parts[index])),
    successParts,
    failing: available.filter((_, index) => isFailing(parts[index]))
  }
}

/** Returns a failing target that is due to get a probe, and records that it gets one. Those in other failure domains are probed where none is left in the own one. */
function takeProbe (statsByNode: TargetStatsMap, { candidates, failing }: Choice, ownDomain: string, now: number): Candidate | undefined {
  if (failing.length === 0) return undefined
  const isAnyLocal = [...candidates, ...failing].some(({ domain }) => domain === ownDomain)
  for (const candidate of failing) {
    if (isAnyLocal && candidate.domain !== ownDomain) continue
    const { statedFailures } = statsOf(statsByNode, candidate.node)
    if (!isProbeDue(statedFailures, now)) continue
    statedFailures.probedAt = now
    return candidate
  }
  return undefined
}

/** Returns the cheaper of two random candidates. */
function betterOfTwo (statsByNode: TargetStatsMap, successParts: Choice['successParts'], candidates: readonly Candidate[], now: number, random: Random): Candidate | undefined {
  if (candidates.length <= 1) return candidates[0]
  const first = random.below(candidates.length)
  const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length
  const [left, right] = [candidates[first], candidates[second]]
  const costOf = (candidate: Candidate) => cost(statsByNode, candidate, now) / (successParts.get(candidate.node) ?? 1)
  return costOf(left) <= costOf(right) ? left : right
}

function cost (statsByNode: TargetStatsMap, candidate: Candidate, now: number): number {
  const stats = statsOf(statsByNode, candidate.node)
  return (currentLoad(stats, candidate, now) + 1 / candidate.slots) * (stats.latencyMs + 1)
}

/** Weighs the candidates for a callee, each named by service and route. Returns undefined when none of them has stated its room. */
function weighCandidates (
  statsByNode: TargetStatsMap, candidates: readonly Candidate[], successParts: Choice['successParts'], ownDomain: string, callee: string, now: number
): PlaceWeight[] | undefined {
  return weighPlaces(candidates.map(({ node, domain, slots }) => {
    const stats = statsByNode.get(node) ?? unknownStats
    const load = Math.max(meanLoadOf(stats, now), Math.min(stats.inFlight, stats.inFlightAtReport) / slots)
    const newCalls = Math.max(0, stats.inFlight - stats.inFlightAtReport)
    const silence = silentMsOf(stats, now) / (shortestSilenceMs + silenceLatencies * stats.latencyMs)
    return { isLocal: domain === ownDomain, slots, load, newCalls, silence, successPart: successParts.get(node) ?? 1, statement: statementOf(stats.statements, callee, now) }
  }))
}

function pickByWeight (candidates: readonly Candidate[], weights: readonly PlaceWeight[], random: Random): Candidate {
  let rest = random.next()
  for (const [index, { weight }] of weights.entries()) {
    rest -= weight
    if (rest < 0) return candidates[index]
  }
  return candidates[weights.findLastIndex(({ weight }) => weight > 0)]
}

/** Why a target would be chosen, or not. */
export interface ChoiceExplanation extends PlaceWeight {
  node: string
  domain: string
  /** Age of what its node stated about this callee, in ms; undefined when it has stated nothing. */
  ageMs: number | undefined
  isEjected: boolean
  /** Part of its usual calls that it should get, below 1 where it fails more requests than others of its service; 0 where it gets probes only. */
  successPart: number
}

/** Explains the choice of a target for a callee, and changes nothing. Returns undefined where the better of two random targets is chosen, as nothing is known. */
export function explainChoice (
  statsByNode: TargetStatsMap, candidates: readonly Candidate[], ownDomain: string, callee: string, now: number
): ChoiceExplanation[] | undefined {
  const { candidates: available, successParts, failing } = findChoice(statsByNode, candidates, now)
  const weights = weighCandidates(statsByNode, available, successParts, ownDomain, callee, now)
  const all = weights && weighCandidates(statsByNode, candidates, successParts, ownDomain, callee, now)
  return all?.map((place, index) => {
    const { node, domain } = candidates[index]
    const weight = weights?.[available.indexOf(candidates[index])]?.weight ?? 0
    const { statements, ejectedUntil } = statsByNode.get(node) ?? unknownStats
    return { ...place, node, domain, weight, ageMs: statementOf(statements, callee, now)?.ageMs, isEjected: ejectedUntil > now, successPart: failing.includes(candidates[index]) ? 0 : successParts.get(node) ?? 1 }
  })
}

/**
 * Chooses a target. Where targets have stated their room for the callee, they are weighed by it; a call without a callee is placed without statements.
 * Otherwise: the better of two random ones in this node's failure domain. When that one is loaded,
 * compares it with the better of two in other failure domains and chooses the less loaded. Targets whose nodes state that they fail more requests than
 * others get fewer calls.
 */
export function chooseTarget (
  statsByNode: TargetStatsMap, candidates: readonly Candidate[], ownDomain: string, now: number, random: Random, callee?: string
): Candidate | undefined {
  const choice = findChoice(statsByNode, candidates, now)
  return takeProbe(statsByNode, choice, ownDomain, now) ?? createDraw(statsByNode, choice, ownDomain, now, callee)(random)
}

/**
 * Returns a function that chooses a target as `chooseTarget` does, but sends no probe to one that fails requests. It changes nothing but that it creates
 * statistics of new targets, and what is known is read once for all its choices.
 */
export function createProbelessDraw (
  statsByNode: TargetStatsMap, candidates: readonly Candidate[], ownDomain: string, now: number, callee?: string
): (random: Random) => Candidate | undefined {
  return createDraw(statsByNode, findChoice(statsByNode, candidates, now), ownDomain, now, callee)
}

/** Returns the nodes whose targets get probes only, as they fail most requests. */
export function failingNodes (statsByNode: TargetStatsMap, candidates: readonly Candidate[], now: number): ReadonlySet<string> {
  return new Set(findChoice(statsByNode, candidates, now).failing.map(({ node }) => node))
}

function createDraw (
  statsByNode: TargetStatsMap, { candidates: available, successParts }: Choice, ownDomain: string, now: number, callee: string | undefined
): (random: Random) => Candidate | undefined {
  const weights = callee === undefined ? undefined : weighCandidates(statsByNode, available, successParts, ownDomain, callee, now)
  if (weights !== undefined) return (random) => pickByWeight(available, weights, random)
  return (random) => chooseByLoad(statsByNode, available, successParts, ownDomain, now, random)
}

/** Chooses the better of two random targets in the own failure domain, or one elsewhere where that one is loaded. */
function chooseByLoad (
  statsByNode: TargetStatsMap, available: readonly Candidate[], successParts: Choice['successParts'], ownDomain: string, now: number, random: Random
): Candidate | undefined {
  const local = available.filter((candidate) => candidate.domain === ownDomain)
  const bestLocal = betterOfTwo(statsByNode, successParts, local, now, random)
  if (bestLocal !== undefined && currentLoad(statsOf(statsByNode, bestLocal.node), bestLocal, now) < overflowLoad) return bestLocal
  const bestRemote = betterOfTwo(statsByNode, successParts, available.filter((candidate) => candidate.domain !== ownDomain), now, random)
  if (bestLocal === undefined || bestRemote === undefined) return bestLocal ?? bestRemote
  const localLoad = currentLoad(statsOf(statsByNode, bestLocal.node), bestLocal, now)
  const remoteLoad = currentLoad(statsOf(statsByNode, bestRemote.node), bestRemote, now)
  return remoteLoad < localLoad ? bestRemote : bestLocal
}
