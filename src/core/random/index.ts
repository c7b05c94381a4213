import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { randomInt } from 'node:crypto'

/** Source of random numbers, passed to every function that needs one. */
export interface Random {
  /** Returns a uniform number in [0, 1). */
  next: () => number
  /** Returns a uniform integer in [0, bound). */
  below: (bound: number) => number
}

const uint32Range = 2 ** 32

/** Creates a deterministic source from a 32-bit seed. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const next = () => (generator.next() >>> 0) / uint32Range
  return { next, below: (bound) => Math.floor(next() * bound) }
}

/** Creates a source with an unpredictable seed. */
export function createUnpredictableRandom (): Random {
  return createRandom(randomInt(2 ** 31))
}

/** Returns a random element, or undefined when the list is empty. */
export function pick<Item> (random: Random, items: readonly Item[]): Item | undefined {
  if (items.length === 0) return undefined
  return items[random.below(items.length)]
}

/** Returns up to `count` different random elements. */
export function sample<Item> (random: Random, items: readonly Item[], count: number): Item[] {
  const rest = [...items]
  const chosen: Item[] = []
  while (chosen.length < count && rest.length > 0) {
    const index = random.below(rest.length)
    chosen.push(rest[index])
    rest[index] = rest[rest.length - 1]
    rest.pop()
  }
  return chosen
}
