/** Largest body that is counted as small, in bytes. */
const smallBodyBytes = 1024 * 1024

/** Total size of the small bodies that a process holds at a time, in bytes. */
const smallBodiesBytes = 32 * 1024 * 1024

/** Room for bodies in the memory of a process. Small ones have room of their own, so that they do not wait behind large ones. */
export interface BodyBudget {
  /**
   * Reserves room for a body, in the order of the calls. Resolves with a function that returns the room, or undefined if there is none within `waitMs`.
   * A body larger than all room is never granted any.
   */
  reserve: (bytes: number, waitMs: number) => Promise<Release | undefined> | Release | undefined
  /** Returns the bytes that are reserved. */
  usedBytes: () => number
}

/** Returns reserved room. Further calls have no effect. */
export type Release = () => void

interface Waiting {
  bytes: number
  resolve: (release: Release | undefined) => void
  timer: NodeJS.Timeout
}

/** Collects garbage if the process was started with `--expose-gc`. */
function collectGarbage (): void {
  globalThis.gc?.()
}

/** Frees the memory of buffers that are no longer referenced. */
export type Collect = () => void

/**
 * Reserves room in the order of the calls. A buffer whose room was returned stays in memory until the next collection, which the runtime may put off for
 * long; therefore it is asked for one before the room would be exceeded with such buffers.
 */
function createRoom (maxBytes: number, collect: Collect): BodyBudget {
  const waiting = new Set<Waiting>()
  let used = 0
  let returned = 0

  const take = (bytes: number): Release => {
    let isHeld = true
    if (returned > 0 && used + returned + bytes > maxBytes) {
      collect()
      returned = 0
    }
    used += bytes
    return () => {
      if (!isHeld) return
      isHeld = false
      used -= bytes
      returned += bytes
      grantWaiting()
    }
  }
  const settle = (entry: Waiting, release: Release | undefined) => {
    waiting.delete(entry)
    clearTimeout(entry.timer)
    entry.resolve(release)
  }
  const grantWaiting = () => {
    for (const entry of waiting) {
      if (used + entry.bytes > maxBytes) return
      settle(entry, take(entry.bytes))
    }
  }
  return {
    reserve (bytes, waitMs) {
      if (waiting.size === 0 && used + bytes <= maxBytes) return take(bytes)
      if (bytes > maxBytes || waitMs <= 0) return undefined
      return new Promise((resolve) => {
        const entry: Waiting = { bytes, resolve, timer: setTimeout(() => settle(entry, undefined), waitMs) }
        waiting.add(entry)
      })
    },
    usedBytes: () => used
  }
}

/** Creates the room of a process for bodies of at most `maxBodyBytes`. */
export function createBodyBudget (maxBodyBytes: number, collect: Collect = collectGarbage): BodyBudget {
  const small = createRoom(smallBodiesBytes, () => {})
  const large = createRoom(maxBodyBytes, collect)
  return {
    reserve: (bytes, waitMs) => (bytes <= smallBodyBytes ? small : large).reserve(bytes, waitMs),
    usedBytes: () => small.usedBytes() + large.usedBytes()
  }
}
