import type { Clock } from '../clock/index.ts'

/** Time after which the longest of the calls that ended is forgotten, in milliseconds: between one and two of these. */
const periodMs = 5000

/** Routes that are kept. The one that was used least recently goes first. */
const maxRoutes = 1000

/** Calls of one route. */
interface RouteDurations {
  /** Start times of the calls that run, the earliest first. */
  running: Set<{ startedAt: number }>
  /** Number of the period of `current`. */
  period: number
  /** Longest call that ended in the current and in the previous period, in ms; -Infinity when there was none. */
  current: number
  previous: number
}

/** Longest times that calls of each route have taken lately. */
export interface Durations {
  /** Records the start of a call. Returns the function that records its end; `counts` is false for a call that did not run. */
  begin: (route: string) => (counts: boolean) => void
  /** Returns the longest recent time of a call of this route in ms, those that still run included; undefined when none has ended lately. */
  longest: (route: string) => number | undefined
}

/** Creates an empty record. */
export function createDurations (clock: Clock): Durations {
  const routes = new Map<string, RouteDurations>()
  const routeOf = (route: string): RouteDurations => {
    const known = routes.get(route) ?? { running: new Set(), period: 0, current: -Infinity, previous: -Infinity }
    routes.delete(route)
    routes.set(route, known)
    const [oldest] = routes.keys()
    if (routes.size > maxRoutes) routes.delete(oldest)
    return known
  }
  const turnPeriod = (durations: RouteDurations) => {
    const period = Math.floor(clock.now() / periodMs)
    if (period === durations.period) return
    durations.previous = period === durations.period + 1 ? durations.current : -Infinity
    durations.current = -Infinity
    durations.period = period
  }
  return {
    begin (route) {
      const durations = routeOf(route)
      const call = { startedAt: clock.now() }
      durations.running.add(call)
      return (counts) => {
        durations.running.delete(call)
        if (!counts) return
        turnPeriod(durations)
        durations.current = Math.max(durations.current, clock.now() - call.startedAt)
      }
    },
    longest (route) {
      const durations = routes.get(route)
      if (durations === undefined) return undefined
      turnPeriod(durations)
      const [oldest] = durations.running
      const runningMs = oldest === undefined ? -Infinity : clock.now() - oldest.startedAt
      const ended = Math.max(durations.current, durations.previous)
      return ended === -Infinity ? undefined : Math.max(ended, runningMs)
    }
  }
}
