import { demandDecayMs } from './constants.ts'

/** Requests of one route that arrived lately, by rank, each counted with a weight that decays with time. */
export interface Demand {
  counts: number[]
  updatedAt: number
}

/** Creates the demand of a route without requests. */
export function createDemand (now: number): Demand {
  return { counts: [], updatedAt: now }
}

function decay (demand: Demand, now: number): void {
  const factor = Math.exp(-(now - demand.updatedAt) / demandDecayMs)
  for (const [rank, count] of demand.counts.entries()) demand.counts[rank] = count * factor
  demand.updatedAt = now
}

/** Counts a request. */
export function countArrival (demand: Demand, rank: number, now: number): void {
  decay(demand, now)
  while (demand.counts.length <= rank) demand.counts.push(0)
  demand.counts[rank]++
}

/** Returns the arrivals by rank, in requests per ms. */
export function ratesOf (demand: Demand, now: number): number[] {
  decay(demand, now)
  return demand.counts.map((count) => count / demandDecayMs)
}
