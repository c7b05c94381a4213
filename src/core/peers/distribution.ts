import * as v from 'valibot'
import { applyDeltas, check, dropSuperseded, emptyConfiguration, newerConfiguration } from '../config/index.ts'
import type { Configuration, Delta } from '../config/index.ts'
import { acceptBeacon, advanceRevision, beaconAge, decodeAgedBeacon, encodeBeacon } from '../freshness/index.ts'
import type { Beacon, EncodedBeacon, Freshness } from '../freshness/index.ts'
import type { RecordRefusal } from '../log/index.ts'
import type { Member } from '../membership/index.ts'
import type { Datagrams, RpcClient, RpcServer } from '../rpc/index.ts'
import { fetchReplySchema, obtainRequestSchema } from './messages.ts'
import type { Environment } from './peers.ts'
import { createRevisionLog } from './revision-log.ts'
import { chooseRelays, chooseSource } from './spread.ts'

/** Maximum number of deltas kept for peers that are a few revisions behind. */
const maxKeptDeltas = 128

const fetchTimeoutMs = 2000
const fetchRetryMs = 60

/** Longest time for which a beacon waits for its configuration before it is relayed, in milliseconds. */
const longestRelayDelayMs = 100

/** The newest beacon with its age in ms, or null. */
export type BeaconMessage = [beacon: EncodedBeacon, ageMs: number] | null

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

/** Parts of a process that the distribution uses. */
export interface DistributionContext {
  self: () => Member
  /** Returns the live members, this process included. */
  members: () => readonly Member[]
  freshness: Freshness
  rpc: RpcClient
  rpcServer: RpcServer
  datagrams: Datagrams
  recordRefusal: RecordRefusal
  environment: Environment
}

/** Brings beacons and the configuration that they name to a process, and from it to others. */
export interface Distribution {
  configuration: () => Configuration
  /** Returns the newest beacon as it is sent to other processes. */
  beaconMessage: () => BeaconMessage
  /** Takes a beacon that came with another message from the process at `from`. */
  receiveBeaconMessage: (message: unknown, from: string) => void
  publishBeacon: (beacon: Beacon) => void
  installConfiguration: (configuration: Configuration, deltas: readonly Delta[]) => void
  spreadRevision: (revision: number, source: string, addresses: readonly string[], timeoutMs: number) => Promise<number>
  onChange: (listener: (configuration: Configuration) => void) => void
  close: () => void
}

/** Creates the distribution of one process and registers its methods. */
export function createDistribution ({ self, members, freshness, rpc, rpcServer, datagrams, recordRefusal, environment }: DistributionContext): Distribution {
  const { clock, random } = environment
  const { id, address, role } = self()
  const revisionLog = createRevisionLog(id, environment)
  const listeners: Array<(configuration: Configuration) => void> = []
  let configuration = emptyConfiguration()
  let deltas: Delta[] = []
  let isFetching = false
  let isOpen = true

  /** Returns the id of the process at an address, or the address while it isn't known. */
  const nameOf = (peer: string): string => members().find((member) => member.address === peer)?.id ?? peer
  const receiveBeacon = (beacon: Beacon, ageMs: number, from: string) => {
    if (!acceptBeacon(freshness, beacon, ageMs, clock.now(), clock.date().getTime())) return
    if (beacon.revision <= configuration.revision) return relayBeacon(beacon)
    revisionLog.hear({ revision: beacon.revision, installed: configuration.revision, from: nameOf(from), ageMs: beaconAge(freshness, clock.now()) })
    if (isFetching || role === 'control') return relayBeacon(beacon)
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
    for (const peer of chooseRelays(self(), members(), beacon.leader === id, random)) datagrams.notify(peer, 'beacon', message)
  }
  const install = (next: Configuration, added: readonly Delta[], source: string | null) => {
    const before = configuration.revision
    if (next.revision <= before) return
    configuration = next
    deltas = dropSuperseded([...deltas, ...added].slice(-maxKeptDeltas))
    advanceRevision(freshness, configuration.revision)
    revisionLog.install(configuration.revision, before, source)
    for (const listener of listeners) listener(configuration)
  }
  /** Installs what a process has sent. Returns the reason why it can't be used, or what it was. */
  const installReply = (value: unknown, peer: string): string => {
    const checked = check(fetchReplySchema, value)
    if (!checked.ok) {
      recordRefusal('configurations_refused_total', `configuration from ${peer}, ${checked.reason}`)
      return checked.reason
    }
    // The answer itself, because a checked copy leaves out keys such as "prototype", which names may have.
    const { full, deltas: newDeltas } = value as FetchReply
    const { revision } = configuration
    if (full !== undefined) {
      deltas = []
      install(newerConfiguration(configuration, full), [], nameOf(peer))
    }
    if (newDeltas !== undefined) install(applyDeltas(configuration, newDeltas), newDeltas.filter((delta) => delta.revision > configuration.revision), nameOf(peer))
    return configuration.revision > revision ? 'newer' : 'nothing newer'
  }
  const fetchConfigurationFrom = async (peer: string, timeoutMs = fetchTimeoutMs) => {
    const since = configuration.revision
    const startedAt = clock.now()
    const answer = await rpc.call(peer, 'config.fetch', { since }, timeoutMs)
    if (!isOpen) return
    const outcome = answer.ok ? installReply(answer.value, peer) : answer.reason
    revisionLog.endFetch({ source: nameOf(peer), outcome, revision: outcome === 'newer' ? configuration.revision : undefined, since, startedAt })
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
    let peer = chooseSource(self(), members(), freshness.newest?.address, random)
    while (isOpen && (freshness.newest?.revision ?? 0) > configuration.revision) {
      if (peer !== undefined) await fetchConfigurationFrom(peer)
      if ((freshness.newest?.revision ?? 0) <= configuration.revision) break
      await new Promise((resolve) => setTimeout(resolve, fetchRetryMs * (0.5 + random.next())))
      peer = chooseSource(self(), members(), freshness.newest?.address, random)
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

  datagrams.method('beacon', receiveBeaconMessage)
  rpcServer.method('config.fetch', buildFetchReply)
  rpcServer.method('config.obtain', (request: unknown) => obtainRevision(v.parse(obtainRequestSchema, request)))
  return {
    configuration: () => configuration,
    beaconMessage,
    receiveBeaconMessage,
    publishBeacon: (beacon) => receiveBeacon(beacon, 0, address),
    installConfiguration: (next, added) => install(next, added.filter((delta) => delta.revision > configuration.revision), null),
    spreadRevision,
    onChange: (listener) => void listeners.push(listener),
    close () {
      isOpen = false
    }
  }
}
