import { pick, sample } from '../random/index.ts'
import type { Random } from '../random/index.ts'
import {
  ackTimeoutMs, minSeedSyncMs, memberRetentionMs, indirectProbeCount, maxSeedSyncMs, mismatchesToSync, maxUpdatesPerPacket, retransmitFactor, probeTimeoutMs, probeIntervalMs, pushDelayMs, pushFanout, suspicionTimeoutMs, minSyncIntervalMs
} from './constants.ts'
import { statuses } from './types.ts'
import type { Effect, Event, KnownMember, Member, Packet, Probe, State } from './types.ts'

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
    probeQueue: [],
    sequence: 0,
    nextProbeAt: now,
    nextSyncAt: now,
    nextSeedSyncAt: now,
    seedAttempts: 0,
    knownDigest: 0,
    digestMismatches: 0
  }
}

/** Advances the state by one event and returns the effects to apply. */
export function step (state: State, event: Event, now: number, random: Random): Effect[] {
  const effects: Effect[] = []
  switch (event.type) {
    case 'tick': onTick(state, now, random, effects); break
    case 'packet': onPacket(state, event.packet, event.address, now, effects); break
    case 'merge': for (const member of event.members) mergeMember(state, member, now, effects); break
    case 'target': changeSelf(state, { target: event.target }, now); break
    case 'prepare-leave': changeSelf(state, { leaving: true }, now); break
    case 'leave': onLeave(state, now, random, effects); break
    case 'unreachable': onUnreachable(state, event.id, now, effects); break
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

/** Returns all member records, for a full sync. */
export function allMembers (state: State): Member[] {
  return [state.self, ...[...state.known.values()].map((known) => known.member)]
}

/** Returns true when record `next` overrides record `current` of the same process. */
export function supersedes (next: Member, current: Member): boolean {
  if (next.startedAt !== current.startedAt) return next.startedAt > current.startedAt
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation
  return statuses.indexOf(next.status) > statuses.indexOf(current.status)
}

function livePeers (state: State): Member[] {
  const result: Member[] = []
  for (const { member } of state.known.values()) {
    if (member.status === 'alive' || member.status === 'suspect') result.push(member)
  }
  return result
}

function changeSelf (state: State, change: Partial<Member>, now: number): void {
  state.self = { ...state.self, ...change, incarnation: state.self.incarnation + 1 }
  queueUpdate(state, state.self.id, now)
}

function queueUpdate (state: State, id: string, now: number): void {
  state.pendingUpdates.set(id, retransmitFactor * Math.ceil(Math.log2(state.known.size + 2)))
  state.pushAt = Math.min(state.pushAt, now + pushDelayMs)
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

function mergeMember (state: State, member: Member, now: number, effects: Effect[]): void {
  if (member.id === state.self.id) return refute(state, member, now)
  const before = state.known.get(member.id)
  if (before !== undefined && !supersedes(member, before.member)) return
  storeMember(state, { member, changedAt: now })
  queueUpdate(state, member.id, now)
  effects.push({ type: 'changed', member })
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
  for (const member of sample(random, livePeers(state), 2 * pushFanout)) send(member.address, pushPacket(state), effects)
}

function onUnreachable (state: State, id: string, now: number, effects: Effect[]): void {
  const known = state.known.get(id)
  if (known?.member.status === 'alive') mergeMember(state, { ...known.member, status: 'suspect' }, now, effects)
}

function onTick (state: State, now: number, random: Random, effects: Effect[]): void {
  expireProbes(state, now, random, effects)
  expireMembers(state, now, effects)
  state.relays = state.relays.filter((relay) => relay.expiresAt > now)
  if (now >= state.pushAt) pushUpdates(state, random, effects)
  if (now >= state.nextProbeAt) startProbe(state, now, random, effects)
  if (now >= state.nextSeedSyncAt) syncWithSeeds(state, now, random, effects)
}

function takeUpdates (state: State): Member[] {
  const entries = [...state.pendingUpdates.entries()].sort((left, right) => right[1] - left[1]).slice(0, maxUpdatesPerPacket)
  const updates: Member[] = []
  for (const [id, left] of entries) {
    const member = id === state.self.id ? state.self : state.known.get(id)?.member
    if (member !== undefined) updates.push(member)
    if (left > 1 && member !== undefined) state.pendingUpdates.set(id, left - 1)
    else state.pendingUpdates.delete(id)
  }
  return updates
}

function send (address: string, packet: Packet, effects: Effect[]): void {
  effects.push({ type: 'send', address, packet })
}

function pushPacket (state: State): Packet {
  return { type: 'push', from: state.self, updates: takeUpdates(state), digest: listDigest(state) }
}

function pushUpdates (state: State, random: Random, effects: Effect[]): void {
  state.pushAt = Infinity
  const packet = pushPacket(state)
  for (const member of sample(random, livePeers(state), pushFanout)) send(member.address, packet, effects)
}

function nextMemberToProbe (state: State, random: Random): Member | undefined {
  while (true) {
    if (state.probeQueue.length === 0) {
      const ids = [...state.known.keys()]
      state.probeQueue = sample(random, ids, ids.length)
    }
    const id = state.probeQueue.pop()
    if (id === undefined) return undefined
    const known = state.known.get(id)
    if (known !== undefined && known.member.status !== 'left') return known.member
    if (state.probeQueue.length === 0) return undefined
  }
}

/** Probes the next member. Dead members are probed too, to detect that a partition has healed. */
function startProbe (state: State, now: number, random: Random, effects: Effect[]): void {
  state.nextProbeAt = now + probeIntervalMs
  const member = nextMemberToProbe(state, random)
  if (member === undefined) return
  const sequence = ++state.sequence
  state.probes.push({ id: member.id, sequence, sentAt: now, indirect: false })
  const updates = member.status === 'alive' ? takeUpdates(state) : [member]
  send(member.address, { type: 'ping', sequence, from: state.self, updates, digest: listDigest(state) }, effects)
}

function expireProbes (state: State, now: number, random: Random, effects: Effect[]): void {
  const pending: Probe[] = []
  for (const probe of state.probes) {
    if (now - probe.sentAt >= probeTimeoutMs) {
      onUnreachable(state, probe.id, now, effects)
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

function expireMembers (state: State, now: number, effects: Effect[]): void {
  for (const { member, changedAt } of state.known.values()) {
    const age = now - changedAt
    if (member.status === 'suspect' && age >= suspicionTimeoutMs) mergeMember(state, { ...member, status: 'dead' }, now, effects)
    if ((member.status === 'dead' || member.status === 'left') && age >= memberRetentionMs) {
      state.knownDigest = (state.knownDigest - memberDigest(member)) | 0
      state.known.delete(member.id)
    }
  }
}

/**
 * Starts a full sync with a seed at whose address no member is known, with exponential backoff. Processes that started
 * at the same time may each have joined through a different seed; without this sync their groups would never merge.
 */
function syncWithSeeds (state: State, now: number, random: Random, effects: Effect[]): void {
  const addresses = new Set([...state.known.values()].map(({ member }) => member.address))
  const unknownSeeds = state.seeds.filter((seed) => !addresses.has(seed))
  if (addresses.size === 0 || unknownSeeds.length === 0) state.seedAttempts = 0
  state.nextSeedSyncAt = now + Math.min(maxSeedSyncMs, minSeedSyncMs * 2 ** state.seedAttempts)
  const seed = pick(random, unknownSeeds)
  if (seed === undefined) return
  state.seedAttempts++
  effects.push({ type: 'sync', address: seed })
}

function onPacket (state: State, packet: Packet, address: string, now: number, effects: Effect[]): void {
  const known = state.known.get(packet.from.id)?.member
  mergeMember(state, packet.from, now, effects)
  for (const update of packet.updates) mergeMember(state, update, now, effects)
  switch (packet.type) {
    case 'ping': onPing(state, packet, known, now, effects); break
    case 'ack': onAck(state, packet, now, effects); break
    case 'ping-request': onPingRequest(state, packet, address, now, effects); break
    case 'push': break
  }
}

function onPing (state: State, packet: Extract<Packet, { type: 'ping' }>, known: Member | undefined, now: number, effects: Effect[]): void {
  const corrections = known !== undefined && known.status !== 'alive' && !supersedes(packet.from, known) ? [known] : []
  const updates = [...corrections, ...takeUpdates(state)]
  send(packet.from.address, { type: 'ack', sequence: packet.sequence, from: state.self, updates, digest: listDigest(state) }, effects)
  checkDigest(state, packet, now, effects)
}

function onAck (state: State, packet: Extract<Packet, { type: 'ack' }>, now: number, effects: Effect[]): void {
  state.probes = state.probes.filter((probe) => probe.sequence !== packet.sequence)
  const relay = state.relays.find((candidate) => candidate.sequence === packet.sequence)
  if (relay !== undefined) send(relay.address, { ...packet, sequence: relay.originalSequence }, effects)
  checkDigest(state, packet, now, effects)
}

function onPingRequest (state: State, packet: Extract<Packet, { type: 'ping-request' }>, address: string, now: number, effects: Effect[]): void {
  const sequence = ++state.sequence
  state.relays.push({ sequence, address, originalSequence: packet.sequence, expiresAt: now + probeTimeoutMs })
  send(packet.address, { type: 'ping', sequence, from: state.self, updates: [], digest: listDigest(state) }, effects)
}

/** Starts a full sync after `mismatchesToSync` consecutive mismatches, which gossiped updates alone did not resolve. */
function checkDigest (state: State, packet: Packet, now: number, effects: Effect[]): void {
  if (packet.digest === listDigest(state)) {
    state.digestMismatches = 0
    return
  }
  state.digestMismatches++
  if (state.digestMismatches < mismatchesToSync || now < state.nextSyncAt) return
  state.digestMismatches = 0
  state.nextSyncAt = now + minSyncIntervalMs
  effects.push({ type: 'sync', address: packet.from.address })
}
