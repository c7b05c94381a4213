import * as v from 'valibot'
import { applyDeltas, check, dropSuperseded, emptyConfiguration } from '../config/index.ts'
import type { Configuration, Delta } from '../config/index.ts'
import { acceptBeacon, advanceRevision, beaconAge, decodeAgedBeacon, encodeBeacon } from '../freshness/index.ts'
import type { Beacon, EncodedBeacon, Freshness, ReceivedBeacon } from '../freshness/index.ts'
import type { RecordRefusal } from '../log/index.ts'
import type { Member } from '../membership/index.ts'
import type { Datagrams, RpcClient, RpcServer } from '../rpc/index.ts'
import { createFetch, isBehind, maxInquiryMs, stepFetch } from './fetch.ts'
import type { FetchEffect, FetchEvent, InquiryOutcome } from './fetch.ts'
import { fetchReplySchema, obtainRequestSchema } from './messages.ts'
import type { Environment } from './peers.ts'
import { createRevisionLog } from './revision-log.ts'
import { createRevisionWaiters } from './revision-waiters.ts'
import { chooseHolder, chooseRelays, chooseSource } from './spread.ts'

/** Maximum number of deltas kept for peers that are a few revisions behind. */
const maxKeptDeltas = 128

/** Longest time for which a process waits for a revision that another one asked it to have, in milliseconds. */
const obtainTimeoutMs = 2000

/** Longest time for which a beacon waits for its configuration before it is relayed, in milliseconds. */
const longestRelayDelayMs = 100

/** The newest beacon with its age in ms and the revision that its sender applies, or null. */
export type BeaconMessage = [beacon: EncodedBeacon, ageMs: number, held: number] | null

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
  const fetch = createFetch()
  const cancellations = new Map<number, AbortController>()
  const waiters = createRevisionWaiters()
  let tickTimer: NodeJS.Timeout | undefined
  /** The beacon that is held until its configuration is here. */
  let heldBeacon: { revision: number, relay: () => void } | undefined
  let isOpen = true

  /** Returns the id of the process at an address, or the address while it isn't known. */
  const nameOf = (peer: string): string => members().find((member) => member.address === peer)?.id ?? peer
  const receiveBeacon = ({ beacon, ageMs, held }: ReceivedBeacon, from: string) => {
    const wasBehind = isBehind(fetch)
    if (beacon.revision > configuration.revision) tell(beacon.revision, from, held)
    if (!acceptBeacon(freshness, beacon, ageMs, clock.now(), clock.date().getTime())) return
    if (beacon.revision <= configuration.revision) return relayBeacon(beacon)
    revisionLog.hear({ revision: beacon.revision, installed: configuration.revision, from: nameOf(from), ageMs: beaconAge(freshness, clock.now()) })
    if (wasBehind || role === 'control') relayBeacon(beacon)
    else holdBeacon(beacon)
  }
  /** Takes note that a revision is in force and that the process at `source` applies `held`. Control instances get theirs from the log. */
  const tell = (revision: number, source: string, held: number) => {
    if (role !== 'control') handleEvent({ type: 'told', revision, source, held })
  }
  /** Relays a beacon once its configuration is here, so that its receivers can fetch it from this process, or after a short time. */
  const holdBeacon = (beacon: Beacon) => {
    const relay = () => {
      clearTimeout(timer)
      heldBeacon = undefined
      if (isOpen) relayBeacon(beacon)
    }
    const timer = setTimeout(relay, longestRelayDelayMs)
    heldBeacon?.relay()
    heldBeacon = { revision: beacon.revision, relay }
  }
  const handleEvent = (event: FetchEvent) => {
    const choices = {
      chooseHolder: (holders: readonly string[]) => chooseHolder(self(), members(), holders, random),
      chooseAny: (isUsable: (source: string) => boolean) => chooseSource(self(), members(), freshness.newest?.address, random, isUsable),
      random: random.next
    }
    for (const effect of stepFetch(fetch, event, clock.now(), choices)) performEffect(effect)
    scheduleTick()
  }
  const scheduleTick = () => {
    clearTimeout(tickTimer)
    tickTimer = isOpen && Number.isFinite(fetch.dueAt) ? setTimeout(() => handleEvent({ type: 'tick' }), Math.ceil(fetch.dueAt - clock.now())) : undefined
  }
  const performEffect = (effect: FetchEffect) => {
    switch (effect.type) {
      case 'ask': void fetchFrom(effect.source, effect.inquiry); break
      case 'abandon': cancellations.get(effect.inquiry)?.abort(new Error('no part of an answer arrived in time')); break
    }
  }
  const beaconMessage = (): BeaconMessage => {
    const { newest } = freshness
    return newest === undefined ? null : [encodeBeacon(newest), Math.round(beaconAge(freshness, clock.now())), configuration.revision]
  }
  const receiveBeaconMessage = (message: unknown, from: string) => {
    if (message === null) return
    const decoded = decodeAgedBeacon(message)
    if (decoded.ok) receiveBeacon(decoded, from)
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
    waiters.reach(configuration.revision)
    handleEvent({ type: 'installed', revision: configuration.revision })
    if (heldBeacon !== undefined && heldBeacon.revision <= configuration.revision) heldBeacon.relay()
  }
  /** Installs what a process has sent. Returns what it was, with the reason if it can't be used. */
  const installReply = (value: unknown, peer: string): { outcome: InquiryOutcome, reason?: string } => {
    const checked = check(fetchReplySchema, value)
    if (!checked.ok) {
      recordRefusal('configurations_refused_total', `configuration from ${peer}, ${checked.reason}`)
      return { outcome: 'failed', reason: checked.reason }
    }
    // The answer itself, because a checked copy leaves out keys such as "prototype", which names may have.
    const { full, deltas: newDeltas } = value as FetchReply
    const { revision } = configuration
    if (full !== undefined && full.revision > revision) {
      deltas = []
      install(full, [], nameOf(peer))
    }
    if (newDeltas !== undefined) install(applyDeltas(configuration, newDeltas), newDeltas.filter((delta) => delta.revision > configuration.revision), nameOf(peer))
    return { outcome: configuration.revision > revision ? 'newer' : 'nothing newer' }
  }
  const fetchFrom = async (peer: string, inquiry: number) => {
    const since = configuration.revision
    const startedAt = clock.now()
    const cancellation = new AbortController()
    cancellations.set(inquiry, cancellation)
    const onArrival = () => handleEvent({ type: 'arriving', inquiry })
    const answer = await rpc.call(peer, 'config.fetch', { since }, maxInquiryMs, { signal: cancellation.signal, onArrival })
    cancellations.delete(inquiry)
    if (!isOpen) return
    const { outcome, reason } = answer.ok ? installReply(answer.value, peer) : { outcome: answer.refused === true ? 'refused' as const : 'failed' as const, reason: answer.reason }
    revisionLog.endFetch({ source: nameOf(peer), outcome, reason, revision: outcome === 'newer' ? configuration.revision : undefined, since, startedAt })
    handleEvent({ type: 'ended', inquiry, outcome })
  }
  /** Fetches a revision, first from a process that has it, unless it is here. Resolves with false if it isn't here in time. */
  const obtainRevision = ({ revision, source }: ObtainRequest, timeoutMs = obtainTimeoutMs): Promise<boolean> => {
    if (configuration.revision >= revision) return Promise.resolve(true)
    const isHere = waiters.wait(revision, timeoutMs)
    tell(revision, source, revision)
    return isHere
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
    publishBeacon: (beacon) => receiveBeacon({ beacon, ageMs: 0, held: configuration.revision }, address),
    installConfiguration: (next, added) => install(next, added.filter((delta) => delta.revision > configuration.revision), null),
    spreadRevision,
    onChange: (listener) => void listeners.push(listener),
    close () {
      isOpen = false
      clearTimeout(tickTimer)
      heldBeacon?.relay() // Only clears its timer by now.
      waiters.close()
    }
  }
}
