import { bucketMs } from './constants.ts'

/** Numbers of returns promised for one bucket, by rank. */
type Bucket = number[]

/** Returns that were promised for the time to come. The room grows evenly with time; a promise uses one request of it. */
export interface Calendar {
  /** Promised returns by the number of their bucket, counted from time 0. */
  buckets: Map<number, Bucket>
  /** Promised returns whose time has come but for which there was not enough room until then, in requests. */
  debt: number
  updatedAt: number
}

/** A caller that is to return. Times are monotonic, in ms; rates are in requests per ms. */
export interface Booking {
  /** Priority of the request, from 0. */
  rank: number
  /** Rate at which there will be room for those that return. */
  rate: number
  /** Rate at which callers of higher ranks are refused, for which room is kept. */
  higherRate: number
  earliestAt: number
  latestAt: number
}

/** Creates a calendar without promises. */
export function createCalendar (now: number): Calendar {
  return { buckets: new Map(), debt: 0, updatedAt: now }
}

function countOf (bucket: Bucket): number {
  let count = 0
  for (const returns of bucket) count += returns
  return count
}

/** Returns the promises to ranks that go before this one. */
function countHigher (bucket: Bucket, rank: number): number {
  return countOf(bucket.slice(0, rank))
}

/** Closes the buckets whose time is over. What they used is paid off at the rate of the room. */
function advance (calendar: Calendar, rate: number, now: number): void {
  const current = Math.floor(now / bucketMs)
  for (const [number, bucket] of calendar.buckets) {
    if (number >= current) continue
    calendar.debt += countOf(bucket)
    calendar.buckets.delete(number)
  }
  calendar.debt = Math.max(0, calendar.debt - rate * (now - calendar.updatedAt))
  calendar.updatedAt = now
}

/**
 * Returns the first bucket in which the promise fits: by the end of it and of each later one there is room for all that is promised until then, and in the
 * caller's own range for those of higher ranks that are expected. Undefined when there is none.
 */
function findBucket (calendar: Calendar, { rank, rate, higherRate, earliestAt, latestAt }: Booking, now: number): number | undefined {
  const current = Math.floor(now / bucketMs)
  const first = Math.ceil(earliestAt / bucketMs)
  const last = Math.floor(latestAt / bucketMs) - 1
  let found: number | undefined
  let promised = calendar.debt
  let promisedHigher = 0
  for (let number = current; number <= Math.max(last, ...calendar.buckets.keys()); number++) {
    const bucket = calendar.buckets.get(number) ?? []
    promised += countOf(bucket)
    promisedHigher += countHigher(bucket, rank)
    if (number < first) continue
    const timeMs = (number + 1) * bucketMs - now
    const kept = number > last ? 0 : Math.max(0, higherRate * timeMs - promisedHigher)
    const fits = promised + kept <= rate * timeMs
    if (!fits) found = undefined
    else if (number <= last) found ??= number
  }
  return found
}

/** Promises room to a caller. Returns the time at which it is to return, or undefined when there is no room in its range. */
export function book (calendar: Calendar, booking: Booking, now: number): number | undefined {
  advance(calendar, booking.rate, now)
  const number = booking.rate > 0 ? findBucket(calendar, booking, now) : undefined
  if (number === undefined) return undefined
  const bucket = calendar.buckets.get(number) ?? []
  const before = countOf(bucket)
  while (bucket.length <= booking.rank) bucket.push(0)
  bucket[booking.rank]++
  calendar.buckets.set(number, bucket)
  // Later promises of one bucket are due later, so that callers return in the order of the promises.
  return (number + 1 - 1 / (before + 1)) * bucketMs
}
