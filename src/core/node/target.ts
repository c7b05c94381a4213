import { connect } from 'node:net'
import { Pool } from 'undici'
import type { Environment, Peers } from '../peers/index.ts'
import type { Target } from '../membership/index.ts'
import { splitAddress } from '../rpc/index.ts'
import { createConnector } from '../http/index.ts'
import { isNews } from './announcement.ts'
import type { Announcement } from './announcement.ts'
import { announceLifeMs } from './constants.ts'
import { createGate } from './gate.ts'
import type { Gate } from './gate.ts'

const connectTimeoutMs = 1000
const probeTimeoutMs = 300
const idleConnectionMs = 4000

/** How a node treats its target. */
export interface OwnTargetOptions {
  /** Time after a target asked for no new work for which it still gets some, in ms. */
  drainMs: number
  /** Whether the number of requests that run at once is learnt below the announced slots. */
  learnsLimit: boolean
}

/** The own target, as its announcements and its connections show it. */
export interface OwnTarget {
  /** Takes in an announcement or its renewal. Returns false for one that is older than what is known. */
  announce: (announcement: Announcement) => boolean
  /** The target said that it is gone; it serves what it has for a while. Returns false when another start of it is known. */
  withdraw: (instance: string, bornAt: number | undefined) => boolean
  current: () => Target | undefined
  /** Id of the target's present start, where targets tell their starts apart. */
  instance: () => string | undefined
  /** True while new requests may be sent to the target. */
  takesWork: () => boolean
  pool: () => Pool | undefined
  origin: () => string
  gate: Gate
  /** Checks whether the target still accepts connections, after one of them broke. Resolves false when it is gone. */
  probe: () => Promise<boolean>
  /** Another start answered at the target's address: nothing is sent until it announces itself. */
  lost: (instance: string | undefined) => void
  /** Takes the target out of choice before the node stops. */
  leave: () => void
  close: () => Promise<void>
}

/** Creates the record of a target that has not announced itself yet. */
export function createOwnTarget (peers: Peers, { clock, log }: Environment, options: OwnTargetOptions): OwnTarget {
  const gate = createGate(1, clock, options.learnsLimit)
  let target: Target | undefined
  let announced: Announcement | undefined
  let pool: Pool | undefined
  let renewedAt = -Infinity
  /** Time from which the target gets no new work. */
  let closesAt = Infinity
  let leaving = false

  const publish = (next: Target) => {
    const changed = JSON.stringify(next) !== JSON.stringify(target)
    if (target?.state !== next.state) log.info('target changed', { service: next.service, state: next.state, instance: announced?.incarnation?.instance })
    target = next
    if (changed) peers.setTarget(next)
  }
  const replacePool = (announcement: Announcement) => {
    const isSame = announced?.address === announcement.address && announced.connections === announcement.connections &&
      announced.incarnation?.instance === announcement.incarnation?.instance
    if (pool !== undefined && isSame) return
    void pool?.close()
    pool = new Pool(`http://${announcement.address}`, {
      connections: announcement.connections, pipelining: 1, connect: createConnector(connectTimeoutMs), keepAliveTimeout: idleConnectionMs
    })
  }
  const setDown = () => {
    if (target !== undefined && target.state !== 'down') publish({ ...target, state: 'down' })
  }
  const close = () => {
    closesAt = Math.min(closesAt, clock.now() + options.drainMs)
  }
  const timer = setInterval(() => {
    if (clock.now() - renewedAt > announceLifeMs) setDown()
  }, 500)
  return {
    gate,
    announce (announcement) {
      if (!isNews(announcement.incarnation, announced?.incarnation)) return false
      const isSameStart = announced?.incarnation?.instance === announcement.incarnation?.instance
      const wasUp = target !== undefined && target.state !== 'down' && isSameStart
      renewedAt = clock.now()
      replacePool(announcement)
      announced = announcement
      if (announcement.state === 'up') closesAt = Infinity
      else close()
      const startedAt = wasUp ? target?.startedAt ?? 0 : clock.date().getTime()
      if (wasUp) gate.resize(announcement.slots)
      else gate.reset(announcement.slots)
      const { service, slots, connections } = announcement
      publish({ service, slots, connections, state: leaving ? 'leaving' : announcement.state, startedAt })
      return true
    },
    withdraw (instance, bornAt) {
      const known = announced?.incarnation
      if (known?.instance !== instance || (bornAt ?? known.bornAt) !== known.bornAt) return false
      close()
      if (target?.state === 'up') publish({ ...target, state: 'leaving' })
      return true
    },
    current: () => target,
    instance: () => announced?.incarnation?.instance,
    takesWork: () => target !== undefined && target.state !== 'down' && clock.now() < closesAt,
    pool: () => pool,
    origin: () => `http://${announced?.address ?? ''}`,
    async probe () {
      if (announced === undefined) return false
      const { host, port } = splitAddress(announced.address)
      const alive = await new Promise<boolean>((resolve) => {
        const socket = connect({ host, port, timeout: probeTimeoutMs })
        socket.once('connect', () => resolve(true))
        socket.once('error', () => resolve(false))
        socket.once('timeout', () => resolve(true))
        socket.once('close', () => resolve(false))
        setTimeout(() => socket.destroy(), probeTimeoutMs)
      })
      if (!alive) setDown()
      return alive
    },
    lost (instance) {
      if (instance === announced?.incarnation?.instance) setDown()
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
