import { createServer } from 'node:http'
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
import { acceptBeacon, advanceRevision, beaconAge, createFreshness, decodeAgedBeacon, encodeBeacon } from '../freshness/index.ts'
import type { Beacon, EncodedBeacon, Freshness } from '../freshness/index.ts'
import { applyDeltas, check, dropSuperseded, emptyConfiguration, newerConfiguration } from '../config/index.ts'
import type { Configuration, Delta } from '../config/index.ts'
import { createDatagrams, createRpcClient, createRpcServer, rpcPath } from '../rpc/index.ts'
import type { Datagrams, RpcClient, RpcServer } from '../rpc/index.ts'
import { closeServer, listen } from '../http/index.ts'
import { fetchReplySchema, mergeRequestSchema, obtainRequestSchema, syncReplySchema, syncRequestSchema } from './messages.ts'
import { chooseRelays, chooseSource } from './spread.ts'
import { createTraffic } from './traffic.ts'
import type { Traffic } from './traffic.ts'

/** Maximum number of deltas kept for peers that are a few revisions behind. */
const maxKeptDeltas = 128

/** Shortest time between two ticks of the membership protocol, in milliseconds. */
const minTickMs = 20
const fetchTimeoutMs = 2000
const fetchRetryMs = 60

/** Longest time for which a beacon waits for its configuration before it is relayed, in milliseconds. */
const longestRelayDelayMs = 100

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
}

/** Clock, randomness, log and metrics of a process, shared by all its parts. */
export interface Environment {
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
}

/** The newest beacon with its age in ms, or null. */
type BeaconMessage = [beacon: EncodedBeacon, ageMs: number] | null

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

/** Request to fetch a revision from the process at `source`, unless the asked one has it. */
interface ObtainRequest {
  revision: number
  source: string
}

/** Reply to a request for a newer configuration: the missing deltas, the full configuration, or neither. */
interface FetchReply {
  deltas?: Delta[]
  full?: Configuration
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
  const server: Server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 }, (request, response) => {
    if (request.url === rpcPath) rpcServer.handle(request, response)
    else response.writeHead(404).end()
  })
  const address = await listen(server, options.address)
  const recordRefusal = createRefusalRecorder(environment)
  const datagrams = await createDatagrams(address, sealer, clock, traffic.record, recordRefusal)
  const refuseRecord = (reason: string) => recordRefusal('member_records_refused_total', reason)
  const freshness = createFreshness()
  const memberListeners: Array<(member: Member) => void> = []
  const configurationListeners: Array<(configuration: Configuration) => void> = []
  let configuration = emptyConfiguration()
  let deltas: Delta[] = []
  let isFetching = false
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
    datagrams.notify(to, 'gossip', [encodePacket(packet), beaconMessage()] satisfies GossipMessage)
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
    const answer = await rpc.call(peer, 'membership.sync', request, fetchTimeoutMs)
    if (!answer.ok || !isOpen) return
    const checked = check(syncReplySchema, answer.value)
    if (!checked.ok) return refuseRecord(`answer of ${peer} to a sync, ${checked.reason}`)
    const { domain, newer, wanted } = checked.value
    mergeRecords(newer, domain)
    if (wanted.length === 0) return
    const members = membersById(state, wanted).map(encodeMember)
    await rpc.call(peer, 'membership.merge', { domain: options.domain, members } satisfies MergeRequest, fetchTimeoutMs)
  }
  const mergeRecords = (records: readonly unknown[], domain: string) => {
    handleEvent({ type: 'merge', members: decodeMembers(records, refuseRecord), domain })
  }
  const members = () => {
    cachedMembers ??= liveMembers(state)
    return cachedMembers
  }
  const receiveBeacon = (beacon: Beacon, ageMs: number, from: string) => {
    if (!acceptBeacon(freshness, beacon, ageMs, clock.now(), clock.date().getTime())) return
    if (beacon.revision <= configuration.revision || isFetching || options.role === 'control') return relayBeacon(beacon)
    void fetchConfiguration(from, beacon)
  }
  const beaconMessage = (): BeaconMessage => {
    const { newest } = freshness
    return newest === undefined ? null : [encodeBeacon(newest), Math.round(beaconAge(freshness, clock.now()))]
  }
  const receiveBeaconMessage = (message: unknown, from: string) => {
    if (message === null) return
    const decoded = decodeAgedBeacon(message)
    if (decoded.ok) receiveBeacon(decoded.beacon, decoded.ageMs, from)
    else recordRefusal('beacons_refused_total', decoded.reason)
  }
  const relayBeacon = (beacon: Beacon) => {
    const message = beaconMessage()
    for (const address of chooseRelays(state.self, members(), beacon.leader === state.self.id, random)) datagrams.notify(address, 'beacon', message)
  }
  const installConfiguration = (next: Configuration, added: readonly Delta[]) => {
    if (next.revision <= configuration.revision) return
    configuration = next
    deltas = dropSuperseded([...deltas, ...added].slice(-maxKeptDeltas))
    advanceRevision(freshness, configuration.revision)
    for (const listener of configurationListeners) listener(configuration)
  }
  const fetchConfigurationFrom = async (peer: string, timeoutMs = fetchTimeoutMs) => {
    const since = configuration.revision
    const answer = await rpc.call(peer, 'config.fetch', { since }, timeoutMs)
    if (!answer.ok || !isOpen) return
    const checked = check(fetchReplySchema, answer.value)
    if (!checked.ok) return recordRefusal('configurations_refused_total', `configuration from ${peer}, ${checked.reason}`)
    // The answer itself, because a checked copy leaves out keys such as "prototype", which names may have.
    const { full, deltas: newDeltas } = answer.value as FetchReply
    if (full !== undefined) {
      deltas = []
      installConfiguration(newerConfiguration(configuration, full), [])
    }
    if (newDeltas !== undefined) installConfiguration(applyDeltas(configuration, newDeltas), newDeltas.filter((delta) => delta.revision > configuration.revision))
  }
  /** Fetches the configuration that a beacon names. Relays the beacon once it is here, so that its receivers can fetch it from this process. */
  const fetchConfiguration = async (firstPeer: string, beacon: Beacon) => {
    isFetching = true
    let isRelayed = false
    const relayOnce = () => {
      if (!isRelayed && isOpen) relayBeacon(beacon)
      isRelayed = true
    }
    const lateRelay = setTimeout(relayOnce, longestRelayDelayMs)
    await fetchConfigurationFrom(firstPeer)
    clearTimeout(lateRelay)
    relayOnce()
    let peer = chooseSource(state.self, members(), freshness.newest?.address, random)
    while (isOpen && (freshness.newest?.revision ?? 0) > configuration.revision) {
      if (peer !== undefined) await fetchConfigurationFrom(peer)
      if ((freshness.newest?.revision ?? 0) <= configuration.revision) break
      await new Promise((resolve) => setTimeout(resolve, fetchRetryMs * (0.5 + random.next())))
      peer = chooseSource(state.self, members(), freshness.newest?.address, random)
    }
    isFetching = false
  }
  /** Fetches a revision from a process that has it, unless it is here. Returns true once it is here. */
  const obtainRevision = async ({ revision, source }: ObtainRequest, timeoutMs?: number): Promise<boolean> => {
    if (configuration.revision < revision) await fetchConfigurationFrom(source, timeoutMs)
    return configuration.revision >= revision
  }
  const spreadRevision = async (revision: number, source: string, addresses: readonly string[], timeoutMs: number): Promise<number> => {
    if (!await obtainRevision({ revision, source }, timeoutMs)) return addresses.length
    const request = { revision, source: address } satisfies ObtainRequest
    const answers = await Promise.all(addresses.map((peer) => rpc.call<boolean>(peer, 'config.obtain', request, timeoutMs)))
    return answers.filter((answer) => !answer.ok || !answer.value).length
  }
  const buildFetchReply = ({ since }: { since: number }): FetchReply => {
    // Before it is encoded, which costs as much as the answer itself.
    if (!rpcServer.hasRoom()) throw new Error('other answers wait for their readers; ask again')
    const newerDeltas = deltas.filter((delta) => delta.revision > since)
    const isComplete = newerDeltas.length > 0 && newerDeltas[0].revision === since + 1
    if (isComplete) return { deltas: newerDeltas }
    return configuration.revision > since ? { full: configuration } : {}
  }

  datagrams.method('gossip', ([encoded, beacon]: GossipMessage, from) => {
    const packet = decodePacket(encoded, refuseRecord)
    if (packet !== undefined) handleEvent({ type: 'packet', packet, address: from })
    receiveBeaconMessage(beacon, from)
  })
  datagrams.method('beacon', receiveBeaconMessage)
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
  rpcServer.method('config.fetch', buildFetchReply)
  rpcServer.method('config.obtain', (request: unknown) => obtainRevision(v.parse(obtainRequestSchema, request)))
  scheduleTick()
  metrics.gauge('members', () => members().length)
  metrics.gauge('configuration_revision', () => configuration.revision)
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
    configuration: () => configuration,
    missingMembers: () => allMembers(state).filter(({ status }) => status === 'suspect' || status === 'dead'),
    setTarget: (target) => handleEvent({ type: 'target', target }),
    reportUnreachable: (id) => handleEvent({ type: 'unreachable', id }),
    publishBeacon: (beacon) => receiveBeacon(beacon, 0, address),
    installConfiguration: (next, added) => installConfiguration(next, added.filter((delta) => delta.revision > configuration.revision)),
    spreadRevision,
    onMemberChange: (listener) => void memberListeners.push(listener),
    onConfigurationChange: (listener) => void configurationListeners.push(listener),
    onUpgrade: (handler) => void server.on('upgrade', handler),
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
      clearTimeout(tickTimer)
      await closeServer(server)
      datagrams.close()
      await rpc.close()
    }
  }
}
