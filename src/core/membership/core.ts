import { pick, sample } from '../random/index.ts'
import type { Random } from '../random/index.ts'
import {
  ackTimeoutMs, farCopies, farSyncs, indirectProbeCount, maxIncarnation, maxSeedSyncMs, maxStopMs, maxUpdatesPerPacket, memberRetentionMs, minSeedSyncMs, minSyncIntervalMs,
  mismatchesToSync, probeIntervalMs, probeTimeoutMs, pushDelayMs, pushFanout, pushIntervalMs, retransmitFactor, suspicionTimeoutMs
} from './constants.ts'
import { statuses } from './types.ts'
import type { Effect, Event, KnownMember, Member, Packet, Probe, State, Version } from './types.ts'

/** Bound of the first sequence, which follows from the start of the process: an answer to its earlier process matches no probe of this one. */
const sequenceBound = 2 ** 31

/** Creates the initial state of a process, which knows only itself and its seeds. */
export function createMembership (self: Member, seeds: readonly string[], now: number): State {
  return {
    self,
    seeds: seeds.filter((seed) => seed !== self.address),
    known: new Map(),
    pendingUpdates: new Map(),
    pushAt: Infinity,
    probes: [],
    relays: [],
    probeQueues: { near: [], far: [] },
    probesFarNext: false,
    sequence: self.startedAt % sequenceBound,
    nextProbeAt: now,
    nextSyncAt: { near: now, far: now },
    nextSeedSyncAt: now,
    seedAttempts: 0,
    knownDigest: 0,
    digestMismatches: { near: 0, far: 0 }
  }
}

/** Advances the state by one event and returns the effects to apply. */
export function step (state: State, event: Event, now: number, random: Random): Effect[] {
  const effects: Effect[] = []
  switch (event.type) {
    case 'tick': onTick(state, now, random, effects); break
    case 'packet': onPacket(state, event.packet, event.address, now, random, effects); break
    case 'merge': onMerge(state, event.members, event.domain, now, random, effects); break
    case 'target': changeSelf(state, { target: event.target }, now); break
    case 'prepare-leave': changeSelf(state, { leaving: true, stopMs: Math.min(maxStopMs, Math.round(event.stopMs)) }, now); break
    case 'leave': onLeave(state, now, random, effects); break
    case 'unreachable': onUnreachable(state, event.id, now, random, effects); break
  }
  return effects
}

/** Returns the alive and suspect members, including this process. */
export function liveMembers (state: State): Member[] {
  const live = [state.self]
  for (const { member } of state.known.values()) {
    if (member.status === 'alive' || member.status === 'suspect') live.push(member)
  }
  return live
}

/** Returns all member records. */
export function allMembers (state: State): Member[] {
  return [state.self, ...[...state.known.values()].map((known) => known.member)]
}

/** Returns the versions of all member records, for a sync. */
export function versionsOf (state: State): Version[] {
  return allMembers(state).map(({ id, startedAt, incarnation, status }) => [id, startedAt, incarnation, statuses.indexOf(status)])
}

/** Compares the member list with the versions of another process: records that it lacks or has in an older version, and ids whose records it has newer. */
export function compareVersions (state: State, versions: readonly Version[]): { newer: Member[], wanted: string[] } {
  const theirs = new Map(versions.map((version) => [version[0], version]))
  const newer: Member[] = []
  const wanted: string[] = []
  for (const member of allMembers(state)) {
    const version = theirs.get(member.id)
    theirs.delete(member.id)
    const order = version === undefined ? 1 : compareToVersion(member, version)
    if (order > 0) newer.push(member)
    if (order < 0) wanted.push(member.id)
  }
  return { newer, wanted: [...wanted, ...theirs.keys()] }
}

/** Returns the records of these ids. */
export function membersById (state: State, ids: readonly string[]): Member[] {
  const wanted = new Set(ids)
  return allMembers(state).filter(({ id }) => wanted.has(id))
}

/** Returns a positive number when a record is newer than a version, a negative one when it is older, 0 when they are the same. */
function compareToVersion (member: Member, [, startedAt, incarnation, status]: Version): number {
  if (member.startedAt !== startedAt) return member.startedAt - startedAt
  if (member.incarnation !== incarnation) return member.incarnation - incarnation
  return statuses.indexOf(member.status) - status
}

/** Returns true when record `next` overrides record `current` of the same process. */
export function supersedes (next: Member, current: Member): boolean {
  if (next.startedAt !== current.startedAt) return next.startedAt > current.startedAt
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation
  return statuses.indexOf(next.status) > statuses.indexOf(current.status)
}

/** Returns the time at which the next `tick` has something to do, in ms. */
export function tickDueAt (state: State): number {
  let dueAt = Math.min(state.nextProbeAt, state.pushAt, state.nextSeedSyncAt)
  for (const { sentAt, indirect } of state.probes) dueAt = Math.min(dueAt, sentAt + (indirect ? probeTimeoutMs : ackTimeoutMs))
  for (const { member, changedAt } of state.known.values()) {
    if (member.status === 'suspect') dueAt = Math.min(dueAt, changedAt + suspicionTimeoutMs)
  }
  return dueAt
}

function livePeers (state: State): Member[] {
  const result: Member[] = []
  for (const { member } of state.known.values()) {
    if (member.status === 'alive' || member.status === 'suspect') result.push(member)
  }
  return result
}

/** Returns the version that follows. After the largest incarnation, which only a faulty record brings, it counts as a later start. */
function nextVersion ({ startedAt, incarnation }: Member): Pick<Member, 'startedAt' | 'incarnation'> {
  return incarnation < maxIncarnation ? { startedAt, incarnation: incarnation + 1 } : { startedAt: startedAt + 1, incarnation: 0 }
}

/** Changes the own record and queues it: for the own domain, and at least once for each other one. */
function changeSelf (state: State, change: Partial<Member>, now: number): void {
  state.self = { ...state.self, ...change, ...nextVersion(state.self) }
  queueUpdate(state, state.self.id, 1, now)
}

function nearPeers (state: State): Member[] {
  return livePeers(state).filter(({ domain }) => domain === state.self.domain)
}

/** Returns the live members of each other domain. */
function farPeers (state: State): Member[][] {
  const domains = new Map<string, Member[]>()
  for (const member of livePeers(state)) {
    if (member.domain === state.self.domain) continue
    const known = domains.get(member.domain)
    if (known === undefined) domains.set(member.domain, [member])
    else known.push(member)
  }
  return [...domains.values()]
}

/** Queues the update of a member. `far` is the number of pushes to other domains, each of which reaches one member of each. */
function queueUpdate (state: State, id: string, far: number, now: number): void {
  const nearSize = nearPeers(state).length
  state.pendingUpdates.set(id, { near: Math.ceil(retransmitFactor * Math.log2(nearSize + 2)), far })
  state.pushAt = Math.min(state.pushAt, now + pushDelayMs)
}

/** Draws how often this process pushes an update about a member of its domain to other domains, so that all members of the domain together push it `farCopies` times. */
function drawFarPushes (state: State, member: Member, random: Random): number {
  if (member.domain !== state.self.domain) return 0
  const expected = farCopies / (nearPeers(state).length + 1)
  return Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0)
}

/** Returns a 32-bit hash of a member record. Their sum is the digest of a list; equal lists have equal digests. */
function memberDigest (member: Member): number {
  const text = `${member.id}/${member.startedAt}/${member.incarnation}/${member.status}`
  let sum = 0
  for (let index = 0; index < text.length; index++) sum = (Math.imul(sum, 31) + text.charCodeAt(index)) | 0
  return sum
}

function listDigest (state: State): number {
  return (state.knownDigest + memberDigest(state.self)) | 0
}

function storeMember (state: State, known: KnownMember): void {
  const before = state.known.get(known.member.id)
  if (before !== undefined) state.knownDigest = (state.knownDigest - memberDigest(before.member)) | 0
  state.knownDigest = (state.knownDigest + memberDigest(known.member)) | 0
  state.known.set(known.member.id, known)
}

function mergeMember (state: State, member: Member, now: number, random: Random, effects: Effect[]): void {
  if (!storeIfNewer(state, member, now, effects)) return
  queueUpdate(state, member.id, drawFarPushes(state, member, random), now)
}

/** Stores a record that overrides the known one. Returns whether it did. */
function storeIfNewer (state: State, member: Member, now: number, effects: Effect[]): boolean {
  if (member.id === state.self.id) {
    refute(state, member, now)
    return false
  }
  const before = state.known.get(member.id)
  if (before !== undefined && !supersedes(member, before.member)) return false
  storeMember(state, { member, changedAt: now })
  effects.push({ type: 'changed', member })
  return true
}

/**
 * Merges the records of a sync. Those of a process in another domain are news for the own domain. The first records of a
 * process that knew nobody are not, and neither are those from the own domain, where each member compares its list itself.
 */
function onMerge (state: State, members: readonly Member[], domain: string, now: number, random: Random, effects: Effect[]): void {
  const isNews = state.known.size > 0 && domain !== state.self.domain
  for (const member of members) {
    if (isNews) mergeMember(state, member, now, random, effects)
    else storeIfNewer(state, member, now, effects)
  }
}

/** Refutes an update that overrides this process's own record, with a higher incarnation. */
function refute (state: State, update: Member, now: number): void {
  if (update.startedAt < state.self.startedAt || state.self.status === 'left') return
  if (update.startedAt === state.self.startedAt && !supersedes(update, state.self)) return
  const startedAt = Math.max(update.startedAt, state.self.startedAt)
  state.self = { ...state.self, startedAt, incarnation: Math.max(update.incarnation, state.self.incarnation) }
  changeSelf(state, {}, now)
}

function onLeave (state: State, now: number, random: Random, effects: Effect[]): void {
  changeSelf(state, { status: 'left' }, now)
  for (const member of sample(random, nearPeers(state), 2 * pushFanout)) send(member.address, pushPacket(state, 'near'), effects)
  pushFar(state, random, effects)
}

function onUnreachable (state: State, id: string, now: number, random: Random, effects: Effect[]): void {
  const known = state.known.get(id)
  if (known?.member.status === 'alive') mergeMember(state, { ...known.member, status: 'suspect' }, now, random, effects)
}

function onTick (state: State, now: number, random: Random, effects: Effect[]): void {
  expireProbes(state, now, random, effects)
  expireMembers(state, now, random, effects)
  state.relays = state.relays.filter((relay) => relay.expiresAt > now)
  if (now >= state.pushAt) pushUpdates(state, now, random, effects)
  if (now >= state.nextProbeAt) startProbe(state, now, random, effects)
  if (now >= state.nextSeedSyncAt) syncWithSeeds(state, now, random, effects)
}

/** Takes the updates with the most transmissions left, within the own domain or to another one. */
function takeUpdates (state: State, reach: 'near' | 'far'): Member[] {
  const entries = [...state.pendingUpdates.entries()]
    .filter(([, left]) => left[reach] > 0)
    .sort((left, right) => right[1][reach] - left[1][reach])
    .slice(0, maxUpdatesPerPacket)
  const updates: Member[] = []
  for (const [id, left] of entries) {
    const member = id === state.self.id ? state.self : state.known.get(id)?.member
    if (member !== undefined) updates.push(member)
    left[reach]--
    if (member === undefined || (left.near <= 0 && left.far <= 0)) state.pendingUpdates.delete(id)
  }
  return updates
}

function reachOf (state: State, { domain }: Member): 'near' | 'far' {
  return domain === state.self.domain ? 'near' : 'far'
}

/** Returns the updates that ride on a probe or its answer. Those for other domains are only pushed, which counts their copies. */
function takeRidingUpdates (state: State, receiver: Member): Member[] {
  return reachOf(state, receiver) === 'near' ? takeUpdates(state, 'near') : []
}

function send (address: string, packet: Packet, effects: Effect[]): void {
  effects.push({ type: 'send', address, packet })
}

function pushPacket (state: State, reach: 'near' | 'far'): Packet {
  return { type: 'push', from: state.self, updates: takeUpdates(state, reach), digest: listDigest(state) }
}

/** Pushes updates for other domains to one member of each. */
function pushFar (state: State, random: Random, effects: Effect[]): void {
  if (![...state.pendingUpdates.values()].some(({ far }) => far > 0)) return
  const packet = pushPacket(state, 'far')
  for (const members of farPeers(state)) {
    const member = pick(random, members)
    if (member !== undefined) send(member.address, packet, effects)
  }
}

function pushUpdates (state: State, now: number, random: Random, effects: Effect[]): void {
  const packet = pushPacket(state, 'near')
  for (const member of sample(random, nearPeers(state), pushFanout)) send(member.address, packet, effects)
  pushFar(state, random, effects)
  state.pushAt = state.pendingUpdates.size > 0 ? now + pushIntervalMs : Infinity
}

/** Returns the next member to probe, by turns of the own domain and of another one. */
function nextMemberToProbe (state: State, random: Random): Member | undefined {
  state.probesFarNext = !state.probesFarNext
  const [first, second] = state.probesFarNext ? (['far', 'near'] as const) : (['near', 'far'] as const)
  return nextInQueue(state, first, random) ?? nextInQueue(state, second, random)
}

function nextInQueue (state: State, reach: 'near' | 'far', random: Random): Member | undefined {
  const queue = state.probeQueues[reach]
  if (queue.length === 0) {
    const ids: string[] = []
    for (const { member } of state.known.values()) {
      if (member.status !== 'left' && reachOf(state, member) === reach) ids.push(member.id)
    }
    queue.push(...sample(random, ids, ids.length))
  }
  while (queue.length > 0) {
    const known = state.known.get(queue.pop() ?? '')
    if (known !== undefined && known.member.status !== 'left') return known.member
  }
  return undefined
}

/** Probes the next member. Dead members are probed too, to detect that a partition has healed. */
function startProbe (state: State, now: number, random: Random, effects: Effect[]): void {
  state.nextProbeAt = now + probeIntervalMs
  const member = nextMemberToProbe(state, random)
  if (member === undefined) return
  const sequence = ++state.sequence
  state.probes.push({ id: member.id, sequence, sentAt: now, indirect: false })
  const updates = member.status === 'alive' ? takeRidingUpdates(state, member) : [member]
  send(member.address, { type: 'ping', sequence, from: state.self, updates, digest: listDigest(state) }, effects)
}

function expireProbes (state: State, now: number, random: Random, effects: Effect[]): void {
  const pending: Probe[] = []
  for (const probe of state.probes) {
    if (now - probe.sentAt >= probeTimeoutMs) {
      onUnreachable(state, probe.id, now, random, effects)
      continue
    }
    if (!probe.indirect && now - probe.sentAt >= ackTimeoutMs) requestIndirectProbes(state, probe, random, effects)
    pending.push(probe)
  }
  state.probes = pending
}

function requestIndirectProbes (state: State, probe: Probe, random: Random, effects: Effect[]): void {
  probe.indirect = true
  const known = state.known.get(probe.id)
  if (known === undefined || known.member.status !== 'alive') return
  const intermediaries = livePeers(state).filter((member) => member.id !== probe.id)
  for (const intermediary of sample(random, intermediaries, indirectProbeCount)) {
    const { sequence } = probe
    send(intermediary.address, {
      type: 'ping-request', sequence, from: state.self, address: known.member.address, updates: [], digest: listDigest(state)
    }, effects)
  }
}

function expireMembers (state: State, now: number, random: Random, effects: Effect[]): void {
  for (const { member, changedAt } of state.known.values()) {
    const age = now - changedAt
    if (member.status === 'suspect' && age >= suspicionTimeoutMs) mergeMember(state, { ...member, status: 'dead' }, now, random, effects)
    if ((member.status === 'dead' || member.status === 'left') && age >= memberRetentionMs) {
      state.knownDigest = (state.knownDigest - memberDigest(member)) | 0
      state.known.delete(member.id)
    }
  }
}

/**
 * Starts a sync with a seed at whose address no member is known, with exponential backoff. Processes that started
 * at the same time may each have joined through a different seed; without this sync their groups would never merge.
 */
function syncWithSeeds (state: State, now: number, random: Random, effects: Effect[]): void {
  const addresses = new Set([...state.known.values()].map(({ member }) => member.address))
  const unknownSeeds = state.seeds.filter((seed) => !addresses.has(seed))
  if (addresses.size === 0 || unknownSeeds.length === 0) state.seedAttempts = 0
  state.nextSeedSyncAt = now + Math.min(maxSeedSyncMs, minSeedSyncMs * 2 ** state.seedAttempts)
  const seed = pick(random, unknownSeeds)
  if (seed === undefined) {
    state.nextSeedSyncAt = now + maxSeedSyncMs
    return
  }
  state.seedAttempts++
  effects.push({ type: 'sync', address: seed })
}

function onPacket (state: State, packet: Packet, address: string, now: number, random: Random, effects: Effect[]): void {
  const known = state.known.get(packet.from.id)?.member
  mergeMember(state, packet.from, now, random, effects)
  for (const update of packet.updates) mergeMember(state, update, now, random, effects)
  switch (packet.type) {
    case 'ping': onPing(state, packet, known, now, random, effects); break
    case 'ack': onAck(state, packet, now, random, effects); break
    case 'ping-request': onPingRequest(state, packet, address, now, effects); break
    case 'push': break
  }
}

function onPing (state: State, packet: Extract<Packet, { type: 'ping' }>, known: Member | undefined, now: number, random: Random, effects: Effect[]): void {
  const corrections = known !== undefined && known.status !== 'alive' && !supersedes(packet.from, known) ? [known] : []
  const updates = [...corrections, ...takeRidingUpdates(state, packet.from)]
  send(packet.from.address, { type: 'ack', sequence: packet.sequence, from: state.self, updates, digest: listDigest(state) }, effects)
  checkDigest(state, packet, now, random, effects)
}

function onAck (state: State, packet: Extract<Packet, { type: 'ack' }>, now: number, random: Random, effects: Effect[]): void {
  const { sequence, from } = packet
  const isEarlierProcess = (state.known.get(from.id)?.member.startedAt ?? 0) > from.startedAt
  if (!isEarlierProcess) state.probes = state.probes.filter((probe) => probe.sequence !== sequence || probe.id !== from.id)
  const relay = state.relays.find((candidate) => candidate.sequence === sequence && candidate.target === from.address)
  if (relay !== undefined) send(relay.address, { ...packet, sequence: relay.originalSequence }, effects)
  checkDigest(state, packet, now, random, effects)
}

function onPingRequest (state: State, packet: Extract<Packet, { type: 'ping-request' }>, address: string, now: number, effects: Effect[]): void {
  const sequence = ++state.sequence
  state.relays.push({ sequence, address, target: packet.address, originalSequence: packet.sequence, expiresAt: now + probeTimeoutMs })
  send(packet.address, { type: 'ping', sequence, from: state.self, updates: [], digest: listDigest(state) }, effects)
}

/**
 * Starts a sync after `mismatchesToSync` consecutive mismatches, which gossiped updates alone did not resolve. Of a domain
 * that differs from another one, only `farSyncs` members sync with it; the others learn the differences from them.
 */
function checkDigest (state: State, packet: Packet, now: number, random: Random, effects: Effect[]): void {
  const reach = reachOf(state, packet.from)
  if (packet.digest === listDigest(state)) {
    state.digestMismatches[reach] = 0
    return
  }
  state.digestMismatches[reach]++
  if (state.digestMismatches[reach] < mismatchesToSync || now < state.nextSyncAt[reach]) return
  state.digestMismatches[reach] = 0
  state.nextSyncAt[reach] = now + minSyncIntervalMs
  if (reach === 'far' && random.next() * (nearPeers(state).length + 1) >= farSyncs) return
  effects.push({ type: 'sync', address: packet.from.address })
}
