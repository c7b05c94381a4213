import type { Pool } from 'undici'
import type { Gate } from '../../src/core/node/gate.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'

/** Creates the state of a target of service "s" with 8 slots that accepts every request over the connections of `pool`. */
export function createRawTarget (pool: Pool, gate: Gate, origin: string): OwnTarget {
  return {
    gate,
    current: () => ({ service: 's', slots: 8, connections: 1, state: 'up', startedAt: 0 }),
    pool: () => pool,
    origin: () => origin,
    probe: async () => true,
    instance: () => undefined,
    acceptsRequests: () => true,
    markReplaced () {}
  } as unknown as OwnTarget
}
