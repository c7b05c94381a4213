/** Detects identifiers that were already seen within a time window. */
export interface ReplayFilter {
  /** Records the identifier. Returns false when it was already seen within the window. */
  accept: (id: string, now: number) => boolean
}

/** Creates a replay filter that keeps identifiers for at least `windowMs`, in two sets that rotate. */
export function createReplayFilter (windowMs: number): ReplayFilter {
  let current = new Set<string>()
  let previous = new Set<string>()
  let rotatedAt = -Infinity
  const rotate = (now: number) => {
    if (now - rotatedAt < windowMs) return
    previous = now - rotatedAt < 2 * windowMs ? current : new Set()
    current = new Set()
    rotatedAt = now
  }
  return {
    accept (id, now) {
      rotate(now)
      if (current.has(id) || previous.has(id)) return false
      current.add(id)
      return true
    }
  }
}
