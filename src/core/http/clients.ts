import { createServer as createNodeServer, ServerResponse } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { boundedBytes, findLargest, findSurplus, readableRequests, shareOfBound } from './client-bounds.ts'
import type { ClientBounds, HeldTotals, Holding } from './client-bounds.ts'
import { endOfPiece } from './pieces.ts'

/** Requests of one connection that listeners of administration hold: they begin each at once, and some ask other processes. */
export const maxRequestsAhead = 1

/** Time between two checks of the answers that were not taken, in milliseconds. */
const checkIntervalMs = 100

/** Held connections that go on in one turn of the event loop. */
const resumedPerTurn = 8

/** Time without reaching a bound after which it counts as no longer reached, in milliseconds. */
const reliefMs = 10_000

/** Creates an HTTP server. At most `connectionRequests` requests of one connection are read ahead, if the bounds do not allow fewer. */
export type ServerFactory = (options: ServerOptions, listener: RequestListener, connectionRequests?: number) => Server

/** The clients of a process, whose connections share its bounds. */
export interface Clients {
  /** Creates an HTTP server whose connections are within the bounds. */
  createServer: ServerFactory
  /** Returns true while bytes of a connection were received that are not parsed. */
  hasUnparsed: (socket: Duplex) => boolean
  /** Hands over a connection that has left HTTP by an upgrade. Nothing is held for it any more. */
  release: (socket: Duplex) => void
  /** Returns what is held for them; answers as of the last check. */
  held: () => HeldTotals
}

/** The clients of a process by group. The groups share the bounds on memory; each is sure of a part, so that callers and operators cannot take it from the other processes of the cluster. */
export interface ProcessClients {
  callers: Clients
  peers: Clients
}

/** Names of the bounds over all connections. */
type SharedBound = 'clientConnections' | 'clientRequests' | 'clientBytes' | 'clientHeadBytes'

/** One connection of a client. */
interface Connection extends Holding {
  socket: Socket
  responses: Set<ServerResponse>
  /** Response to the newest request, unless both are complete. */
  newest: ServerResponse | undefined
  /** Requests that may be read and not answered. */
  maxRequests: number
  /** Lets a connection go on that was held back. */
  resume: () => void
  /** Leaves the reading of the socket to others. */
  leave: () => void
}

function holdNothing (): HeldTotals {
  return { requests: 0, bytes: 0, headBytes: 0 }
}

/** Returns the bytes that a connection holds of answers, whether their turn has come or not. */
function answerBytesOf ({ socket, responses }: Connection): number {
  let bytes = socket.writableLength
  for (const response of responses) if (response.socket === null) bytes += response.writableLength
  return bytes
}

/** Returns bytes in memory of their own if most of the memory that they keep is not theirs. */
function withoutSurplus (bytes: Buffer): Buffer {
  return bytes.length * 2 < bytes.buffer.byteLength ? Buffer.from(bytes) : bytes
}

/** The part of a socket's handle with which Node's HTTP server stops the system from reading ahead for a socket that it parses itself. */
interface Handle {
  reading: boolean
  readStart: () => void
  readStop: () => void
}

/** Lets the system read a socket or not. A paused stream alone would take 64 KB more. */
function setReading (socket: Socket, isReading: boolean): void {
  const { _handle: handle } = socket as unknown as { _handle?: Handle | null }
  if (handle === undefined || handle === null || handle.reading === isReading) return
  handle.reading = isReading
  if (isReading) handle.readStart()
  else handle.readStop()
}

/** Writes a line when a bound is reached and when it no longer is. */
function createStateLog (log: Log, clock: Clock, bounds: ClientBounds, group: string) {
  const reachedAt = new Map<SharedBound, number>()
  return {
    reach (bound: SharedBound) {
      if (!reachedAt.has(bound)) log.warn('clients have reached a bound', { group, bound, limit: bounds[bound] })
      reachedAt.set(bound, clock.now())
    },
    relieve () {
      for (const [bound, at] of reachedAt) {
        if (clock.now() - at < reliefMs) continue
        reachedAt.delete(bound)
        log.info('clients are within a bound again', { group, bound, limit: bounds[bound] })
      }
    },
    isQuiet: () => reachedAt.size === 0
  }
}

/**
 * Creates the clients of a process. Node parses all requests of up to 64 KB at once, thousands of small ones, and takes no notice of their number; here they are
 * parsed a few at a time. A connection that holds as much as it may is not read further. What was not read has not run. `group` names the clients in metrics and lines,
 * `othersHold` returns what other groups hold against the same bounds.
 */
export function createClients (bounds: ClientBounds, { clock, log, metrics }: { clock: Clock, log: Log, metrics: Metrics }, group = 'callers', othersHold: () => HeldTotals = holdNothing): Clients {
  const connections = new Map<Duplex, Connection>()
  const held = new Set<Connection>()
  const states = createStateLog(log, clock, bounds, group)
  let totalRequests = 0
  let totalHeadBytes = 0
  let totalBytes = 0
  let isTurning = false
  let checkTimer: NodeJS.Timeout | undefined

  const setHeadBytes = (connection: Connection, bytes: number) => {
    totalHeadBytes += bytes - connection.headBytes
    connection.headBytes = bytes
  }
  const closeConnection = ({ socket }: Connection, bound: SharedBound) => {
    metrics.count(`client_connections_closed_total{group="${group}",bound="${bound}"}`)
    states.reach(bound)
    startChecks()
    forget(socket)
    socket.resetAndDestroy()
  }
  const forget = (socket: Duplex) => {
    const connection = connections.get(socket)
    if (connection === undefined) return
    connections.delete(socket)
    held.delete(connection)
    totalRequests -= connection.responses.size
    connection.responses.clear()
    connection.requests = 0
    setHeadBytes(connection, 0)
    wakeHeld()
  }
  /** Returns all connections, with the answers that they hold now. */
  const measured = (): Connection[] => {
    const all = [...connections.values()]
    for (const connection of all) connection.answerBytes = answerBytesOf(connection)
    return all
  }
  const keepWithinBytes = () => {
    let total = 0
    for (const connection of measured()) total += boundedBytes(connection)
    const limit = shareOfBound(bounds.clientBytes, othersHold().bytes)
    while (total > limit) {
      const largest = findLargest(connections.values(), boundedBytes)
      if (largest === undefined) break
      total -= boundedBytes(largest)
      closeConnection(largest, 'clientBytes')
    }
    totalBytes = total
  }
  const keepWithinHeadBytes = () => {
    while (totalHeadBytes > shareOfBound(bounds.clientHeadBytes, othersHold().headBytes)) {
      const largest = findLargest(connections.values(), ({ headBytes }) => headBytes)
      if (largest === undefined) return
      closeConnection(largest, 'clientHeadBytes')
    }
  }
  const check = () => {
    checkTimer = undefined
    keepWithinBytes()
    states.relieve()
    if (totalRequests > 0 || held.size > 0 || !states.isQuiet()) startChecks()
  }
  const startChecks = () => {
    checkTimer ??= setTimeout(check, checkIntervalMs).unref()
  }
  /** Returns the number of requests that may begin in the next piece, 0 for none. The body of a request that has begun may always be read: it has bounds of its own. */
  const mayRead = (connection: Connection): number => {
    const clientRequests = shareOfBound(bounds.clientRequests, othersHold().requests)
    const count = readableRequests(connection, totalRequests, { connectionRequests: connection.maxRequests, clientRequests })
    return count === 0 && connection.newest?.req.complete === false ? 1 : count
  }
  const hold = (connection: Connection) => {
    if (held.has(connection)) return
    held.add(connection)
    const isShared = connection.requests < connection.maxRequests
    metrics.count(`client_reads_held_total{group="${group}",bound="${isShared ? 'clientRequests' : 'connectionRequests'}"}`)
    if (isShared) states.reach('clientRequests')
  }
  /** Lets held connections go on in the next turn, each for a few requests. */
  const wakeHeld = () => {
    if (isTurning || held.size === 0) return
    isTurning = true
    setImmediate(() => {
      isTurning = false
      let resumed = 0
      for (const connection of [...held]) {
        if (mayRead(connection) === 0) continue
        if (resumed++ === resumedPerTurn) return wakeHeld()
        held.delete(connection)
        connection.resume()
      }
    })
  }
  /** Counts a response from its creation until it has closed, also those that Node creates and answers itself. */
  const recordResponse = (response: ServerResponse) => {
    const connection = connections.get(response.req.socket)
    if (connection === undefined) return
    connection.responses.add(response)
    connection.newest = response
    connection.requests++
    totalRequests++
    startChecks()
    response.once('close', () => {
      if (!connection.responses.delete(response)) return
      connection.requests--
      totalRequests--
      if (connection.newest === response && response.req.complete) connection.newest = undefined // An idle connection keeps no request.
      wakeHeld()
    })
  }
  class CountedResponse extends ServerResponse {
    constructor (...parameters: ConstructorParameters<typeof ServerResponse<IncomingMessage>>) {
      super(...parameters)
      recordResponse(this)
    }
  }
  /** Reads a connection a piece at a time, in place of the listener with which Node reads it. */
  const readInPieces = (connection: Connection) => {
    const { socket } = connection
    const [parse] = socket.listeners('data') as Array<(chunk: Buffer) => void>
    const [pauseStream, resumeStream] = [socket.pause.bind(socket), socket.resume.bind(socket)]
    const pause = () => {
      setReading(socket, false)
      return pauseStream()
    }
    const resume = () => {
      setReading(socket, true)
      return resumeStream()
    }
    let isPaused = false
    const parsePiece = (piece: Buffer) => {
      const { newest } = connection
      const inHead = newest === undefined || newest.req.complete
      connection.readAt = clock.now()
      parse(piece)
      if (connection.newest !== newest) setHeadBytes(connection, 0)
      else if (inHead && connections.has(socket)) setHeadBytes(connection, connection.headBytes + piece.length)
      keepWithinHeadBytes()
    }
    const read = (chunk: Buffer) => {
      let rest = chunk
      connection.unparsedBytes = 0
      if (!socket.writable) return socket.destroySoon() // Its last answer is on its way; nothing that follows can be answered.
      while (rest.length > 0 && !isPaused && socket.writable) {
        const count = mayRead(connection)
        if (count === 0) {
          hold(connection)
          break
        }
        const end = endOfPiece(rest, count)
        parsePiece(rest.subarray(0, end))
        rest = rest.subarray(end)
        if (!connections.has(socket)) return rest.length > 0 ? void socket.destroy() : undefined // Closed or upgraded; nobody sends ahead of the answer to an upgrade.
      }
      if (rest.length === 0 || !socket.writable) return
      pause()
      connection.unparsedBytes = rest.length
      socket.unshift(withoutSurplus(rest))
      startChecks()
    }
    socket.pause = () => {
      isPaused = true
      return pause()
    }
    socket.resume = () => {
      isPaused = false
      return held.has(connection) ? socket : resume()
    }
    connection.resume = () => {
      if (!isPaused) resume()
    }
    connection.leave = () => {
      socket.off('data', read)
      Object.assign(socket, { pause: pauseStream, resume: resumeStream })
    }
    socket.on('data', read)
    socket.off('data', parse)
  }
  const admit = (socket: Socket, maxRequests: number) => {
    if (connections.size >= bounds.clientConnections) {
      const surplus = findSurplus(measured())
      if (surplus !== undefined) closeConnection(surplus, 'clientConnections')
      else {
        metrics.count(`client_connections_refused_total{group="${group}"}`)
        states.reach('clientConnections')
        startChecks()
        return void socket.resetAndDestroy()
      }
    }
    const connection: Connection = {
      socket, responses: new Set(), newest: undefined, maxRequests, requests: 0, answerBytes: 0, unparsedBytes: 0, headBytes: 0, readAt: clock.now(), resume: () => {}, leave: () => {}
    }
    connections.set(socket, connection)
    socket.once('close', () => forget(socket))
    readInPieces(connection)
  }
  metrics.gauge(`client_connections{group="${group}"}`, () => connections.size)
  metrics.gauge(`client_requests{group="${group}"}`, () => totalRequests)
  metrics.gauge(`client_head_bytes{group="${group}"}`, () => totalHeadBytes)
  return {
    createServer (options, listener, connectionRequests = Infinity) {
      const maxRequests = Math.min(bounds.connectionRequests, connectionRequests)
      return createNodeServer({ ...options, highWaterMark: bounds.connectionBytes, ServerResponse: CountedResponse }, listener)
        .on('connection', (socket: Socket) => admit(socket, maxRequests))
    },
    held: () => ({ requests: totalRequests, bytes: totalBytes, headBytes: totalHeadBytes }),
    hasUnparsed: (socket) => (connections.get(socket)?.unparsedBytes ?? 0) > 0,
    release (socket) {
      connections.get(socket)?.leave()
      forget(socket)
    }
  }
}

/** Creates the clients of a process, whose groups share the bounds on what is held. */
export function createProcessClients (bounds: ClientBounds, environment: { clock: Clock, log: Log, metrics: Metrics }): ProcessClients {
  const callers = createClients(bounds, environment, 'callers', () => peers.held())
  const peers: Clients = createClients(bounds, environment, 'peers', () => callers.held())
  return { callers, peers }
}
