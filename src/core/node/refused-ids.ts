import type { Clock } from '../clock/index.ts'

/** Time between removals of expired ids, in milliseconds. */
const pruneEveryMs = 1000

/** Ids of the requests that targets have refused. */
export interface RefusedIds {
  /** Records that a request was refused over one of the connections of `pool`. */
  add: (pool: object, id: string, expiresAt: number) => void
  has: (pool: object, id: string) => boolean
}

/**
 * Creates an empty collection. Ids are kept by the pool of their connections, because a repeated answer arrives on the connection of the first,
 * and until they expire: the id of a caller's attempt is not sent after its deadline.
 */
export function createRefusedIds (clock: Clock): RefusedIds {
  const expiries = new WeakMap<object, Map<string, number>>()
  let pruneAt = 0
  const prune = (ids: Map<string, number>, now: number) => {
    pruneAt = now + pruneEveryMs
    for (const [id, expiresAt] of ids) if (expiresAt <= now) ids.delete(id)
  }
  return {
    add (pool, id, expiresAt) {
      const now = clock.now()
      const ids = expiries.get(pool) ?? new Map<string, number>()
      expiries.set(pool, ids)
      if (now >= pruneAt) prune(ids, now)
      ids.set(id, expiresAt)
    },
    has: (pool, id) => (expiries.get(pool)?.get(id) ?? -Infinity) > clock.now()
  }
}
