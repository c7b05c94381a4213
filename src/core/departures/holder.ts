import * as v from 'valibot'
import { check } from '../config/index.ts'
import type { Clock } from '../clock/index.ts'
import type { RecordRefusal } from '../log/index.ts'
import type { Datagrams } from '../rpc/index.ts'
import { departureSchema, mergeDepartures } from './record.ts'
import type { Departure } from './record.ts'

export const keepMethod = 'departures.keep'
export const recallMethod = 'departures.recall'

/** Time for which the departures of a node are kept, in milliseconds. Messages of targets arrive seconds late. */
const retentionMs = 600_000

/** Number of nodes whose departures are kept. */
const maxNodes = 4096

/** Longest id of a node, in characters. */
const maxNodeLength = 256

const nodeSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(maxNodeLength))
const keepSchema = v.object({ node: nodeSchema, departures: v.array(departureSchema) })
const recallSchema = v.object({ node: nodeSchema })

export type KeepRequest = v.InferOutput<typeof keepSchema>
export type RecallRequest = v.InferOutput<typeof recallSchema>

/** Reply to a recall. */
export interface RecallReply {
  departures: Departure[]
}

interface KeptDepartures {
  departures: Departure[]
  keptAt: number
}

/** Keeps departures for other nodes, which forget them when they are restarted. */
export function serveDepartures (datagrams: Datagrams, clock: Clock, recordRefusal: RecordRefusal): void {
  /** By node id, the one that was told last at the end. */
  const kept = new Map<string, KeptDepartures>()
  const dropOld = () => {
    for (const [node, { keptAt }] of kept) {
      if (kept.size <= maxNodes && clock.now() - keptAt < retentionMs) return
      kept.delete(node)
    }
  }
  datagrams.method(keepMethod, (params: unknown) => {
    const checked = check(keepSchema, params)
    if (!checked.ok) {
      recordRefusal('departures_refused_total', checked.reason)
      return false
    }
    const { node, departures } = checked.value
    const known = kept.get(node)?.departures ?? []
    kept.delete(node)
    kept.set(node, { departures: mergeDepartures(known, departures), keptAt: clock.now() })
    dropOld()
    return true
  })
  datagrams.method(recallMethod, (params: unknown): RecallReply => {
    dropOld()
    const checked = check(recallSchema, params)
    return { departures: checked.ok ? kept.get(checked.value.node)?.departures ?? [] : [] }
  })
}
