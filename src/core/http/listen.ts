import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { splitAddress } from '../rpc/index.ts'

/** Starts a server on host:port and returns the address in use; port 0 lets the system choose. */
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

/** Time that callers have to close their connections after the last answer, in milliseconds. */
const lingerMs = 200

/** Stops accepting connections and waits until the last answer was sent, for a short while. */
export function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    const ending = setTimeout(() => server.closeAllConnections(), lingerMs)
    server.close(() => {
      clearTimeout(ending)
      resolve()
    })
    server.closeIdleConnections()
  })
}
