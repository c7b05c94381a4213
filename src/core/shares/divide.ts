import { guaranteedFraction, rankRatio } from './constants.ts'

/** Steps of a bisection; its error is negligible after them. */
const bisectionSteps = 30

/** Requests of one class at a target. */
export interface Demand {
  /** Priority of the callers' requests, from 0; lower numbers are served first. */
  rank: number
  /** Requests that would be held at once if none were refused. */
  amount: number
}

/** Returns the largest value up to `upper` for which `valueAt`, which never falls, stays at `limit` or below. */
export function bisect (upper: number, limit: number, valueAt: (at: number) => number): number {
  let [low, high] = [0, upper]
  for (let step = 0; step < bisectionSteps; step++) {
    const middle = (low + high) / 2
    if (valueAt(middle) > limit) high = middle
    else low = middle
  }
  return low
}

function sumOf (amounts: readonly number[]): number {
  return amounts.reduce((sum, amount) => sum + amount, 0)
}

/** Returns the level up to which each amount is granted, so that the grants add up to `total` (max-min fairness). */
export function maxMinLevel (amounts: readonly number[], total: number): number {
  let left = total
  const sorted = amounts.toSorted((a, b) => a - b)
  for (const [index, amount] of sorted.entries()) {
    const level = left / (sorted.length - index)
    if (amount > level) return level
    left -= amount
  }
  return Infinity
}

/**
 * Returns the served fraction of each class when the highest rank gets `first` of its demand and each further rank `rankRatio` of that.
 * Each class may have `guaranteed` before that, unless one of higher rank is short.
 */
function fractionsAt (demands: readonly Demand[], ranks: readonly number[], guaranteed: number, first: number): number[] {
  const fractions = demands.map(() => 1)
  let highest = 1
  for (const [step, rank] of ranks.entries()) {
    const indexes = [...demands.keys()].filter((index) => demands[index].rank === rank)
    const wanted = indexes.map((index) => demands[index].amount * highest)
    const total = sumOf(indexes.map((index) => demands[index].amount))
    const least = sumOf(wanted.map((amount) => Math.min(amount, guaranteed)))
    const level = maxMinLevel(wanted, Math.max(least, Math.min(1, first * rankRatio ** step) * total))
    for (const [position, index] of indexes.entries()) fractions[index] = Math.min(wanted[position], level) / demands[index].amount
    highest = Math.min(highest, ...indexes.map((index) => fractions[index]))
  }
  return fractions
}

/**
 * Divides the room of a target. Returns the fraction of each class's demand that is served. Within a rank the room is divided by max-min
 * fairness, so that a class which asks for little gets all of it. No class is served a larger fraction than one of higher rank, and each
 * rank about `rankRatio` of what the next higher one is served, so that no rank is starved. A class that asks for less than a part of an
 * equal division loses nothing to others of its rank or of lower rank.
 */
export function divideRoom (demands: readonly Demand[], room: number): number[] {
  const amounts = demands.map(({ amount }) => amount)
  if (sumOf(amounts) <= room) return demands.map(() => 1)
  const asking = demands.filter(({ amount }) => amount > 0)
  const ranks = [...new Set(asking.map(({ rank }) => rank))].sort((a, b) => a - b)
  const guaranteed = guaranteedFraction * maxMinLevel(amounts, room)
  const servedAt = (first: number) => sumOf(fractionsAt(asking, ranks, guaranteed, first).map((fraction, index) => fraction * asking[index].amount))
  const first = bisect(rankRatio ** (1 - ranks.length), room, servedAt)
  const fractions = fractionsAt(asking, ranks, guaranteed, first)
  return demands.map((demand) => demand.amount > 0 ? fractions[asking.indexOf(demand)] : 1)
}
