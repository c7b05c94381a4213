import { demandDecayMs } from './constants.ts'

/** Requests of one kind that arrived lately, each counted with a weight that decays with time. */
export interface Demand {
  count: number
  updatedAt: number
}

/** Creates the demand of a kind without requests. */
export function createDemand (now: number): Demand {
  return { count: 0, updatedAt: now }
}

function decay (demand: Demand, now: number): void {
  demand.count *= Math.exp(-(now - demand.updatedAt) / demandDecayMs)
  demand.updatedAt = now
}

/** Counts a request. */
export function countArrival (demand: Demand, now: number): void {
  decay(demand, now)
  demand.count++
}

/** Returns the arrivals in requests per ms. */
export function rateOf (demand: Demand, now: number): number {
  decay(demand, now)
  return demand.count / demandDecayMs
}
