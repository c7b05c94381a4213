import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** What a proxy does to the connections through it. */
export type LinkState =
  | { kind: 'pass' }
  /** Passes data on in both directions after a delay. */
  | { kind: 'delay', ms: number }
  /** Resets all connections, and new ones once they are accepted. */
  | { kind: 'reset' }
  /** Passes on what clients send and drops what the server sends. */
  | { kind: 'one-way' }
  /** Passes on nothing, and leaves the connections open. */
  | { kind: 'silence' }
  /** Answers each request itself with a head that never ends. */
  | { kind: 'endless-head' }
  /** Answers each request itself with a body that never ends. */
  | { kind: 'endless-body' }

/** A TCP proxy on loopback between clients and one server. */
export interface Proxy {
  address: string
  /** Sets the server, which may be another process after a restart. */
  setServer: (address: string) => void
  setState: (state: LinkState) => void
  close: () => void
}

const endlessIntervalMs = 5
const endlessPiece = 'x-more: and more\r\n'.repeat(50)
const endlessStarts = {
  'endless-head': 'HTTP/1.1 200 OK\r\n',
  'endless-body': 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n'
}

/** Writes to a client without end, until it closes the connection. */
function writeEndlessly (client: Socket, start: string): void {
  client.write(start)
  const timer = setInterval(() => {
    if (client.writableLength < endlessPiece.length) client.write(endlessPiece)
  }, endlessIntervalMs)
  client.once('close', () => clearInterval(timer))
}

/** Starts a proxy that passes data on. */
export async function startProxy (): Promise<Proxy> {
  let state: LinkState = { kind: 'pass' }
  let server = ''
  const clients = new Set<Socket>()

  const passOn = (to: Socket, chunk: Buffer) => {
    if (state.kind === 'delay') setTimeout(() => to.write(chunk), state.ms)
    else to.write(chunk)
  }
  const receiveFromClient = (client: Socket, upstream: Socket, chunk: Buffer) => {
    if (state.kind === 'silence') return
    if (state.kind === 'endless-head' || state.kind === 'endless-body') return writeEndlessly(client, endlessStarts[state.kind])
    passOn(upstream, chunk)
  }
  const accept = (client: Socket) => {
    client.on('error', () => {})
    if (state.kind === 'reset') return void client.resetAndDestroy()
    const [host, port] = server.split(':')
    const upstream = connect(Number(port), host)
    clients.add(client)
    upstream.on('error', () => client.resetAndDestroy())
    client.on('data', (chunk) => receiveFromClient(client, upstream, chunk))
    upstream.on('data', (chunk) => {
      if (state.kind === 'pass' || state.kind === 'delay') passOn(client, chunk)
    })
    upstream.once('close', () => client.destroySoon())
    client.once('close', () => {
      clients.delete(client)
      upstream.destroySoon()
    })
  }
  const listener = createServer({ noDelay: true }, accept)
  await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
    setServer: (address) => void (server = address),
    setState (next) {
      state = next
      if (next.kind === 'reset') for (const client of clients) client.resetAndDestroy()
    },
    close () {
      listener.close()
      for (const client of clients) client.destroy()
    }
  }
}
