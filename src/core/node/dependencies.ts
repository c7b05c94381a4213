import type { Clock } from '../clock/index.ts'
import type { Random } from '../random/index.ts'

/** Time constant of the decay of all counts, in milliseconds. */
const decayMs = 15_000

/** Calls per callee that are kept as samples; up to twice as many before the older ones are dropped. */
const maxSamples = 400

/** Time for which an estimate is used, in milliseconds. */
const estimateLifeMs = 2000

/** Iterations of an estimate. */
const iterations = 20

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
  /** Decayed sum of the running time of the route, in ms. */
  runTimeMs: number
  updatedAt: number
}

/** A call, with the number of requests of each route that were running when it was made. */
interface Sample {
  at: number
  running: number[]
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
 * belong to any route that is running at that time. The number of running requests of each route at each call separates
 * them: the call rate of each route is estimated by expectation maximization for a sum of Poisson processes.
 */
export interface Dependencies {
  /** Records that the node's own target started a request of a route and rank. */
  recordStart: (route: string, rank: number) => void
  /** Records that the node's own target finished a request of a route and rank. */
  recordEnd: (route: string, rank: number) => void
  /** Records a call of the node's own target. `callee` names the service and the route of the call. */
  recordCall: (callee: string) => void
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

/** Returns the estimated calls of each route per millisecond of its running time. */
function estimateRates (calls: Calls, routes: readonly RouteActivity[], now: number): number[] {
  const weights = calls.samples.map(({ at }) => decayFactor(now - at))
  const scale = calls.count / Math.max(1e-9, weights.reduce((sum, weight) => sum + weight, 0))
  let rates = routes.map(() => 1)
  for (let iteration = 0; iteration < iterations; iteration++) {
    const attributed = routes.map(() => 0)
    for (const [sampleIndex, { running }] of calls.samples.entries()) {
      let sum = 0
      for (let index = 0; index < running.length; index++) sum += rates[index] * running[index]
      if (sum === 0) continue
      for (let index = 0; index < running.length; index++) attributed[index] += weights[sampleIndex] * rates[index] * running[index] / sum
    }
    rates = attributed.map((count, index) => scale * count / Math.max(1, routes[index].runTimeMs))
  }
  return rates
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
  /** Estimated calls per millisecond by callee, in the order of the routes. */
  const ratesByCallee = new Map<string, number[]>()
  let estimatedAt = -Infinity

  const reset = () => {
    routes.length = 0
    indexes.clear()
    callees.clear()
    ratesByCallee.clear()
  }
  const activityOf = (route: string): RouteActivity => {
    const index = indexes.get(route)
    if (index !== undefined) return routes[index]
    if (routes.length >= maxRoutes) reset()
    const created: RouteActivity = { route, running: 0, runningByRank: new Map(), runs: 0, runTimeMs: 0, updatedAt: clock.now() }
    indexes.set(route, routes.push(created) - 1)
    return created
  }
  const updateActivity = (activity: RouteActivity) => {
    const elapsedMs = clock.now() - activity.updatedAt
    const decay = decayFactor(elapsedMs)
    activity.runTimeMs = activity.runTimeMs * decay + activity.running * decayMs * (1 - decay)
    activity.runs *= decay
    activity.updatedAt = clock.now()
  }
  const updateCalls = (calls: Calls) => {
    calls.count *= decayFactor(clock.now() - calls.updatedAt)
    calls.updatedAt = clock.now()
  }
  const updateEstimate = () => {
    estimatedAt = clock.now()
    neededByRoute = new Map(routes.map(({ route }) => [route, []]))
    routes.forEach(updateActivity)
    const runs = routes.reduce((sum, activity) => sum + activity.runs, 0)
    for (const [callee, calls] of callees) {
      updateCalls(calls)
      const threshold = Math.max(neededCalls, neededFraction * calls.count / Math.max(1, runs))
      const rates = estimateRates(calls, routes, estimatedAt)
      ratesByCallee.set(callee, rates)
      for (const [index, rate] of rates.entries()) {
        const { route, runTimeMs, runs: ownRuns } = routes[index]
        if (rate * runTimeMs / Math.max(1, ownRuns) >= threshold) neededByRoute.get(route)?.push(callee)
      }
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
    recordEnd (route, rank) {
      const activity = activityOf(route)
      updateActivity(activity)
      activity.running = Math.max(0, activity.running - 1)
      const left = (activity.runningByRank.get(rank) ?? 0) - 1
      if (left > 0) activity.runningByRank.set(rank, left)
      else activity.runningByRank.delete(rank)
    },
    recordCall (callee) {
      const calls = callees.get(callee) ?? { samples: [], count: 0, updatedAt: clock.now() }
      callees.set(callee, calls)
      updateCalls(calls)
      calls.count++
      calls.samples.push({ at: clock.now(), running: routes.map(({ running }) => running) })
      if (calls.samples.length > 2 * maxSamples) calls.samples.splice(0, maxSamples)
    },
    neededCallees (route) {
      if (clock.now() - estimatedAt >= estimateLifeMs) updateEstimate()
      return neededByRoute.get(route) ?? []
    },
    drawRank (callee, random) {
      if (clock.now() - estimatedAt >= estimateLifeMs) updateEstimate()
      const rates = ratesByCallee.get(callee)
      const drawn = rates && drawRunningRank(routes, (index) => rates[index] ?? 0, random)
      return drawn ?? drawRunningRank(routes, () => 1, random)
    }
  }
}
