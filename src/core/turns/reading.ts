/** Turns in a row without an arrival after which everything that had arrived is read. The first may have begun to poll before; the second polls all. */
const quietTurns = 2

/** Longest turn during which little can have arrived unread, in milliseconds. */
const shortTurnMs = 20

/** Time for which an event loop goes on reading while more arrives, in milliseconds. */
export const maxReadingMs = 100

/** One turn of the event loop, up to the end of its poll for events. */
export interface Turn {
  durationMs: number
  /** A connection was accepted, from which nothing is read before the next turn. */
  hasAccepted: boolean
}

/** Progress in reading what has arrived at a process. */
export interface Reading {
  turns: number
  /** Turns in a row in which nothing was accepted and little can have arrived. */
  quiet: number
  elapsedMs: number
}

/** Progress before the first turn. */
export const noReading: Reading = { turns: 0, quiet: 0, elapsedMs: 0 }

/** Adds a turn to the progress. */
export function addTurn (reading: Reading, { durationMs, hasAccepted }: Turn): Reading {
  const isQuiet = !hasAccepted && durationMs <= shortTurnMs
  return {
    turns: reading.turns + 1,
    quiet: isQuiet ? reading.quiet + 1 : 0,
    elapsedMs: reading.elapsedMs + durationMs
  }
}

/** Returns true when everything that had arrived is read, or no more time is left for it. Every process polls once for all, however slow it is. */
export function isReadingDone ({ turns, quiet, elapsedMs }: Reading): boolean {
  if (turns < quietTurns) return false
  return quiet >= quietTurns || elapsedMs >= maxReadingMs
}
