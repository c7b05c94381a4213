import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

/** Requests of one connection that are in progress at once. Further ones wait. */
export const maxInProgress = 8

/** Status lines for requests that cannot be read, by the error code of Node's HTTP parser. None of them has run. */
const unreadableStatuses: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Returns the answer to a request that cannot be read. */
function unreadableAnswer (code: string): string {
  return `HTTP/1.1 ${unreadableStatuses[code] ?? '400 Bad Request'}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
}

/** Error codes of connections that their client has reset. */
const resetCodes = new Set(['ECONNRESET', 'EPIPE'])

/** The requests of one connection, in the order in which they were sent. */
interface Line {
  inProgress: Set<ServerResponse>
  waiting: Array<{ request: IncomingMessage, response: ServerResponse, readAt: number }>
  /** A request before asked for the end of the connection, or the connection has ended. Nothing more is served. */
  closed: boolean
  /** The newest response, if it is to close the connection because the server stops. It no longer is when a request follows before its head is written. */
  closing: ServerResponse | undefined
  /** Bytes that follow the last answer, before the connection is closed. */
  lastBytes: string | undefined
}

/** Serves the requests of each connection, of which clients may send several before the first is answered. */
export interface Pipeline {
  /** Handles the `request` event of an HTTP server. */
  accept: (request: IncomingMessage, response: ServerResponse) => void
  /** Handles the `clientError` event of an HTTP server. */
  reject: (error: NodeJS.ErrnoException, socket: Duplex) => void
}

/** Options of a pipeline. */
export interface PipelineOptions {
  /** Serves one request that was read at `readAt`, in ms. It has ended when its response has closed. */
  serve: (request: IncomingMessage, response: ServerResponse, readAt: number) => void
  /** Returns the monotonic time in ms. */
  now: () => number
  /** Returns true when each connection is to be closed with its last answer. */
  isStopping: () => boolean
  /** Returns true while bytes of a connection were received that its requests do not include yet. Default: never. */
  hasUnparsed?: (socket: Duplex) => boolean
  /** Records a request that was read but is not served, because an answer before its own closes the connection. */
  leaveUnserved: (request: IncomingMessage) => void
}

/**
 * Creates the pipelines of an HTTP server, which itself keeps the answers of a connection in the order of its requests.
 * A stop closes each connection with the answer to the last request that was read from it. What follows a closing answer is not served, so its client
 * may send it again.
 */
export function createPipeline ({ serve, now, isStopping, hasUnparsed = () => false, leaveUnserved }: PipelineOptions): Pipeline {
  const lines = new WeakMap<Duplex, Line>()

  const lineOf = (socket: Duplex): Line => {
    const known = lines.get(socket)
    if (known !== undefined) return known
    const line: Line = { inProgress: new Set(), waiting: [], closed: false, closing: undefined, lastBytes: undefined }
    lines.set(socket, line)
    socket.once('close', () => closeLine(line))
    return line
  }
  /** Ends what is left of a closed connection. Responses that wait for their turn are not attached to it and would not notice. */
  const closeLine = (line: Line) => {
    line.closed = true
    line.waiting = []
    for (const response of line.inProgress) if (response.socket === null) response.emit('close')
  }
  const start = (line: Line, socket: Duplex, { request, response, readAt }: Line['waiting'][number]) => {
    if (!response.shouldKeepAlive) {
      line.closed = true
      line.waiting = []
    } else if (isStopping() && line.waiting.length === 0 && !hasUnparsed(socket)) {
      response.setHeader('connection', 'close')
      line.closing = response
    }
    line.inProgress.add(response)
    response.once('close', () => finish(line, socket, response))
    serve(request, response, readAt)
  }
  /** Keeps a connection open for a further request. Returns false when its last answer has begun. */
  const keepOpen = (line: Line): boolean => {
    if (line.closed || line.closing?.headersSent === true) return false
    line.closing?.removeHeader('connection')
    line.closing = undefined
    return true
  }
  const finish = (line: Line, socket: Duplex, response: ServerResponse) => {
    line.inProgress.delete(response)
    startWaiting(line, socket)
    if (line.lastBytes !== undefined && line.inProgress.size === 0 && line.waiting.length === 0) sendLastBytes(line, socket)
  }
  const startWaiting = (line: Line, socket: Duplex) => {
    if (socket.destroyed) return closeLine(line)
    while (line.inProgress.size < maxInProgress) {
      const next = line.waiting.shift()
      if (next === undefined) break
      start(line, socket, next)
    }
  }
  /**
   * Ends the request that the parser cannot read to its end. It has not been run, and the answer to the rest of the connection is also its own.
   * Node ends it with its connection only, which would wait for it.
   */
  const dropUnfinished = (line: Line) => {
    if (line.waiting.at(-1)?.request.complete === false) line.waiting.pop()
    for (const response of line.inProgress) if (!response.req.complete && !response.headersSent) response.emit('close')
  }
  const sendLastBytes = (line: Line, socket: Duplex) => {
    if (socket.writable) socket.end(line.lastBytes)
    else socket.destroy()
  }
  return {
    accept (request, response) {
      const { socket } = request
      const line = lineOf(socket)
      if (!keepOpen(line)) return leaveUnserved(request)
      const arrived = { request, response, readAt: now() }
      if (line.waiting.length === 0 && line.inProgress.size < maxInProgress) return start(line, socket, arrived)
      line.waiting.push(arrived)
    },
    reject (error, socket) {
      const code = error.code ?? ''
      if (resetCodes.has(code) || !socket.writable) return void socket.destroy()
      const line = lineOf(socket)
      dropUnfinished(line)
      line.lastBytes = unreadableAnswer(code)
      if (line.inProgress.size === 0 && line.waiting.length === 0) sendLastBytes(line, socket)
    }
  }
}
