import { buildConnector } from 'undici'

/** Code that a reset connection's error gets, in place of the system's. */
export const resetCode = 'ERR_CONNECTION_RESET'

function renameReset (error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = resetCode
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
    if (error === null) socket.prependListener('error', renameReset)
    callback(...result)
  })
}
