import { bucketMs } from './constants.ts'

/** Returns that were promised for the time to come. The room grows evenly with time; a promise uses one request of it. */
export interface Calendar {
  /** Numbers of promised returns by the number of their bucket, counted from time 0. */
  buckets: Map<number, number>
  /** Promised returns whose time has come but for which there was not enough room until then, in requests. */
  debt: number
  updatedAt: number
}

/** A caller that is to return. Times are monotonic, in ms. */
export interface Booking {
  /** Rate at which there will be room for those that return, in requests per ms. */
  rate: number
  earliestAt: number
  latestAt: number
}

/** Creates a calendar without promises. */
export function createCalendar (now: number): Calendar {
  return { buckets: new Map(), debt: 0, updatedAt: now }
}

/** Closes the buckets whose time is over. What they used is paid off at the rate of the room. */
function advance (calendar: Calendar, rate: number, now: number): void {
  const current = Math.floor(now / bucketMs)
  for (const [number, count] of calendar.buckets) {
    if (number >= current) continue
    calendar.debt += count
    calendar.buckets.delete(number)
  }
  calendar.debt = Math.max(0, calendar.debt - rate * (now - calendar.updatedAt))
  calendar.updatedAt = now
}

/** Returns the first bucket in which one more promise fits: by the end of it and of each later one there is room for all that is promised until then. */
function findBucket (calendar: Calendar, { rate, earliestAt, latestAt }: Booking, now: number): number | undefined {
  const first = Math.ceil(earliestAt / bucketMs)
  const last = Math.floor(latestAt / bucketMs) - 1
  let found: number | undefined
  let promised = calendar.debt
  for (let number = Math.floor(now / bucketMs); number <= Math.max(last, ...calendar.buckets.keys()); number++) {
    promised += calendar.buckets.get(number) ?? 0
    const fits = promised <= rate * ((number + 1) * bucketMs - now)
    if (!fits) found = undefined
    else if (number >= first && number <= last) found ??= number
  }
  return found
}

/** Promises room to a caller. Returns the time at which it is to return, or undefined when there is no room in its range. */
export function book (calendar: Calendar, booking: Booking, now: number): number | undefined {
  advance(calendar, booking.rate, now)
  const number = booking.rate > 0 ? findBucket(calendar, booking, now) : undefined
  if (number === undefined) return undefined
  const before = calendar.buckets.get(number) ?? 0
  calendar.buckets.set(number, before + 1)
  // Later promises of one bucket are due later, so that callers return in the order of the promises.
  return (number + 1 - 1 / (before + 1)) * bucketMs
}
