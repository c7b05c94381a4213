import { createServer as createUnboundedServer } from 'node:http'
import * as v from 'valibot'
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../clock/index.ts'
import type { Random } from '../random/index.ts'
import { createSealer } from '../auth/index.ts'
import type { Sealer } from '../auth/index.ts'
import { createRefusalRecorder } from '../log/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import {
  allMembers, compareVersions, createMembership, decodeMembers, decodePacket, decodeVersions, encodeMember, encodePacket, liveMembers, membersById, step, tickDueAt,
  versionsOf
} from '../membership/index.ts'
import type { Effect, EncodedMember, EncodedPacket, Event, Member, Packet, State, Target, Version } from '../membership/index.ts'
import { createFreshness } from '../freshness/index.ts'
import type { Beacon, Freshness } from '../freshness/index.ts'
import { check } from '../config/index.ts'
import type { Configuration, Delta } from '../config/index.ts'
import { serveDepartures } from '../departures/holder.ts'
import { createDatagrams, createRpcClient, createRpcServer, rpcPath } from '../rpc/index.ts'
import type { Datagrams, RpcClient, RpcServer } from '../rpc/index.ts'
import { closeServer, listen, maxRequestsAhead } from '../http/index.ts'
import type { Clients } from '../http/index.ts'
import { createDistribution } from './distribution.ts'
import type { BeaconMessage, Distribution } from './distribution.ts'
import { mergeRequestSchema, syncReplySchema, syncRequestSchema } from './messages.ts'
import { createTraffic } from './traffic.ts'
import type { Traffic } from './traffic.ts'

/** Shortest time between two ticks of the membership protocol, in milliseconds. */
const minTickMs = 20
/** Longest time for a sync of member records with another process, in milliseconds. */
const syncTimeoutMs = 2000

/** Identity and addresses of a process in the cluster. */
export interface PeerOptions {
  id: string
  boot: string
  role: Member['role']
  domain: string
  /** Peer address, host:port, for TCP and UDP. */
  address: string
  seeds: readonly string[]
  secrets: readonly string[]
  /** Bounds what is held for those who connect. Default: no bounds. */
  clients?: Clients
}

/** Clock, randomness, log and metrics of a process, shared by all its parts. */
export interface Environment {
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
}

type GossipMessage = [packet: EncodedPacket, beacon: BeaconMessage]

/** Versions of all records of the asking process. */
interface SyncRequest {
  domain: string
  versions: Version[]
}

/** Records that the asking process lacks or has in an older version, and ids of the records wanted from it. */
interface SyncReply {
  domain: string
  newer: EncodedMember[]
  wanted: string[]
}

/** Records that the other side of a sync wanted. */
interface MergeRequest {
  domain: string
  members: EncodedMember[]
}

/** A process's connection to the cluster: members, beacons, configuration and messages. */
export interface Peers {
  boot: string
  address: string
  sealer: Sealer
  rpc: RpcClient
  rpcServer: RpcServer
  datagrams: Datagrams
  /** Counts the bytes sent to other processes. */
  traffic: Traffic
  freshness: Freshness
  self: () => Member
  /** Returns the live members, this process included. */
  members: () => readonly Member[]
  configuration: () => Configuration
  /** Returns the members that are suspected or declared dead. They may be alive behind a network partition. */
  missingMembers: () => Member[]
  setTarget: (target: Target | undefined) => void
  reportUnreachable: (id: string) => void
  /** Publishes a beacon of this process to the cluster. */
  publishBeacon: (beacon: Beacon) => void
  /** Installs a configuration taken from the registry of this process, with the newest deltas that led to it. */
  installConfiguration: (configuration: Configuration, deltas: readonly Delta[]) => void
  /**
   * Brings a revision that `source` has to this process, and from here to the processes at `addresses`, without waiting for beacons.
   * Resolves with the number of those that have not confirmed it within about `timeoutMs`.
   */
  spreadRevision: (revision: number, source: string, addresses: readonly string[], timeoutMs: number) => Promise<number>
  onMemberChange: (listener: (member: Member) => void) => void
  onConfigurationChange: (listener: (configuration: Configuration) => void) => void
  /** Registers the handler of upgrade requests to the peer listener, with which other nodes open connections to this one. */
  onUpgrade: (handler: (request: IncomingMessage, socket: Socket, head: Buffer) => void) => void
  /** Returns the peer addresses of the live control instances, the leader's first. */
  controlAddresses: () => string[]
  /** Announces that this process is about to leave, in `stopMs` at most. */
  prepareLeave: (stopMs: number) => void
  /** Announces that this process leaves now. */
  announceLeave: () => void
  close: () => Promise<void>
}

/** Binds the peer sockets and joins the cluster. */
export async function createPeers (options: PeerOptions, environment: Environment): Promise<Peers> {
  const { clock, random, log, metrics } = environment
  const sealer = createSealer(options.secrets)
  const traffic = createTraffic(options.domain, metrics)
  const rpc = createRpcClient(sealer, clock, traffic.record)
  const rpcServer = createRpcServer(sealer, clock, traffic.record)
  const createServer = options.clients?.createServer ?? createUnboundedServer
  const server: Server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 }, (request, response) => {
    if (request.url === rpcPath) rpcServer.handle(request, response)
    else response.writeHead(404).end()
  }, maxRequestsAhead)
  const address = await listen(server, options.address)
  const recordRefusal = createRefusalRecorder(environment)
  const datagrams = await createDatagrams(address, sealer, clock, traffic.record, recordRefusal)
  const refuseRecord = (reason: string) => recordRefusal('member_records_refused_total', reason)
  serveDepartures(datagrams, clock, recordRefusal)
  const freshness = createFreshness()
  const memberListeners: Array<(member: Member) => void> = []
  let isOpen = true
  const self: Member = {
    id: options.id,
    startedAt: clock.date().getTime(),
    boot: options.boot,
    incarnation: 0,
    status: 'alive',
    role: options.role,
    domain: options.domain,
    address
  }
  const state: State = createMembership(self, options.seeds, clock.now())
  let cachedMembers: readonly Member[] | undefined
  let tickTimer: NodeJS.Timeout | undefined
  /** Monotonic time in ms for which the next tick is scheduled. */
  let tickAt = Infinity

  const handleEvent = (event: Event) => {
    for (const effect of step(state, event, clock.now(), random)) performEffect(effect)
    cachedMembers = undefined
    scheduleTick()
  }
  /** Schedules the next tick for when it has something to do. */
  const scheduleTick = () => {
    const now = clock.now()
    const dueAt = Math.max(now + minTickMs, tickDueAt(state))
    if (!isOpen || (tickTimer !== undefined && tickAt <= dueAt)) return
    clearTimeout(tickTimer)
    tickAt = dueAt
    tickTimer = setTimeout(tick, dueAt - now)
  }
  const tick = () => {
    tickTimer = undefined
    handleEvent({ type: 'tick' })
  }
  const performEffect = (effect: Effect) => {
    switch (effect.type) {
      case 'send': sendPacket(effect.address, effect.packet); break
      case 'sync': void syncWith(effect.address); break
      case 'changed': notifyMemberChange(effect.member); break
    }
  }
  const sendPacket = (to: string, packet: Packet) => {
    datagrams.notify(to, 'gossip', [encodePacket(packet), distribution.beaconMessage()] satisfies GossipMessage)
  }
  const notifyMemberChange = (member: Member) => {
    traffic.locate(member.address, member.domain)
    if (member.status === 'dead') log.warn('member lost', { id: member.id, domain: member.domain })
    metrics.count(`member_changes_total{status="${member.status}"}`)
    for (const listener of memberListeners) listener(member)
  }
  /** Sends the versions of all records, merges the newer ones of the other process and sends those that it wants. */
  const syncWith = async (peer: string) => {
    const request = { domain: options.domain, versions: versionsOf(state) } satisfies SyncRequest
    const answer = await rpc.call(peer, 'membership.sync', request, syncTimeoutMs)
    if (!answer.ok || !isOpen) return
    const checked = check(syncReplySchema, answer.value)
    if (!checked.ok) return refuseRecord(`answer of ${peer} to a sync, ${checked.reason}`)
    const { domain, newer, wanted } = checked.value
    mergeRecords(newer, domain)
    if (wanted.length === 0) return
    const members = membersById(state, wanted).map(encodeMember)
    await rpc.call(peer, 'membership.merge', { domain: options.domain, members } satisfies MergeRequest, syncTimeoutMs)
  }
  const mergeRecords = (records: readonly unknown[], domain: string) => {
    handleEvent({ type: 'merge', members: decodeMembers(records, refuseRecord), domain })
  }
  const members = () => {
    cachedMembers ??= liveMembers(state)
    return cachedMembers
  }
  const distribution: Distribution = createDistribution({ self: () => state.self, members, freshness, rpc, rpcServer, datagrams, recordRefusal, environment })

  datagrams.method('gossip', ([encoded, beacon]: GossipMessage, from) => {
    const packet = decodePacket(encoded, refuseRecord)
    if (packet !== undefined) handleEvent({ type: 'packet', packet, address: from })
    distribution.receiveBeaconMessage(beacon, from)
  })
  rpcServer.method('membership.sync', (request: unknown): SyncReply => {
    const { versions } = v.parse(syncRequestSchema, request)
    const { newer, wanted } = compareVersions(state, decodeVersions(versions, refuseRecord))
    return { domain: options.domain, newer: newer.map(encodeMember), wanted }
  })
  rpcServer.method('membership.merge', (request: unknown) => {
    const { domain, members: records } = v.parse(mergeRequestSchema, request)
    mergeRecords(records, domain)
    return null
  })
  scheduleTick()
  metrics.gauge('members', () => members().length)
  metrics.gauge('configuration_revision', () => distribution.configuration().revision)
  metrics.gauge('gossip_sent_bytes', () => datagrams.sentBytes())

  return {
    boot: options.boot,
    address,
    sealer,
    rpc,
    rpcServer,
    datagrams,
    traffic,
    freshness,
    self: () => state.self,
    members,
    configuration: distribution.configuration,
    missingMembers: () => allMembers(state).filter(({ status }) => status === 'suspect' || status === 'dead'),
    setTarget: (target) => handleEvent({ type: 'target', target }),
    reportUnreachable: (id) => handleEvent({ type: 'unreachable', id }),
    publishBeacon: distribution.publishBeacon,
    installConfiguration: distribution.installConfiguration,
    spreadRevision: distribution.spreadRevision,
    onMemberChange: (listener) => void memberListeners.push(listener),
    onConfigurationChange: distribution.onChange,
    onUpgrade: (handler) => void server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => {
      options.clients?.release(socket)
      handler(request, socket, head)
    }),
    controlAddresses () {
      const leader = freshness.newest?.address
      const addresses = members().filter((member) => member.role === 'control').map((member) => member.address)
      if (addresses.length === 0) return [...options.seeds]
      return leader === undefined ? addresses : [leader, ...addresses.filter((candidate) => candidate !== leader)]
    },
    prepareLeave: (stopMs) => handleEvent({ type: 'prepare-leave', stopMs }),
    announceLeave: () => handleEvent({ type: 'leave' }),
    async close () {
      isOpen = false
      distribution.close()
      clearTimeout(tickTimer)
      await closeServer(server)
      datagrams.close()
      await rpc.close()
    }
  }
}
