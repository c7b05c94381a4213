import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { splitAddress } from '../rpc/index.ts'
import { readArrived } from '../turns/index.ts'

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

/**
 * Stops accepting connections and waits at most `closeGraceMs` for the last responses before it closes the rest. A connection without a request counts as idle
 * until its bytes are read: they are, before any connection is closed.
 */
export async function closeServer (server: Server): Promise<void> {
  await readArrived(server)
  const closed = new Promise<void>((resolve) => server.close(() => resolve()))
  server.closeIdleConnections()
  await endsWithin(closed, closeGraceMs)
  await readArrived(server)
  server.closeAllConnections()
  await closed
}

/** Resolves when a promise does, or after a time in ms. */
async function endsWithin (ended: Promise<void>, ms: number): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms)
  })
  await Promise.race([ended, timeout])
  clearTimeout(timer)
}
