import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { requestEvents } from './events.ts'
import type { EventFields, EventName } from './events.ts'
import { droppedEvent, droppedMessage } from './line-writer.ts'
import type { Log } from './types.ts'
import { allowsLine, chargeLine, createVolumeBudget } from './volume-budget.ts'
import type { VolumeBudget } from './volume-budget.ts'

/** Time between two reports of lines that were left out, in milliseconds. */
const reportIntervalMs = 1000

/** Bytes of a line besides its fields: time, level, message and punctuation. */
const frameBytes = 120

/** Ids of the request that an event concerns. */
export interface LoggedRequest {
  /** Id of the request as its caller sent it, or else its chain; null for a refused request without an id. */
  id: string | null
  /** Identifies the caller's request on all nodes; null before the request was accepted. */
  chain: string | null
  /** Identifies one attempt; missing for the request as a whole. Targets get it as the request's id when the caller sent none. */
  attempt?: string
}

/** Writes the events on requests. */
export interface RequestLog {
  /** Writes an event if its volume allows that; only then are its fields read. */
  write: <Name extends EventName>(name: Name, describe: () => LoggedRequest & EventFields<Name>) => void
}

interface Kind {
  budget: VolumeBudget
  /** Lines left out since the last report. */
  dropped: number
  /** Name of the counter of dropped lines. */
  counter: string
}

/** Creates the log of a node's requests. Each kind of event has a volume; what exceeds it is counted and reported once a second. */
export function createRequestLog (node: string, log: Log, metrics: Metrics, clock: Clock): RequestLog {
  const kinds = new Map<EventName, Kind>()
  let timer: NodeJS.Timeout | undefined
  const kindOf = (name: EventName): Kind => {
    const existing = kinds.get(name)
    if (existing !== undefined) return existing
    const created = { budget: createVolumeBudget(requestEvents[name].volume, clock.now()), dropped: 0, counter: `log_lines_dropped_total{event="${requestEvents[name].name}"}` }
    kinds.set(name, created)
    return created
  }
  const reportDropped = () => {
    timer = undefined
    for (const [name, kind] of kinds) {
      if (kind.dropped === 0) continue
      log.warn(droppedMessage, { event: droppedEvent, node, cause: 'volume', of: requestEvents[name].name, lines: kind.dropped, withinMs: reportIntervalMs })
      kind.dropped = 0
    }
  }
  const drop = (kind: Kind) => {
    kind.dropped++
    metrics.count(kind.counter)
    timer ??= setTimeout(reportDropped, reportIntervalMs).unref()
  }
  return {
    write (name, describe) {
      const kind = kindOf(name)
      const { name: event, message, level, volume } = requestEvents[name]
      if (!allowsLine(kind.budget, volume, clock.now())) return drop(kind)
      const details = { event, node, ...describe() }
      chargeLine(kind.budget, frameBytes + Buffer.byteLength(JSON.stringify(details)))
      log[level](message, details)
    }
  }
}
