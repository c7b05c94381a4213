import { setFlagsFromString } from 'node:v8'
import { systemClock } from '../core/clock/index.ts'
import { createLog, createStandardWriter } from '../core/log/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import type { Environment } from '../core/peers/index.ts'
import { createUnpredictableRandom } from '../core/random/index.ts'

/** Limits the heap: semi-spaces of 4 MB in the young generation, and an old generation of 80 MB. */
export function limitHeapSize (): void {
  setFlagsFromString('--max-semi-space-size=4')
  setFlagsFromString('--semi-space-growth-factor=2')
  setFlagsFromString('--max-old-space-size=80')
}

/** Creates the environment of a long-running process. */
export function createEnvironment (jsonLog: boolean): Environment {
  const metrics = createMetrics()
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())
  metrics.gauge('heap_used_bytes', () => process.memoryUsage().heapUsed)
  const writer = createStandardWriter(jsonLog, systemClock, (lines) => metrics.count('log_lines_lost_total', lines))
  return { clock: systemClock, random: createUnpredictableRandom(), log: createLog(jsonLog, writer), metrics }
}

/** Prints the addresses in use as one line of JSON, for scripts that start processes with port 0. */
export function printAddresses (addresses: Record<string, string>): void {
  process.stdout.write(JSON.stringify(addresses) + '\n')
}
