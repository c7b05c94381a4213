import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** Code that a reset connection's error gets, in place of the system's. */
export const resetCode = 'ERR_CONNECTION_RESET'

/** Sent to a peer that has closed its side: HTTP servers skip empty lines between requests. */
const emptyLine = '\r\n'

function renameReset (error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = resetCode
}

/**
 * Lets a connection report its end only after a write went through. When the last bytes and a reset
 * lie ready together, the event loop's library reports a plain end after the bytes; a write fails on such a
 * connection and succeeds on one that the peer closed in order.
 */
function confirmEnd (socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean
  let asked = false
  socket.emit = (event: string, ...values: unknown[]): boolean => {
    if (event !== 'end' || asked || !socket.writable) return emit(event, ...values)
    asked = true
    return socket.write(emptyLine, (error) => {
      if (error === null || error === undefined) emit('end')
    })
  }
}

/**
 * Creates a connector whose connections report a reset as a failure in every state. The client library
 * takes a reset for the end of an answer without a length, which would make a broken answer look whole.
 * Its own listener runs after this one and compares the code.
 */
export function createConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    const [error, socket] = result
    if (error === null) {
      socket.prependListener('error', renameReset)
      confirmEnd(socket)
    }
    callback(...result)
  })
}
