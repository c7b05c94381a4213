import { randomId } from '../auth/index.ts'
import type { Sealer } from '../auth/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { dialerAcknowledgeMs, silenceCheckMs, firstRedialMs, lastRedialMs, maxSessionsPerPeer, probeAnswerMs, probeMs, stalledMs } from './constants.ts'
import { dialSession } from './handshake.ts'
import { createSession } from './session.ts'
import type { Session } from './session.ts'
import { noopListener } from './types.ts'
import type { Stream, StreamListener } from './types.ts'

/** Dependencies of a dialer. */
export interface DialerContext {
  sealer: Sealer
  clock: Clock
  metrics: Metrics
  /** Called when a connection to the process at `address` did not open in time or failed, including one that replaces a silent connection. */
  onConnectionFailed: (address: string) => void
  /** Called with the bytes that were written to the process at `address`. */
  onSent: (address: string, bytes: number) => void
}

/** Opens streams to other processes over at most `maxSessionsPerPeer` sessions to each. */
export interface Dialer {
  /** Opens a stream. `openingOnly` means that this side sends nothing after the opening. */
  open: (address: string, opening: unknown, openingOnly: boolean, listener: StreamListener) => Stream
  /** Probes all connections to the process at `address` at once, after others could not reach it. */
  probeAddress: (address: string) => void
  close: () => void
}

/** A session to one address, with the state of its dialing. */
interface PeerSession {
  address: string
  id: string
  session: Session
  dialing: boolean
  /** The other side has accepted the session. */
  accepted: boolean
  /** Delay before the next attempt to connect, in ms. */
  redialDelayMs: number
  redialTimer: NodeJS.Timeout | undefined
  /** Monotonic time of a probe that was not answered yet. */
  probedAt: number | undefined
  closed: boolean
}

/** Creates a dialer. */
export function createDialer ({ sealer, clock, metrics, onConnectionFailed, onSent }: DialerContext): Dialer {
  const peerSessions = new Map<string, PeerSession[]>()

  const discard = (peer: PeerSession) => {
    if (peer.closed) return
    peer.closed = true
    clearTimeout(peer.redialTimer)
    const others = (peerSessions.get(peer.address) ?? []).filter((other) => other !== peer)
    if (others.length > 0) peerSessions.set(peer.address, others)
    else peerSessions.delete(peer.address)
    peer.session.close()
  }
  const dial = async (peer: PeerSession): Promise<void> => {
    if (peer.dialing || peer.closed) return
    peer.dialing = true
    clearTimeout(peer.redialTimer)
    metrics.count('channel_dials_total')
    const dialed = await dialSession(peer.address, { session: peer.id, received: peer.session.pauseReading(), fresh: !peer.accepted }, sealer, clock)
    peer.dialing = false
    if (dialed.type === 'connected') {
      if (!peer.closed && attach(peer, dialed)) return
      dialed.socket.destroy()
    }
    if (dialed.type !== 'failed') return discard(peer)
    peer.session.resumeReading()
    dialLater(peer)
  }
  const attach = (peer: PeerSession, { socket, head, received }: Extract<Awaited<ReturnType<typeof dialSession>>, { type: 'connected' }>): boolean => {
    peer.accepted = true
    peer.redialDelayMs = firstRedialMs
    peer.probedAt = undefined
    return peer.session.attach(socket, head, received)
  }
  /**
   * Schedules the next attempt to connect. Ends the streams of which nothing was sent, because these may be retried elsewhere.
   * The others wait, because their answers may still arrive.
   */
  const dialLater = (peer: PeerSession) => {
    if (peer.closed) return
    peer.session.dropUnsent()
    onConnectionFailed(peer.address)
    if (peer.session.size() === 0) return discard(peer)
    peer.redialTimer = setTimeout(() => void dial(peer), peer.redialDelayMs)
    peer.redialDelayMs = Math.min(lastRedialMs, 2 * peer.redialDelayMs)
  }
  const createPeerSession = (address: string): PeerSession => {
    const session = createSession(clock, {
      sent: (bytes) => onSent(address, bytes),
      disconnected () {
        if (peer.session.size() === 0) discard(peer)
        else void dial(peer)
      },
      ended: () => discard(peer),
      accept (_opening, stream) {
        stream.reset()
        return noopListener
      }
    }, dialerAcknowledgeMs)
    const peer: PeerSession = { address, id: randomId(), session, dialing: false, accepted: false, redialDelayMs: firstRedialMs, redialTimer: undefined, probedAt: undefined, closed: false }
    return peer
  }
  /** Returns the first session that is not stalled, otherwise a new one if the limit allows it, otherwise the least stalled one. */
  const sessionFor = (address: string): PeerSession => {
    const existing = peerSessions.get(address) ?? []
    const available = existing.find(({ session }) => session.stallMs() < stalledMs)
    if (available !== undefined) return available
    if (existing.length >= maxSessionsPerPeer) return existing.reduce((best, peer) => peer.session.stallMs() < best.session.stallMs() ? peer : best)
    const peer = createPeerSession(address)
    peerSessions.set(address, [...existing, peer])
    void dial(peer)
    return peer
  }
  /** Probes a connection that is silent while streams are open, and opens a new one if the probe is not answered. */
  const checkSilence = (peer: PeerSession) => {
    const { session } = peer
    if (!session.isConnected() || session.size() === 0) return
    const now = clock.now()
    const silence = session.silenceMs()
    if (peer.probedAt !== undefined && now - silence >= peer.probedAt) peer.probedAt = undefined
    if (peer.probedAt !== undefined) {
      if (now - peer.probedAt > probeAnswerMs) void dial(peer)
      return
    }
    if (silence >= probeMs) probe(peer)
  }
  const probe = (peer: PeerSession) => {
    peer.probedAt ??= clock.now()
    peer.session.probe()
  }
  let timer: NodeJS.Timeout | undefined
  /** Checks the sessions at intervals while any of them has open streams. */
  const checkSessions = () => {
    timer = undefined
    const sessions = [...peerSessions.values()].flat()
    sessions.forEach(checkSilence)
    if (sessions.some(({ session }) => session.size() > 0)) scheduleCheck()
  }
  const scheduleCheck = () => {
    timer ??= setTimeout(checkSessions, silenceCheckMs)
  }
  return {
    open (address, opening, openingOnly, listener) {
      scheduleCheck()
      return sessionFor(address).session.open(opening, openingOnly, listener)
    },
    probeAddress (address) {
      for (const peer of peerSessions.get(address) ?? []) if (peer.session.isConnected()) probe(peer)
    },
    close () {
      clearTimeout(timer)
      for (const peer of [...peerSessions.values()].flat()) discard(peer)
    }
  }
}
