import { request as httpRequest } from 'node:http'
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { parseAddress } from '../address/index.ts'
import type { Sealer } from '../auth/index.ts'
import type { Clock } from '../clock/index.ts'
import { signatureHeader } from '../rpc/index.ts'
import { channelPath, connectTimeoutMs, freshHeader, protocolName, receivedHeader, sessionHeader } from './constants.ts'

const unknownSessionStatus = 404

/** Handshake of a dialer: the session that a connection belongs to and its state. */
export interface Handshake {
  session: string
  /** Number of frames of the session that the dialer has received. */
  received: number
  /** The session begins with this connection. */
  fresh: boolean
}

/** Result of an attempt to open a connection. */
export type Dialed =
  /** `received` counts the frames that the other side has received. */
  | { type: 'connected', socket: Socket, head: Buffer, received: number }
  /** Nothing listens at the address. */
  | { type: 'refused' }
  /** The other side does not know the session: the process was restarted, or the session has ended there. */
  | { type: 'unknown-session' }
  | { type: 'failed' }

function signedText ({ session, received, fresh }: Handshake): string {
  return `dial ${session} ${received} ${fresh}`
}

function signedReply (session: string, received: string): string {
  return `accept ${session} ${received}`
}

function headersOf (handshake: Handshake, sealer: Sealer, clock: Clock): Record<string, string> {
  return {
    connection: 'Upgrade',
    upgrade: protocolName,
    [sessionHeader]: handshake.session,
    [receivedHeader]: String(handshake.received),
    [freshHeader]: String(handshake.fresh),
    [signatureHeader]: sealer.seal(signedText(handshake), clock.date())
  }
}

function verifyReply (session: string, headers: IncomingHttpHeaders, sealer: Sealer, clock: Clock): number | undefined {
  const received = String(headers[receivedHeader])
  return sealer.open(String(headers[signatureHeader]), signedReply(session, received), clock.date()) ? Number(received) : undefined
}

/** Opens a connection for a session. Both sides prove that they know the cluster secret. An address that is no IP:PORT counts as refused. */
export function dialSession (address: string, handshake: Handshake, sealer: Sealer, clock: Clock): Promise<Dialed> {
  const to = parseAddress(address)
  if (to === undefined) return Promise.resolve({ type: 'refused' })
  return new Promise((resolve) => {
    const request = httpRequest({ ...to, path: channelPath, agent: false, headers: headersOf(handshake, sealer, clock) })
    const timeout = setTimeout(() => request.destroy(new Error('no connection in time')), connectTimeoutMs)
    const finish = (dialed: Dialed) => {
      clearTimeout(timeout)
      resolve(dialed)
    }
    request.on('upgrade', (response, stream, head) => {
      const socket = stream as Socket
      const received = verifyReply(handshake.session, response.headers, sealer, clock)
      if (received === undefined) socket.destroy()
      finish(received === undefined ? { type: 'failed' } : { type: 'connected', socket, head, received })
    })
    request.on('response', (response) => {
      response.resume()
      finish({ type: response.statusCode === unknownSessionStatus ? 'unknown-session' : 'failed' })
    })
    request.on('error', (error: NodeJS.ErrnoException) => finish({ type: error.code === 'ECONNREFUSED' ? 'refused' : 'failed' }))
    request.end()
  })
}

/** Returns the handshake of a dialer, or undefined if it is malformed or not signed with the cluster secret. */
export function readHandshake (request: IncomingMessage, sealer: Sealer, clock: Clock): Handshake | undefined {
  const { headers } = request
  const handshake = { session: String(headers[sessionHeader]), received: Number(headers[receivedHeader]), fresh: headers[freshHeader] === 'true' }
  const isValid = headers.upgrade === protocolName && request.url === channelPath && Number.isSafeInteger(handshake.received)
  return isValid && sealer.open(String(headers[signatureHeader]), signedText(handshake), clock.date()) ? handshake : undefined
}

/** Accepts a connection for a session of which this side has received `received` frames. */
export function acceptHandshake (socket: Socket, session: string, received: number, sealer: Sealer, clock: Clock): void {
  const signature = sealer.seal(signedReply(session, String(received)), clock.date())
  const lines = ['HTTP/1.1 101 Switching Protocols', 'connection: Upgrade', `upgrade: ${protocolName}`, `${receivedHeader}: ${received}`, `${signatureHeader}: ${signature}`]
  socket.write(`${lines.join('\r\n')}\r\n\r\n`)
}

/** Refuses a connection. */
export function refuseHandshake (socket: Socket, reason: 'unauthorized' | 'unknown-session'): void {
  const status = reason === 'unauthorized' ? '401 Unauthorized' : `${unknownSessionStatus} Not Found`
  socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
}
