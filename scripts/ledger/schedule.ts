import type { Random } from '../../src/core/random/index.ts'

/** Draws due times of `rate` requests a second with exponential distances, in milliseconds. The last one is due before `seconds` have passed. */
export function poissonArrivals (random: Random, rate: number, seconds: number): number[] {
  const arrivals: number[] = []
  const meanDistanceMs = 1000 / rate
  const drawDistance = () => -Math.log(1 - random.next()) * meanDistanceMs
  for (let due = drawDistance(); due < seconds * 1000; due += drawDistance()) arrivals.push(due)
  return arrivals
}
