import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { EventKind } from './events.ts'
import { droppedEvent, droppedMessage } from './line-writer.ts'
import type { Log } from './types.ts'
import { allowsLine, chargeLine, createVolumeBudget } from './volume-budget.ts'
import type { VolumeBudget } from './volume-budget.ts'

/** Time between two reports of lines that were left out, in milliseconds. */
const reportIntervalMs = 1000

/** Bytes of a line besides its fields: time, level, message and punctuation. */
const frameBytes = 120

/** Writes events, each kind within its volume. */
export interface EventWriter {
  /** Writes an event if its volume allows that; only then are its fields read. */
  write: (kind: EventKind<unknown>, describe: () => object) => void
}

interface Usage {
  budget: VolumeBudget
  /** Lines left out since the last report. */
  dropped: number
  /** Name of the counter of dropped lines. */
  counter: string
}

/** Creates the writer of a process's events. What exceeds the volume of a kind is counted and reported once a second. */
export function createEventWriter (node: string, log: Log, metrics: Metrics, clock: Clock): EventWriter {
  const usages = new Map<string, Usage>()
  let timer: NodeJS.Timeout | undefined
  const usageOf = ({ name, volume }: EventKind<unknown>): Usage => {
    const existing = usages.get(name)
    if (existing !== undefined) return existing
    const created = { budget: createVolumeBudget(volume, clock.now()), dropped: 0, counter: `log_lines_dropped_total{event="${name}"}` }
    usages.set(name, created)
    return created
  }
  const reportDropped = () => {
    timer = undefined
    for (const [name, usage] of usages) {
      if (usage.dropped === 0) continue
      log.warn(droppedMessage, { event: droppedEvent, node, cause: 'volume', of: name, lines: usage.dropped, withinMs: reportIntervalMs })
      usage.dropped = 0
    }
  }
  const drop = (usage: Usage) => {
    usage.dropped++
    metrics.count(usage.counter)
    timer ??= setTimeout(reportDropped, reportIntervalMs).unref()
  }
  return {
    write (kind, describe) {
      const usage = usageOf(kind)
      if (!allowsLine(usage.budget, kind.volume, clock.now())) return drop(usage)
      const details = { event: kind.name, node, ...describe() }
      chargeLine(usage.budget, frameBytes + Buffer.byteLength(JSON.stringify(details)))
      log[kind.level](kind.message, details)
    }
  }
}
