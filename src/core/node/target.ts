import { connect } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { Pool } from 'undici'
import type { Environment, Peers } from '../peers/index.ts'
import type { Target } from '../membership/index.ts'
import { splitAddress } from '../rpc/index.ts'
import { createConnector } from '../http/index.ts'
import type { Departure } from '../departures/index.ts'
import { createAnnouncementOrder } from './announcement.ts'
import type { Announcement, Incarnation } from './announcement.ts'
import { announcementLifeMs } from './constants.ts'
import { createGate } from './gate.ts'
import type { Gate } from './gate.ts'

const connectTimeoutMs = 1000
const targetKeepAliveMs = 4000

/** Length of one step of a probe, in milliseconds. */
const probeStepMs = 10

/** Steps for which a probe watches whether a target goes on to listen: 100 ms in which this process runs. */
const probeSteps = 10

/** What became of a connection that was opened to probe a target. */
type ProbeEnd = 'refused' | 'closed' | 'open'

/** What is left of the time of a probe. Steps are counted, not time: what happened while this process did not run is read only in the turn after. */
interface Watch {
  stepsLeft: number
}

/** Opens a connection and watches it for the rest of the watch. A connection attempt without an answer counts as open. */
function probeConnection (host: string, port: number, watch: Watch): Promise<ProbeEnd> {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    let connected = false
    const end = (result: ProbeEnd) => {
      clearInterval(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setInterval(() => {
      watch.stepsLeft--
      if (watch.stepsLeft <= 0) end('open')
    }, probeStepMs)
    socket.resume()
    socket.once('connect', () => {
      connected = true
    })
    socket.once('end', () => end('closed'))
    socket.once('error', ({ code }: NodeJS.ErrnoException) => end(connected || code === 'ECONNRESET' ? 'closed' : 'refused'))
  })
}

/**
 * Returns false once a target refuses a connection within the probe time. A process that ends closes its connections before its listener, which
 * accepts others until then, so one connection accepted proves nothing. Neither does one closed: a target may close those over its limit.
 */
async function listensThroughout (host: string, port: number): Promise<boolean> {
  const watch = { stepsLeft: probeSteps }
  while (watch.stepsLeft > 0) {
    const result = await probeConnection(host, port, watch)
    if (result !== 'closed') return result === 'open'
    await pause(probeStepMs)
    watch.stepsLeft--
  }
  return true
}

/** Options for the node's own target. */
export interface OwnTargetOptions {
  /** Time during which a leaving target still gets new requests, in ms. */
  drainMs: number
  /** Whether the concurrency limit adapts below the announced slots. */
  adaptiveLimit: boolean
  /** Whether requests wait by the rank of the caller's request that they belong to. Default: false. */
  rankedWaiting?: boolean
  /** Whether the room of the target is found out and used. Default: false. */
  usesRoom?: boolean
}

/** State of the node's own target, from its announcements and its connections. */
export interface OwnTarget {
  /**
   * Records an announcement or its renewal. Returns false for an outdated one. A process that is already leaving when it is first
   * heard of gets no requests: an earlier process of this node may have acknowledged that long ago.
   */
  announce: (announcement: Announcement) => boolean
  /**
   * Deregisters a process of the target, which still serves requests for the drain time; its announcements that arrive later are outdated.
   * Returns false when another process is registered.
   */
  withdraw: (instance: string, bornAt: number | undefined) => boolean
  /** Takes a process out of use that has left by what an earlier process of this node has acknowledged; its late announcements are outdated. */
  restore: (departures: readonly Departure[]) => void
  current: () => Target | undefined
  /** Returns what identifies the newest announcement; undefined where targets do not identify their processes. */
  incarnation: () => Incarnation | undefined
  /** Returns the id of the target's current process; undefined where targets do not identify their processes. */
  instance: () => string | undefined
  /** Returns true while new requests may be sent to the target. */
  acceptsRequests: () => boolean
  /** Returns true once the target may end as planned: it has announced that it leaves, and its drain time is over. */
  mayEnd: () => boolean
  /** Returns the address of the target, host:port; undefined before its first announcement. */
  address: () => string | undefined
  pool: () => Pool | undefined
  origin: () => string
  gate: Gate
  /** Checks for some time whether the target still accepts connections after one of them broke. Resolves false as soon as it does not. */
  probe: () => Promise<boolean>
  /** Marks the target as down after another process answered at its address. No request is sent until that process announces itself. */
  markReplaced: (instance: string | undefined) => void
  /** Publishes the target as leaving before the node stops. Other nodes then prefer other targets. */
  leave: () => void
  close: () => Promise<void>
}

/** Creates the state of a target that has not announced itself yet. */
export function createOwnTarget (peers: Peers, { clock, log }: Environment, options: OwnTargetOptions): OwnTarget {
  const gate = createGate(1, clock, { isAdaptive: options.adaptiveLimit, isRanked: options.rankedWaiting, usesRoom: options.usesRoom })
  const order = createAnnouncementOrder(announcementLifeMs)
  let target: Target | undefined
  let lastAnnouncement: Announcement | undefined
  let pool: Pool | undefined
  let renewedAt = -Infinity
  /** Time from which the target gets no new requests. */
  let drainedAt = Infinity
  let leaving = false

  const publish = (next: Target) => {
    const changed = JSON.stringify(next) !== JSON.stringify(target)
    if (target?.state !== next.state) log.info('target changed', { service: next.service, state: next.state, instance: lastAnnouncement?.incarnation?.instance })
    target = next
    if (changed) peers.setTarget(next)
  }
  const replacePool = (announcement: Announcement) => {
    const isSame = lastAnnouncement?.address === announcement.address && lastAnnouncement.connections === announcement.connections &&
      lastAnnouncement.incarnation?.instance === announcement.incarnation?.instance
    if (pool !== undefined && isSame) return
    const replaced = pool
    pool = new Pool(`http://${announcement.address}`, {
      connections: announcement.connections, pipelining: 1, connect: createConnector(connectTimeoutMs), keepAliveTimeout: targetKeepAliveMs
    })
    void replaced?.close()
  }
  const setDown = () => {
    if (target !== undefined && target.state !== 'down') publish({ ...target, state: 'down' })
  }
  const startDraining = () => {
    drainedAt = Math.min(drainedAt, clock.now() + options.drainMs)
  }
  const timer = setInterval(() => {
    if (clock.now() - renewedAt > announcementLifeMs) setDown()
  }, 500)
  return {
    gate,
    announce (announcement) {
      if (!order.accept(announcement.incarnation, clock.now())) {
        log.info('outdated announcement ignored', { state: announcement.state, ...announcement.incarnation, known: lastAnnouncement?.incarnation })
        return false
      }
      const isSameProcess = lastAnnouncement?.incarnation?.instance === announcement.incarnation?.instance
      const isKnown = lastAnnouncement !== undefined && isSameProcess
      const wasUp = target !== undefined && target.state !== 'down' && isSameProcess
      // First, because it throws on an address that no pool can use; the known target then stays in use.
      replacePool(announcement)
      renewedAt = clock.now()
      lastAnnouncement = announcement
      if (announcement.state === 'up') drainedAt = Infinity
      else if (isKnown) startDraining()
      else drainedAt = clock.now()
      const startedAt = wasUp ? target?.startedAt ?? 0 : clock.date().getTime()
      if (wasUp) gate.resize(announcement.slots)
      else gate.reset(announcement.slots)
      const { service, slots, connections } = announcement
      publish({ service, slots, connections, state: leaving ? 'leaving' : announcement.state, startedAt })
      return true
    },
    withdraw (instance, bornAt) {
      const isKnown = order.depart(instance, bornAt)
      log.info('target deregistered', { instance, bornAt, isKnown, state: target?.state })
      if (!isKnown) return false
      startDraining()
      if (target?.state === 'up') publish({ ...target, state: 'leaving' })
      return true
    },
    restore (departures) {
      if (!order.restore(departures) || target === undefined) return
      log.info('target had left before this process started', { instance: lastAnnouncement?.incarnation?.instance, state: target.state })
      drainedAt = Math.min(drainedAt, clock.now())
      if (target.state === 'up') publish({ ...target, state: 'leaving' })
    },
    current: () => target,
    incarnation: () => lastAnnouncement?.incarnation,
    instance: () => lastAnnouncement?.incarnation?.instance,
    acceptsRequests: () => target !== undefined && target.state !== 'down' && clock.now() < drainedAt,
    mayEnd: () => clock.now() >= drainedAt,
    address: () => lastAnnouncement?.address,
    pool: () => pool,
    origin: () => `http://${lastAnnouncement?.address ?? ''}`,
    async probe () {
      if (lastAnnouncement === undefined) return false
      const { host, port } = splitAddress(lastAnnouncement.address)
      const alive = await listensThroughout(host, port)
      if (!alive) setDown()
      return alive
    },
    markReplaced (instance) {
      if (instance !== lastAnnouncement?.incarnation?.instance) return
      order.release()
      setDown()
    },
    leave () {
      leaving = true
      if (target !== undefined && target.state === 'up') publish({ ...target, state: 'leaving' })
    },
    async close () {
      clearInterval(timer)
      gate.close()
      await pool?.destroy()
    }
  }
}
