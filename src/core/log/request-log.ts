import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { createEventWriter } from './event-writer.ts'
import { requestEvents } from './events.ts'
import type { EventFields, EventName } from './events.ts'
import type { Log } from './types.ts'

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

/** Creates the log of a node's requests. */
export function createRequestLog (node: string, log: Log, metrics: Metrics, clock: Clock): RequestLog {
  const writer = createEventWriter(node, log, metrics, clock)
  return { write: (name, describe) => writer.write(requestEvents[name], describe) }
}
