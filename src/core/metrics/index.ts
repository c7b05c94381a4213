import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

const maxMicroseconds = 60_000_000
const exposedQuantiles = [0.5, 0.9, 0.99, 0.999]

/** Counters, gauges and latency histograms of one process. */
export interface Metrics {
  /** Adds to a counter. Labels are part of the name, as in `calls_total{outcome="whole"}`. */
  count: (name: string, amount?: number) => void
  /** Records a duration in milliseconds. */
  time: (name: string, durationMs: number) => void
  /** Registers a gauge whose value is read at each exposition. */
  gauge: (name: string, read: () => number) => void
  /** Returns the current value of a counter. */
  value: (name: string) => number
  /** Returns all metrics in the text exposition format. */
  expose: () => string
}

function baseName (name: string): string {
  return name.split('{')[0]
}

function exposeHistogram (name: string, histogram: Histogram): string[] {
  const lines = [`# TYPE dogwoodspring_${name}_seconds summary`]
  for (const quantile of exposedQuantiles) {
    const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6
    lines.push(`dogwoodspring_${name}_seconds{quantile="${quantile}"} ${seconds}`)
  }
  lines.push(`dogwoodspring_${name}_seconds_count ${histogram.totalCount}`)
  return lines
}

/** Creates an empty metrics registry. */
export function createMetrics (): Metrics {
  const counters = new Map<string, number>()
  const gauges = new Map<string, () => number>()
  const histograms = new Map<string, Histogram>()
  const histogramOf = (name: string) => {
    const existing = histograms.get(name)
    if (existing !== undefined) return existing
    const created = build({ highestTrackableValue: maxMicroseconds, numberOfSignificantValueDigits: 2, useWebAssembly: false })
    histograms.set(name, created)
    return created
  }
  const exposeValues = (names: Iterable<string>, type: string, valueOf: (name: string) => number) => {
    const lines: string[] = []
    let previous = ''
    for (const name of [...names].sort()) {
      if (baseName(name) !== previous) lines.push(`# TYPE dogwoodspring_${baseName(name)} ${type}`)
      previous = baseName(name)
      lines.push(`dogwoodspring_${name} ${valueOf(name)}`)
    }
    return lines
  }
  return {
    count (name, amount = 1) {
      counters.set(name, (counters.get(name) ?? 0) + amount)
    },
    time (name, durationMs) {
      histogramOf(name).recordValue(Math.min(maxMicroseconds, Math.max(1, Math.round(durationMs * 1000))))
    },
    gauge (name, read) {
      gauges.set(name, read)
    },
    value: (name) => counters.get(name) ?? 0,
    expose () {
      const lines = [
        ...exposeValues(counters.keys(), 'counter', (name) => counters.get(name) ?? 0),
        ...exposeValues(gauges.keys(), 'gauge', (name) => gauges.get(name)?.() ?? 0)
      ]
      for (const [name, histogram] of histograms) lines.push(...exposeHistogram(name, histogram))
      return lines.join('\n') + '\n'
    }
  }
}
