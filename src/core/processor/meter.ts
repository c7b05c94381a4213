import type { Clock } from '../clock/index.ts'
import { createEventWriter, processorEvents } from '../log/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { checkIntervalMs, loggedUtilization, reportIntervalMs } from './constants.ts'

/** What the event loop shows of the processor time that this process has. */
export interface ProcessorReading {
  /** Time for which the event loop has been busy since the start, in ms. It includes time in which the process was ready to run and got no processor. */
  busyMs: number
  /** Time by which the event loop is behind, in ms. What has arrived meanwhile lies unread. */
  latenessMs: number
}

/** Measures the processor time of a process by its event loop. */
export interface ProcessorMeter {
  read: () => ProcessorReading
  close: () => void
}

/** What a meter needs. */
export interface ProcessorMeterOptions {
  /** Name of the process in log lines. */
  node: string
  /** Returns the busy time of the event loop since the start, in ms. */
  readBusyMs: () => number
  /** Returns counts that a line about a busy second shows; they only grow. */
  readCounts: () => Record<string, number>
  clock: Clock
  log: Log
  metrics: Metrics
}

/** Returns the time for which the event loop of this process has been busy, in ms. */
export function loopBusyMs (): number {
  return performance.eventLoopUtilization().active
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

/** Returns what was added to each count since `before`; counts without a change are left out. */
function addedTo (before: Record<string, number>, counts: Record<string, number>): Record<string, number> {
  const added = Object.entries(counts).map(([name, count]) => [name, count - (before[name] ?? 0)] as const)
  return Object.fromEntries(added.filter(([, count]) => count !== 0))
}

/** Creates the meter of this process. It exposes metrics, and writes a line for each second in which the event loop was nearly always busy. */
export function createProcessorMeter ({ node, readBusyMs, readCounts, clock, log, metrics }: ProcessorMeterOptions): ProcessorMeter {
  const writer = createEventWriter(node, log, metrics, clock)
  let dueAt = clock.now() + checkIntervalMs
  let lastLatenessMs = 0
  let largestLatenessMs = 0
  let reported = { at: clock.now(), busyMs: readBusyMs(), counts: readCounts() }
  let utilization = 0
  const report = (now: number) => {
    const elapsedMs = now - reported.at
    if (elapsedMs < reportIntervalMs) return
    const [busyMs, counts] = [readBusyMs(), readCounts()]
    utilization = Math.min(1, (busyMs - reported.busyMs) / elapsedMs)
    if (utilization >= loggedUtilization) {
      const before = reported.counts
      writer.write(processorEvents.processorBusy, () => ({
        utilization: round(utilization), latenessMs: Math.round(largestLatenessMs), elapsedMs: Math.round(elapsedMs), counts: addedTo(before, counts)
      }))
    }
    largestLatenessMs = 0
    reported = { at: now, busyMs, counts }
  }
  const check = () => {
    const now = clock.now()
    lastLatenessMs = Math.max(0, now - dueAt)
    largestLatenessMs = Math.max(largestLatenessMs, lastLatenessMs)
    metrics.time('event_loop_lateness', lastLatenessMs)
    report(now)
    dueAt = now + checkIntervalMs
    timer = setTimeout(check, checkIntervalMs).unref()
  }
  let timer = setTimeout(check, checkIntervalMs).unref()
  metrics.gauge('event_loop_utilization', () => utilization)
  return {
    read: () => ({ busyMs: readBusyMs(), latenessMs: Math.max(lastLatenessMs, clock.now() - dueAt) }),
    close: () => clearTimeout(timer)
  }
}
