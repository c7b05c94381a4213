import type { ServerResponse } from 'node:http'
import type { ClaimClient } from '../claims/client.ts'
import type { Failure } from '../errors/index.ts'
import type { Random } from '../random/index.ts'
import type { Dialect } from './dialect.ts'
import type { Arrival } from './filters.ts'
import type { Attempted, Call } from './types.ts'

/** Shortest and longest time after which a refused caller may come back, in milliseconds. */
const minRetryMs = 500
const maxRetryMs = 1500

/** Spreads the callers that come back, so that they do not return together. */
function spreadRetry (random: Random): number {
  return minRetryMs + random.next() * (maxRetryMs - minRetryMs)
}

/** Answers callers whose requests ended without an answer of a target. */
export interface Refusals {
  refuseArrival: (response: ServerResponse, failure: Failure, arrival: Arrival) => Promise<void>
  conclude: (response: ServerResponse, call: Call, attempted: Attempted) => Promise<void>
}

/**
 * Creates the refusals of one node. A request that may have been sent before under the same
 * Idempotency-Key is called "not run" only when a majority of the holders know no claim of it.
 */
export function createRefusals (claims: ClaimClient, dialect: Dialect, random: Random): Refusals {
  const stateOf = async (workspace: string | null, lineage: string): Promise<string> => {
    return await claims.isUnclaimed(`${workspace ?? ''}\n${lineage}`) ? 'not-run' : 'unknown'
  }
  const write = (response: ServerResponse, failure: Failure, run: string) => {
    if (!response.headersSent && !response.destroyed) dialect.writeRefusal(response, { failure, run, retryAfterMs: spreadRetry(random) })
  }
  return {
    async refuseArrival (response, failure, { route, identity, idempotencyKey }) {
      const isResendable = idempotencyKey !== undefined && route !== undefined && !route.idempotent
      const workspace = route?.open === true ? null : identity?.workspace ?? null
      write(response, failure, isResendable ? await stateOf(workspace, `key:${idempotencyKey}`) : 'not-run')
    },
    async conclude (response, { context }, attempted) {
      if (attempted.type === 'answered') return
      if (attempted.type === 'broken') return void response.destroy()
      const { workspace, lineage, idempotent, resendable } = context
      if (attempted.type === 'failed') return write(response, attempted.failure, 'unknown')
      write(response, attempted.failure, !idempotent && resendable ? await stateOf(workspace, lineage) : 'not-run')
    }
  }
}
