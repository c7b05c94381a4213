import type { Server } from 'node:net'
import { systemClock } from '../clock/index.ts'
import { addTurn, isReadingDone, noReading } from './reading.ts'

/**
 * Lets the event loop read what has arrived at its sockets, and at `server` the connections that wait to be accepted. After a long turn timers run before
 * anything is read, so that what looks idle to a timer may have sent long ago. Resolves right after a poll for events, for at most `maxReadingMs` and one
 * turn more.
 */
export async function readArrived (server?: Server): Promise<void> {
  let hasAccepted = false
  const recordConnection = () => {
    hasAccepted = true
  }
  server?.on('connection', recordConnection)
  let reading = noReading
  let turnedAt = systemClock.now()
  while (!isReadingDone(reading)) {
    hasAccepted = false
    await nextTurn()
    const now = systemClock.now()
    reading = addTurn(reading, { durationMs: now - turnedAt, hasAccepted })
    turnedAt = now
  }
  server?.off('connection', recordConnection)
}

/** Resolves after the next poll for events. */
function nextTurn (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
