import type { Clock } from '../clock/index.ts'

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
  /** Records that the node's own target started a request of a route. */
  recordStart: (route: string) => void
  /** Records that the node's own target finished a request of a route. */
  recordEnd: (route: string) => void
  /** Records a call of the node's own target. `callee` names the service and the route of the call. */
  recordCall: (callee: string) => void
  /** Returns the callees that a route calls regularly. */
  neededCallees: (route: string) => readonly string[]
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

/** Creates empty statistics. */
export function createDependencies (clock: Clock): Dependencies {
  const routes: RouteActivity[] = []
  const indexes = new Map<string, number>()
  const callees = new Map<string, Calls>()
  let neededByRoute = new Map<string, string[]>()
  let estimatedAt = -Infinity

  const reset = () => {
    routes.length = 0
    indexes.clear()
    callees.clear()
  }
  const activityOf = (route: string): RouteActivity => {
    const index = indexes.get(route)
    if (index !== undefined) return routes[index]
    if (routes.length >= maxRoutes) reset()
    const created: RouteActivity = { route, running: 0, runs: 0, runTimeMs: 0, updatedAt: clock.now() }
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
      for (const [index, rate] of estimateRates(calls, routes, estimatedAt).entries()) {
        const { route, runTimeMs, runs: ownRuns } = routes[index]
        if (rate * runTimeMs / Math.max(1, ownRuns) >= threshold) neededByRoute.get(route)?.push(callee)
      }
    }
  }
  return {
    recordStart (route) {
      const activity = activityOf(route)
      updateActivity(activity)
      activity.running++
      activity.runs++
    },
    recordEnd (route) {
      const activity = activityOf(route)
      updateActivity(activity)
      activity.running = Math.max(0, activity.running - 1)
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
    }
  }
}
