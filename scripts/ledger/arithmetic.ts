import type { ProcessorTime } from '../support/processor.ts'

/** Returns the processor time used between two readings of the same processes, over all of them. */
export function usedBetween (before: readonly ProcessorTime[], after: readonly ProcessorTime[]): ProcessorTime {
  return {
    user: after.reduce((sum, time, index) => sum + time.user - before[index].user, 0),
    system: after.reduce((sum, time, index) => sum + time.system - before[index].system, 0)
  }
}

/** Divides processor time by a count of calls, seconds or processes. */
export function divide ({ user, system }: ProcessorTime, count: number): ProcessorTime {
  return { user: user / count, system: system / count }
}

/** Converts seconds to milliseconds. */
export function toMs ({ user, system }: ProcessorTime): ProcessorTime {
  return { user: user * 1000, system: system * 1000 }
}

export function total ({ user, system }: ProcessorTime): number {
  return user + system
}

/** Returns the largest distance from the mean as a fraction of the mean. */
export function spread (values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return Math.max(...values.map((value) => Math.abs(value - mean))) / mean
}
