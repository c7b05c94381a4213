import type { Clock } from '../clock/index.ts'

/** Time constant of the counts, in milliseconds. */
const memoryMs = 4000

/** Calls for each run of the own target from which it is held to need a service. */
const neededCalls = 0.2

/** Decayed count. */
interface Count {
  value: number
  at: number
}

/** Services that the own target calls while it works, learnt from how often it does. */
export interface Dependencies {
  /** The own target began to run a request. */
  ran: () => void
  /** The own target called a service. */
  called: (service: string) => void
  /** Services that it calls for a good part of its runs. */
  needed: () => string[]
}

/** Creates an empty memory. */
export function createDependencies (clock: Clock): Dependencies {
  const runs: Count = { value: 0, at: 0 }
  const calls = new Map<string, Count>()
  const current = (count: Count) => count.value * Math.exp(-(clock.now() - count.at) / memoryMs)
  const add = (count: Count) => {
    count.value = current(count) + 1
    count.at = clock.now()
  }
  return {
    ran: () => add(runs),
    called (service) {
      const count = calls.get(service) ?? { value: 0, at: 0 }
      calls.set(service, count)
      add(count)
    },
    needed () {
      const least = Math.max(1, current(runs) * neededCalls)
      return [...calls].filter(([, count]) => current(count) >= least).map(([service]) => service)
    }
  }
}
