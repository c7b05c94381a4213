import { systemClock } from '../../src/core/clock/index.ts'
import { createClients } from '../../src/core/http/index.ts'
import type { ClientBounds, Clients } from '../../src/core/http/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Metrics } from '../../src/core/metrics/index.ts'
import { clientSettings, readSettings } from '../../src/core/settings/index.ts'

/** Creates clients with the default bounds but for `changes`. */
export function createTestClients (changes: Partial<ClientBounds> = {}, metrics: Metrics = createMetrics()): Clients {
  const defaults = readSettings(clientSettings, {})
  if (!defaults.ok) throw new Error(defaults.message)
  return createClients({ ...defaults.value, ...changes }, { clock: systemClock, log: silentLog, metrics })
}
