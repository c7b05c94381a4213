import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** Error code of a reset connection, in place of the system's ECONNRESET. */
export const resetCode = 'ERR_CONNECTION_RESET'

/** Data written to a peer that has closed its side. HTTP servers skip empty lines between requests. */
const emptyLine = '\r\n'

const lineFeed = 0x0a

/** Longest status line of a response, as the parser's limit of all headers. */
const maxStatusLineBytes = 16_384

function renameReset (error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = resetCode
}

/**
 * Breaks a connection in place of its `end` event when the other side ended it before the request was written. A response without a length that ends so may be a
 * part: nothing tells it from one that its sender gave up. What was received is handed out first, which completes a response with a length.
 * Returns whether the end has come so early.
 */
function breakEarlyEnd (socket: Socket): () => boolean {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean
  const push = socket.push.bind(socket)
  let isEarly = false
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    isEarly ||= chunk === null && socket.writableLength > 0
    return push(chunk, encoding)
  }
  socket.emit = (event: string, ...values: unknown[]): boolean => {
    if (event !== 'end' || !isEarly) return emit(event, ...values)
    socket.destroy(new Error('the other side ended the connection before it had the whole request'))
    return true
  }
  return () => isEarly
}

/**
 * Delays the `end` event of a connection until a write has succeeded. When the last bytes and a reset arrive
 * together, libuv reports a plain end after the bytes. A write fails on such a connection and succeeds on
 * one that the peer closed normally.
 */
function confirmEnd (socket: Socket, hasEndedEarly: () => boolean): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean
  let isConfirming = false
  socket.emit = (event: string, ...values: unknown[]): boolean => {
    if (event !== 'end' || isConfirming || !socket.writable || hasEndedEarly()) return emit(event, ...values)
    isConfirming = true
    return socket.write(emptyLine, (error) => {
      if (error === null || error === undefined) emit('end')
    })
  }
}

/**
 * Holds the `end` event of a connection back while its reader pauses: its last `read` returned bytes, and it has not asked for more. Node reports the end once all
 * bytes are handed out. undici would finish an answer whose receiver pauses, which fails an assertion outside of any request and ends the process.
 */
function holdEndWhilePaused (socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null
  let isPaused = false
  let isHeld = false
  const emitEnd = (): boolean => {
    const hasListeners = emit('end')
    if (socket.writable) socket.end()
    return hasListeners
  }
  socket.emit = (event: string, ...values: unknown[]): boolean => {
    if (event !== 'end') return emit(event, ...values)
    if (!isPaused) return emitEnd()
    isHeld = true
    return true
  }
  socket.read = (size?: number): Buffer | null => {
    const chunk = read(size)
    if (size === 0) return chunk // Node itself asks the system for bytes.
    isPaused = chunk !== null
    if (isHeld && !isPaused) {
      isHeld = false
      process.nextTick(() => socket.destroyed || emitEnd()) // The reader first handles what it has.
    }
    return chunk
  }
}

/**
 * Breaks a connection whose response does not end its status line within `maxStatusLineBytes`. The parser bounds header lines, but skips
 * a status line of any length. A response begins with the first bytes after a write.
 */
function boundStatusLine (socket: Socket): void {
  const write = socket.write.bind(socket) as (...values: unknown[]) => boolean
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null
  let isInStatusLine = false
  let lineBytes = 0
  socket.write = (...values: unknown[]): boolean => {
    isInStatusLine = true
    lineBytes = 0
    return write(...values)
  }
  socket.read = (size?: number): Buffer | null => {
    const chunk = read(size)
    if (chunk === null || !isInStatusLine) return chunk
    isInStatusLine = !chunk.includes(lineFeed)
    lineBytes += chunk.length
    if (!isInStatusLine || lineBytes <= maxStatusLineBytes) return chunk
    socket.destroy(new Error(`the status line exceeds ${maxStatusLineBytes} bytes`))
    return null
  }
}

/**
 * Creates a connector whose connections report a reset as a failure in every state. undici treats ECONNRESET
 * as the end of a response without a length, which would make a truncated response look complete. The
 * listener that renames the code is prepended, because undici's own listener compares the code. Status lines are bounded. An end before the request is
 * written is a failure too.
 * A connection stays half open until its end has been reported; Node would destroy it while the report is held back.
 */
export function createConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs, allowHalfOpen: true })
  return (options, callback) => connect(options, (...result) => {
    const [error, socket] = result
    if (error === null) {
      socket.prependListener('error', renameReset)
      const hasEndedEarly = breakEarlyEnd(socket)
      holdEndWhilePaused(socket)
      confirmEnd(socket, hasEndedEarly)
      boundStatusLine(socket)
    }
    callback(...result)
  })
}
