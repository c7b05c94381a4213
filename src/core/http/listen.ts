import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { splitAddress } from '../rpc/index.ts'

/** Starts a server on host:port and resolves with the bound address. Port 0 lets the system choose a port. */
export function listen (server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.removeListener('error', reject)
      const bound = server.address() as AddressInfo
      resolve(`${bound.address}:${bound.port}`)
    })
  })
}

/** Time after which connections that are still open are closed, in milliseconds. */
const closeGraceMs = 200

/** Stops accepting connections and waits at most `closeGraceMs` for the last responses before it closes the rest. */
export function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    const forceCloseTimer = setTimeout(() => server.closeAllConnections(), closeGraceMs)
    server.close(() => {
      clearTimeout(forceCloseTimer)
      resolve()
    })
    server.closeIdleConnections()
  })
}
