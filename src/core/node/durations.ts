import type { Clock } from '../clock/index.ts'

/** Time after which the longest of the calls that ended is forgotten, in milliseconds: between one and two of these. */
const periodMs = 15_000

/** Fewest calls that were answered in that time for a statement about the next one. */
const minAnswered = 20

/** Routes that are kept. The one that was used least recently goes first. */
const maxRoutes = 1000

/** Calls of one route that ended in one period. */
interface Period {
  number: number
  answered: number
  /** Sum of the times of the answered calls in ms. */
  answeredMs: number
  /** Longest time of a call in ms. */
  longestMs: number
}

/** Calls of one route. */
interface RouteDurations {
  /** The calls that run, the earliest first. */
  running: Set<{ startedAt: number }>
  current: Period
  previous: Period
}

/**
 * How a call ended. One that was answered well counts; one that failed, or that its target answered with an error, tells that calls can take as long, but
 * not that they end that soon.
 */
export type CallEnd = 'answered' | 'failed' | 'not-run'

/** Longest times that calls of each route have taken lately. */
export interface Durations {
  /** Records the start of a call. Returns the function that records its end. */
  begin: (route: string) => (end: CallEnd) => void
  /** Returns the longest recent time of a call of this route in ms, those that still run included; undefined when too few were answered lately. */
  longest: (route: string) => number | undefined
  /** Returns the mean time of the recent calls of this route that were answered well, in ms; undefined when there was none. */
  mean: (route: string) => number | undefined
}

function createPeriod (number: number): Period {
  return { number, answered: 0, answeredMs: 0, longestMs: 0 }
}

/** Creates an empty record. */
export function createDurations (clock: Clock): Durations {
  const routes = new Map<string, RouteDurations>()
  const periodNumber = () => Math.floor(clock.now() / periodMs)
  const routeOf = (route: string): RouteDurations => {
    const known = routes.get(route) ?? { running: new Set(), current: createPeriod(periodNumber()), previous: createPeriod(-1) }
    routes.delete(route)
    routes.set(route, known)
    const [oldest] = routes.keys()
    if (routes.size > maxRoutes) routes.delete(oldest)
    return known
  }
  const turnPeriod = (durations: RouteDurations) => {
    const number = periodNumber()
    if (number === durations.current.number) return
    durations.previous = number === durations.current.number + 1 ? durations.current : createPeriod(number - 1)
    durations.current = createPeriod(number)
  }
  return {
    begin (route) {
      const durations = routeOf(route)
      const call = { startedAt: clock.now() }
      durations.running.add(call)
      return (end) => {
        durations.running.delete(call)
        if (end === 'not-run') return
        turnPeriod(durations)
        const { current } = durations
        const durationMs = clock.now() - call.startedAt
        current.longestMs = Math.max(current.longestMs, durationMs)
        if (end !== 'answered') return
        current.answered++
        current.answeredMs += durationMs
      }
    },
    longest (route) {
      const durations = routes.get(route)
      if (durations === undefined) return undefined
      turnPeriod(durations)
      const { current, previous, running } = durations
      if (current.answered + previous.answered < minAnswered) return undefined
      const [oldest] = running
      const runningMs = oldest === undefined ? 0 : clock.now() - oldest.startedAt
      return Math.max(current.longestMs, previous.longestMs, runningMs)
    },
    mean (route) {
      const durations = routes.get(route)
      if (durations === undefined) return undefined
      turnPeriod(durations)
      const { current, previous } = durations
      const answered = current.answered + previous.answered
      return answered === 0 ? undefined : (current.answeredMs + previous.answeredMs) / answered
    }
  }
}
