import type { Random } from '../random/index.ts'

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

/** Returns the statistics of a target; those of a new target are empty. */
export function statsOf (statsByNode: TargetStatsMap, node: string): TargetStats {
  const known = statsByNode.get(node)
  if (known !== undefined) return known
  const created: TargetStats = { inFlight: 0, latencyMs: 0, load: 0, loadAt: 0, failures: 0, ejections: 0, ejectedUntil: -Infinity }
  statsByNode.set(node, created)
  return created
}

/** Records a call that ended with an answer, or with a refusal that reports the load of the target. */
export function recordAnswer (stats: TargetStats, latencyMs: number, load: number, now: number): void {
  stats.latencyMs += latencyWeight * (latencyMs - stats.latencyMs)
  stats.load = load
  stats.loadAt = now
  stats.failures = 0
  stats.ejections = 0
}

/** Records a failed call. Consecutive failures eject the target, for longer each time. */
export function recordFailure (stats: TargetStats, now: number): void {
  stats.failures++
  if (stats.failures < failuresToEject) return
  stats.ejectedUntil = now + Math.min(longestEjectionMs, firstEjectionMs * 2 ** stats.ejections)
  stats.ejections++
  stats.failures = failuresToEject - 1
}

function currentLoad (stats: TargetStats, candidate: Candidate, now: number): number {
  const decayedLoad = stats.load * Math.exp(-(now - stats.loadAt) / loadDecayMs)
  return Math.max(decayedLoad, stats.inFlight / candidate.slots)
}

/** Returns the candidates that are not ejected, or all of them when too many are ejected. */
function withoutEjected (statsByNode: TargetStatsMap, candidates: readonly Candidate[], now: number): readonly Candidate[] {
  const available = candidates.filter(({ node }) => statsOf(statsByNode, node).ejectedUntil <= now)
  return available.length >= candidates.length * (1 - maxEjectedFraction) && available.length > 0 ? available : candidates
}

/** Returns the cheaper of two random candidates. */
function betterOfTwo (statsByNode: TargetStatsMap, candidates: readonly Candidate[], now: number, random: Random): Candidate | undefined {
  if (candidates.length <= 1) return candidates[0]
  const first = random.below(candidates.length)
  const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length
  const [left, right] = [candidates[first], candidates[second]]
  return cost(statsByNode, left, now) <= cost(statsByNode, right, now) ? left : right
}

function cost (statsByNode: TargetStatsMap, candidate: Candidate, now: number): number {
  const stats = statsOf(statsByNode, candidate.node)
  return (currentLoad(stats, candidate, now) + 1 / candidate.slots) * (stats.latencyMs + 1)
}

/**
 * Chooses a target: the better of two random ones in this node's failure domain. When that one is loaded,
 * compares it with the better of two in other failure domains and chooses the less loaded.
 */
export function chooseTarget (
  statsByNode: TargetStatsMap, candidates: readonly Candidate[], ownDomain: string, now: number, random: Random
): Candidate | undefined {
  const available = withoutEjected(statsByNode, candidates, now)
  const local = available.filter((candidate) => candidate.domain === ownDomain)
  const bestLocal = betterOfTwo(statsByNode, local, now, random)
  if (bestLocal !== undefined && currentLoad(statsOf(statsByNode, bestLocal.node), bestLocal, now) < overflowLoad) return bestLocal
  const bestRemote = betterOfTwo(statsByNode, available.filter((candidate) => candidate.domain !== ownDomain), now, random)
  if (bestLocal === undefined || bestRemote === undefined) return bestLocal ?? bestRemote
  const localLoad = currentLoad(statsOf(statsByNode, bestLocal.node), bestLocal, now)
  const remoteLoad = currentLoad(statsOf(statsByNode, bestRemote.node), bestRemote, now)
  return remoteLoad < localLoad ? bestRemote : bestLocal
}
