import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Sealer } from '../auth/index.ts'
import type { Clock } from '../clock/index.ts'
import { acceptorAcknowledgeMs, disconnectGraceMs, sessionRetentionMs } from './constants.ts'
import { acceptHandshake, readHandshake, refuseHandshake } from './handshake.ts'
import { createSession } from './session.ts'
import type { StreamAcceptor, Session } from './session.ts'

/** Dependencies of a session server. */
export interface AcceptorContext {
  sealer: Sealer
  clock: Clock
  accept: StreamAcceptor
  /** Called with the bytes that were written to the process at the host `address`. */
  onSent: (address: string, bytes: number) => void
}

/** Accepts the sessions that other processes dial. */
export interface SessionServer {
  /** Handles the `upgrade` event of the peer listener. */
  upgrade: (request: IncomingMessage, socket: Socket, head: Buffer) => void
  /** Returns true while a connected dialer has not been sent all that its streams are to receive. */
  isSending: () => boolean
  /** Ends all sessions. A connection that is opened afterwards is closed, because it would keep the peer listener from closing. */
  close: () => void
}

/** A session of a dialer, with the timer that ends it after its connection is lost. */
interface AcceptedSession {
  session: Session
  expiryTimer: NodeJS.Timeout | undefined
}

/** Creates a session server. */
export function createSessionServer ({ sealer, clock, accept, onSent }: AcceptorContext): SessionServer {
  const sessions = new Map<string, AcceptedSession>()
  let closed = false
  const remove = (id: string) => {
    const accepted = sessions.get(id)
    if (accepted === undefined) return
    sessions.delete(id)
    clearTimeout(accepted.expiryTimer)
    accepted.session.close()
  }
  /**
   * Schedules the end of a session without a connection. A running dialer reconnects at once. The streams are therefore
   * soon notified that the dialer is disconnected, but unacknowledged frames are kept longer for a late reconnect.
   */
  const scheduleExpiry = (id: string, accepted: AcceptedSession) => {
    if (sessions.get(id) !== accepted) return
    accepted.expiryTimer = setTimeout(() => {
      accepted.session.notifyDialerDisconnected()
      accepted.expiryTimer = setTimeout(() => remove(id), sessionRetentionMs - disconnectGraceMs)
    }, disconnectGraceMs)
  }
  const createAcceptedSession = (id: string, host: string): AcceptedSession => {
    const events = { disconnected: () => scheduleExpiry(id, accepted), ended () {}, accept, sent: (bytes: number) => onSent(host, bytes) }
    const accepted: AcceptedSession = { session: createSession(clock, events, acceptorAcknowledgeMs), expiryTimer: undefined }
    return accepted
  }
  return {
    upgrade (request, socket, head) {
      socket.on('error', () => socket.destroy())
      if (closed) return void socket.destroy()
      const handshake = readHandshake(request, sealer, clock)
      if (handshake === undefined) return refuseHandshake(socket, 'unauthorized')
      const { session: id, received, fresh } = handshake
      const accepted = sessions.get(id) ?? (fresh ? createAcceptedSession(id, socket.remoteAddress ?? '') : undefined)
      if (accepted === undefined) return refuseHandshake(socket, 'unknown-session')
      sessions.set(id, accepted)
      clearTimeout(accepted.expiryTimer)
      acceptHandshake(socket, id, accepted.session.pauseReading(), sealer, clock)
      if (accepted.session.attach(socket, head, received)) return
      socket.destroy()
      remove(id)
    },
    isSending: () => [...sessions.values()].some(({ session }) => session.isSending()),
    close () {
      closed = true
      for (const id of [...sessions.keys()]) remove(id)
    }
  }
}
