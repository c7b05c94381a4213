import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../clock/index.ts'

/** Longest time for which requests are held back while further connections are accepted, in milliseconds. */
const maxHoldMs = 10

/** Time for which held requests are begun before the event loop turns again, in milliseconds. */
const sliceMs = 5

/** Turns of the event loop after which a request that was read has been followed by a whole poll for events, such as the end of its connection. */
const turnsUntilPolled = 2

/** Turns without a new connection after which none waits to be accepted. */
const turnsWithoutConnection = 2

/**
 * Returns true when the client of a request that has not been begun has left. The socket says so at once, request and response only after the close
 * callbacks at the end of the turn.
 */
export function hasLeft (request: IncomingMessage, response: ServerResponse): boolean {
  return request.socket.destroyed || response.destroyed
}

/** A request that is held back. */
interface HeldRequest {
  begin: () => void
  turn: number
  since: number
}

/** Holds requests back while connections wait to be accepted. */
export interface Backlog {
  /** Records that a connection was accepted. */
  recordConnection: () => void
  /** Begins a request: at once, or while connections wait to be accepted once it is certain that its client has not left. */
  run: (begin: () => void) => void
  /** Returns true while connections wait to be accepted, or requests are held back. */
  isCatchingUp: () => boolean
}

/**
 * Creates the backlog of the servers of one process. Node accepts one connection in each turn of the event loop (libuv 1.45 and later). A process that
 * begins each request at once takes long turns under load, so that connections wait for seconds; and it begins the requests of clients that have
 * left meanwhile, because the end of a connection is read one turn after the request. While connections are accepted in successive turns,
 * requests are therefore held back, for `maxHoldMs` at most, and begun in order. `schedule` calls back after the next poll for events.
 */
export function createBacklog (clock: Clock, schedule: (callback: () => void) => void = setImmediate): Backlog {
  const held: HeldRequest[] = []
  let turn = 0
  let connectionTurn = -Infinity
  let isBacklogged = false
  let isTurning = false

  const startTurning = () => {
    if (isTurning) return
    isTurning = true
    schedule(endTurn)
  }
  const isNextReady = (now: number) => {
    if (held.length === 0 || turn - held[0].turn < turnsUntilPolled) return false
    return !isBacklogged || now - held[0].since >= maxHoldMs
  }
  const beginHeld = () => {
    const startedAt = clock.now()
    for (let now = startedAt; isNextReady(now) && now - startedAt < sliceMs; now = clock.now()) held.shift()?.begin()
  }
  const endTurn = () => {
    turn++
    if (turn - connectionTurn >= turnsWithoutConnection) isBacklogged = false
    beginHeld()
    isTurning = held.length > 0 || turn - connectionTurn < turnsWithoutConnection
    if (isTurning) schedule(endTurn)
  }
  return {
    recordConnection () {
      if (isTurning && turn - connectionTurn < turnsWithoutConnection) isBacklogged = true
      connectionTurn = turn
      startTurning()
    },
    run (begin) {
      if (!isBacklogged && held.length === 0) return begin()
      held.push({ begin, turn, since: clock.now() })
      startTurning()
    },
    isCatchingUp: () => isBacklogged || held.length > 0
  }
}
