import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Log } from './index.ts'

/** Shortest time between two lines about the same kind of refusal, in milliseconds. */
const intervalMs = 10_000

/** Longest reason that is logged, in characters. A reason may repeat parts of what was refused. */
const maxReasonLength = 200

/** Records that a message or an entry was refused. `counter` is one of a fixed set of names. */
export type RecordRefusal = (counter: string, reason: string) => void

/** Cuts a text that may repeat parts of a message, so that neither a log nor an answer grows with that message. */
export function shorten (text: string): string {
  return text.length <= maxReasonLength ? text : `${text.slice(0, maxReasonLength)}…`
}

/** Creates a recorder that counts every refusal and logs at most one of each counter in `intervalMs`, with the number of all until then. */
export function createRefusalRecorder ({ clock, log, metrics }: { clock: Clock, log: Log, metrics: Metrics }): RecordRefusal {
  const loggedAt = new Map<string, number>()
  return (counter, reason) => {
    metrics.count(counter)
    const now = clock.now()
    if (now - (loggedAt.get(counter) ?? -Infinity) < intervalMs) return
    loggedAt.set(counter, now)
    log.warn('refused', { counter, reason: shorten(reason), total: metrics.value(counter) })
  }
}
