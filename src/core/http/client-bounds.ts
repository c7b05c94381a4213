/** Bounds for what a process holds for its clients. */
export interface ClientBounds {
  /** Connections of clients, over all listeners. */
  clientConnections: number
  /** Requests that were read and are not answered yet, over all connections. */
  clientRequests: number
  /** The same for each connection. */
  connectionRequests: number
  /** Bytes of answers that were not taken and of requests that were received and not parsed, over all connections. */
  clientBytes: number
  /** Bytes of heads that are not whole, over all connections. */
  clientHeadBytes: number
  /** Bytes of answers that were not taken from which a connection is not read. */
  connectionBytes: number
}

/** Memory of a request that was read and is not answered, in bytes. */
const requestCostBytes = 8 * 1024

/** Memory of each byte of a head that is not whole, in bytes. Short fields take several times their size. */
const headCost = 8

/** What is held for a connection from which on it counts as the cause of a shortage, in bytes: more than a client with a few requests needs. */
const largeHoldingBytes = 16 * requestCostBytes

/** What a process holds for one connection. */
export interface Holding {
  /** Requests that were read and are not answered. */
  requests: number
  /** Bytes of answers that were not taken. */
  answerBytes: number
  /** Bytes that were received and are not parsed. */
  unparsedBytes: number
  /** Bytes of a head that is not whole. */
  headBytes: number
  /** Monotonic time in ms at which something was last read from the connection. */
  readAt: number
}

/** What a group of clients holds against the bounds that it shares with others. */
export interface HeldTotals {
  requests: number
  bytes: number
  headBytes: number
}

/** Part of a shared bound that a group of clients is sure of, whatever others hold: callers must not be able to stop what processes say to each other. */
const surePart = 0.5

/** Returns how much of a bound a group may hold while others hold `others` of it. */
export function shareOfBound (bound: number, others: number): number {
  return Math.max(surePart * bound, bound - others)
}

/** Returns the bytes that count against `clientBytes`. */
export function boundedBytes ({ answerBytes, unparsedBytes }: Holding): number {
  return answerBytes + unparsedBytes
}

function totalBytes (holding: Holding): number {
  return boundedBytes(holding) + holding.headBytes * headCost + holding.requests * requestCostBytes
}

/** Requests that are parsed before the bounds are looked at again, at most. */
const maxPieceRequests = 8

/**
 * Returns the number of further requests that may be read from a connection now. A connection without a request may always send one, so that every client
 * is served whatever others hold.
 */
export function readableRequests ({ requests }: Holding, totalRequests: number, { connectionRequests, clientRequests }: Pick<ClientBounds, 'connectionRequests' | 'clientRequests'>): number {
  const room = Math.min(connectionRequests - requests, clientRequests - totalRequests, maxPieceRequests)
  return Math.max(room, requests === 0 ? 1 : 0)
}

/** Returns the connection for which most is held, by `bytesOf`, or undefined if nothing is held for any. */
export function findLargest<Connection extends Holding> (connections: Iterable<Connection>, bytesOf: (holding: Holding) => number = totalBytes): Connection | undefined {
  let largest: Connection | undefined
  let largestBytes = 0
  for (const connection of connections) {
    const bytes = bytesOf(connection)
    if (bytes <= largestBytes) continue
    largest = connection
    largestBytes = bytes
  }
  return largest
}

/**
 * Returns the connection to close where there is one too many: the one for which most is held, if that is much; else the one that has been idle for longest.
 * Returns undefined if neither exists.
 */
export function findSurplus<Connection extends Holding> (connections: readonly Connection[]): Connection | undefined {
  const largest = findLargest(connections)
  if (largest !== undefined && totalBytes(largest) >= largeHoldingBytes) return largest
  let idle: Connection | undefined
  for (const connection of connections) {
    if (totalBytes(connection) === 0 && connection.readAt < (idle?.readAt ?? Infinity)) idle = connection
  }
  return idle
}
