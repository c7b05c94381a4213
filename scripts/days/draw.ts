import { createRandom } from '../../src/core/random/index.ts'
import type { Random } from '../../src/core/random/index.ts'

/** Returns a number with two decimals. */
export function between (random: Random, low: number, high: number): number {
  return Math.round((low + random.next() * (high - low)) * 100) / 100
}

export function chance (random: Random, probability: number): boolean {
  return random.next() < probability
}

/** Spreads small seeds over 32 bits: the first numbers of neighbouring seeds are alike otherwise. */
export function createSpreadRandom (seed: number): Random {
  const random = createRandom(Math.imul(seed + 1, 0x9e3779b1))
  for (let discarded = 0; discarded < 32; discarded++) random.next()
  return random
}
