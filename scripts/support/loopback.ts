import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** Second octets of the networks. */
const networks = [...Array(121).keys()].map((index) => 130 + index)

/** Address and port within a network that its holder listens on. */
const lockHost = '255.254'
const lockPort = 20_999

/** First port that is counted within a network; below those that the system gives to connections. */
const firstPort = 21_000

/** A block of 127.0.0.0/8 that no other environment of stand-ins uses. */
export interface LoopbackNetwork {
  /** Returns the address of a machine in one of the groups 0 to 199. */
  host: (group: number, number: number) => string
  /** Returns a port that this network has not given yet. `count` ports from it on are reserved. */
  nextPort: (count?: number) => number
  /** Returns the network to others. The end of the process does so, too. */
  release: () => Promise<void>
}

/** Listens on the lock of a network. Resolves undefined when another holder does. */
function lock (network: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer((socket) => socket.destroy())
    server.once('error', (error: NodeJS.ErrnoException) => error.code === 'EADDRINUSE' ? resolve(undefined) : reject(error))
    server.listen({ host: `127.${network}.${lockHost}`, port: lockPort, exclusive: true }, () => resolve(server.unref()))
  })
}

/** Takes one of the networks that nobody holds. It is held by a listener, so that a killed process leaves nothing behind. */
export async function takeLoopbackNetwork (candidates: readonly number[] = networks): Promise<LoopbackNetwork> {
  const offset = Math.floor(Math.random() * candidates.length)
  for (const network of [...candidates.slice(offset), ...candidates.slice(0, offset)]) {
    const holder = await lock(network)
    if (holder !== undefined) return createNetwork(network, holder)
  }
  throw new Error(`all ${candidates.length} loopback networks are taken`)
}

function createNetwork (network: number, holder: Server): LoopbackNetwork {
  let port = firstPort
  return {
    host: (group, number) => `127.${network}.${group}.${number}`,
    nextPort (count = 1) {
      port += count
      return port - count
    },
    release: () => new Promise((resolve) => holder.close(() => resolve()))
  }
}
