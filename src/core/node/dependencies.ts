import type { Clock } from '../clock/index.ts'
import { createIndependence } from './independence.ts'
import type { Random } from '../random/index.ts'

/** Time constant of the decay of all counts, in milliseconds. */
const decayMs = 15_000

/** Calls per callee that are kept as samples; up to twice as many before the older ones are dropped. */
const maxSamples = 1000

/** Time for which an estimate is used, in milliseconds. */
const estimateLifeMs = 2000

/** Iterations of an estimate. */
const iterations = 50

/** Most samples times routes in one iteration over all callees, so that an estimate holds up no requests. With more, samples are left out evenly. */
const maxTerms = 80_000

/** Fewest samples per callee that are used. */
const minUsedSamples = 50

/** Smallest value with which an estimate begins, as a fraction of the highest. An estimate that begins with 0 stays at 0. */
const minFirstEstimate = 0.02

/** Time constant of the duration of runs, in milliseconds. */
const recentMs = 1000

/** Calls per run, as a fraction of the mean over all routes, from which a callee counts as needed. */
const neededFraction = 0.35

/** Most routes that are kept. With more, as after many configuration changes, all statistics are reset. */
const maxRoutes = 64

/** Fewest calls per run for a callee to count as needed. */
const neededCalls = 0.2

/** Statistics of one route that the node's own target serves. */
interface RouteActivity {
  route: string
  running: number
  /** Running requests by rank. */
  runningByRank: Map<number, number>
  /** Decayed count of runs. */
  runs: number
  /** Running time, and ended runs, of a short time. Their ratio is the duration of a run lately. */
  recentRunTimeMs: number
  recentEnds: number
  /** Runs that passed since the first one, reckoned as running requests over the duration of a run. */
  passed: number
  updatedAt: number
}

/** A call, with the runs per ms of each route when it was made, and the runs that had passed until then. */
interface Sample {
  at: number
  runRates: number[]
  passed: number[]
}

/** Calls to one callee. */
interface Calls {
  samples: Sample[]
  /** Decayed count of all calls. */
  count: number
  updatedAt: number
}

/**
 * Callees of each route of the node's own target. Targets do not state for which request they make a call, so each call may
 * belong to any route that is running at that time. The rate of runs of each route at each call separates them: the calls
 * per run of each route are estimated by expectation maximization for a sum of Poisson processes. Routes whose requests end
 * well while calls fail are left out: under overload the estimate alone attributes calls to whatever runs evenly beside them.
 */
export interface Dependencies {
  /** Records that the node's own target started a request of a route and rank. */
  recordStart: (route: string, rank: number) => void
  /** Records that the node's own target finished a request of a route and rank. `hasFailed` is missing for one whose end says nothing, such as a cancelled one. */
  recordEnd: (route: string, rank: number, hasFailed?: boolean) => void
  /** Records a call of the node's own target. `callee` names the service and the route of the call. */
  recordCall: (callee: string) => void
  /** Records the end of such a call. */
  recordCallEnd: (callee: string, hasFailed: boolean) => void
  /** Returns the callees that a route calls regularly. */
  neededCallees: (route: string) => readonly string[]
  /**
   * Returns the rank of a running request, drawn in proportion to the rates at which the routes call the callee, or of any running request where
   * these are not known yet; undefined when nothing runs.
   */
  drawRank: (callee: string, random: Random) => number | undefined
}

function decayFactor (ageMs: number): number {
  return Math.exp(-ageMs / decayMs)
}

/** Returns the runs of a route per ms: running requests over the duration of a run (Little's law). */
function runRateOf ({ running, recentRunTimeMs, recentEnds }: RouteActivity): number {
  return running * Math.max(1, recentEnds) / Math.max(1, recentRunTimeMs)
}

/**
 * Returns the estimated calls of each route per run. The rate of runs stands for the running requests, as these change with the time for which runs
 * wait for their calls. The estimate begins with the one before, because the samples of a short time don't tell routes apart that mostly
 * run at the same time.
 */
function estimateCallsPerRun (samples: readonly Sample[], maxUsed: number, routes: readonly RouteActivity[], before: readonly number[]): number[] {
  const [first] = samples
  const step = Math.ceil(samples.length / maxUsed)
  const runs = routes.map(({ passed }, index) => Math.max(1, passed - (first?.passed[index] ?? 0)))
  const lowest = Math.max(...before, 0) * minFirstEstimate || 1
  let callsPerRun = routes.map((_, index) => Math.max(lowest, before[index] ?? 0))
  for (let iteration = 0; iteration < iterations; iteration++) {
    const attributed = routes.map(() => 0)
    for (let position = 0; position < samples.length; position += step) {
      const { runRates } = samples[position]
      let sum = 0
      for (let index = 0; index < runRates.length; index++) sum += callsPerRun[index] * runRates[index]
      if (sum === 0) continue
      for (let index = 0; index < runRates.length; index++) attributed[index] += callsPerRun[index] * runRates[index] / sum
    }
    callsPerRun = attributed.map((count, index) => step * count / runs[index])
  }
  return callsPerRun
}

/** Returns a rank drawn in proportion to the running requests of each route and rank, times the weight of the route; undefined when all are 0. */
function drawRunningRank (routes: readonly RouteActivity[], weightOf: (index: number) => number, random: Random): number | undefined {
  const choices: Array<{ rank: number, weight: number }> = []
  let sum = 0
  for (const [index, { runningByRank }] of routes.entries()) {
    for (const [rank, running] of runningByRank) {
      const weight = running * weightOf(index)
      if (weight > 0) choices.push({ rank, weight })
      sum += weight
    }
  }
  if (choices.length <= 1) return choices[0]?.rank
  let left = random.next() * sum
  for (const { rank, weight } of choices) {
    left -= weight
    if (left < 0) return rank
  }
  return choices.at(-1)?.rank
}

/** Creates empty statistics. */
export function createDependencies (clock: Clock): Dependencies {
  const routes: RouteActivity[] = []
  const indexes = new Map<string, number>()
  const callees = new Map<string, Calls>()
  let neededByRoute = new Map<string, string[]>()
  /** Estimated calls per run by callee, in the order of the routes. */
  const callsPerRunByCallee = new Map<string, number[]>()
  let estimatedAt = -Infinity
  const independence = createIndependence(clock)

  const reset = () => {
    routes.length = 0
    indexes.clear()
    callees.clear()
    callsPerRunByCallee.clear()
  }
  const activityOf = (route: string): RouteActivity => {
    const index = indexes.get(route)
    if (index !== undefined) return routes[index]
    if (routes.length >= maxRoutes) reset()
    const created: RouteActivity = { route, running: 0, runningByRank: new Map(), runs: 0, recentRunTimeMs: 0, recentEnds: 0, passed: 0, updatedAt: clock.now() }
    indexes.set(route, routes.push(created) - 1)
    return created
  }
  const updateActivity = (activity: RouteActivity) => {
    const elapsedMs = clock.now() - activity.updatedAt
    const recentDecay = Math.exp(-elapsedMs / recentMs)
    activity.passed += runRateOf(activity) * elapsedMs
    activity.recentRunTimeMs = activity.recentRunTimeMs * recentDecay + activity.running * recentMs * (1 - recentDecay)
    activity.recentEnds *= recentDecay
    activity.runs *= decayFactor(elapsedMs)
    activity.updatedAt = clock.now()
  }
  const updateCalls = (calls: Calls) => {
    calls.count *= decayFactor(clock.now() - calls.updatedAt)
    calls.updatedAt = clock.now()
  }
  const dropOld = (calls: Calls) => {
    const oldestAt = clock.now() - decayMs
    const kept = calls.samples.findIndex(({ at }) => at >= oldestAt)
    calls.samples.splice(0, kept < 0 ? calls.samples.length : kept)
  }
  const updateEstimate = () => {
    estimatedAt = clock.now()
    neededByRoute = new Map(routes.map(({ route }) => [route, []]))
    routes.forEach(updateActivity)
    const runs = routes.reduce((sum, activity) => sum + activity.runs, 0)
    const maxUsed = Math.max(minUsedSamples, Math.floor(maxTerms / Math.max(1, routes.length * callees.size)))
    for (const [callee, calls] of callees) {
      updateCalls(calls)
      const threshold = Math.max(neededCalls, neededFraction * calls.count / Math.max(1, runs))
      dropOld(calls)
      if (calls.samples.length === 0) {
        callees.delete(callee)
        callsPerRunByCallee.delete(callee)
        continue
      }
      const callsPerRun = estimateCallsPerRun(calls.samples, maxUsed, routes, callsPerRunByCallee.get(callee) ?? [])
      callsPerRunByCallee.set(callee, callsPerRun)
      for (const [index, estimate] of callsPerRun.entries()) if (estimate >= threshold) neededByRoute.get(routes[index].route)?.push(callee)
    }
  }
  return {
    recordStart (route, rank) {
      const activity = activityOf(route)
      updateActivity(activity)
      activity.running++
      activity.runningByRank.set(rank, (activity.runningByRank.get(rank) ?? 0) + 1)
      activity.runs++
    },
    recordEnd (route, rank, hasFailed) {
      if (hasFailed !== undefined) independence.recordRequestEnd(route, hasFailed)
      const activity = activityOf(route)
      updateActivity(activity)
      activity.running = Math.max(0, activity.running - 1)
      activity.recentEnds++
      const left = (activity.runningByRank.get(rank) ?? 0) - 1
      if (left > 0) activity.runningByRank.set(rank, left)
      else activity.runningByRank.delete(rank)
    },
    recordCall (callee) {
      const calls = callees.get(callee) ?? { samples: [], count: 0, updatedAt: clock.now() }
      callees.set(callee, calls)
      updateCalls(calls)
      calls.count++
      routes.forEach(updateActivity)
      calls.samples.push({ at: clock.now(), runRates: routes.map(runRateOf), passed: routes.map(({ passed }) => passed) })
      if (calls.samples.length > 2 * maxSamples) calls.samples.splice(0, maxSamples)
    },
    recordCallEnd: independence.recordCallEnd,
    neededCallees (route) {
      if (clock.now() - estimatedAt >= estimateLifeMs) updateEstimate()
      const needed = neededByRoute.get(route) ?? []
      return needed.filter((callee) => !independence.isIndependent(route, callee))
    },
    drawRank (callee, random) {
      if (clock.now() - estimatedAt >= estimateLifeMs) updateEstimate()
      const callsPerRun = callsPerRunByCallee.get(callee)
      const weightOf = (index: number) => {
        const activity = routes[index]
        if (independence.isIndependent(activity.route, callee)) return 0
        return (callsPerRun?.[index] ?? 0) * runRateOf(activity) / Math.max(1, activity.running)
      }
      const drawn = callsPerRun && drawRunningRank(routes, weightOf, random)
      return drawn ?? drawRunningRank(routes, () => 1, random)
    }
  }
}
