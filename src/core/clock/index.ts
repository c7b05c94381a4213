/** Source of time. Decision functions receive times as numbers; only code that does input and output holds a clock. */
export interface Clock {
  /** Returns the time of a monotonic clock with an arbitrary origin, in milliseconds. */
  now: () => number
  /** Returns the wall-clock time. */
  date: () => Date
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  date: () => new Date()
}
