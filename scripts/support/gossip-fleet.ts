import { Packr } from 'msgpackr/pack'
import { compareVersions, createMembership, encodeMember, encodePacket, liveMembers, membersById, step, versionsOf } from '../../src/core/membership/index.ts'
import type { Effect, Event, Member, State } from '../../src/core/membership/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const tickMs = 20
/** Bytes of a packet on the wire beside its content. */
const signatureBytes = 60
const envelopeBytes = 40

const codec = new Packr({ useRecords: false })

/** Simulated members under a virtual clock, connected by queues that delay and lose packets. */
export interface GossipFleet {
  states: State[]
  now: () => number
  run: (ms: number) => void
  applyEvent: (index: number, event: Event) => void
  /** Crashes a member; it sends and receives nothing from then on. */
  crashMember: (index: number) => void
  /** Drops all messages between members of different sides; undefined ends the partition. */
  partition: (sideOf: ((index: number) => number) | undefined) => void
  /** Sets the fraction of packets that are lost. */
  setLossFraction: (fraction: number) => void
  /** Returns the messages, bytes, bytes to other domains and syncs sent by all members since the last reset. */
  traffic: () => { messages: number, bytes: number, farBytes: number, syncs: number }
  resetTraffic: () => void
  /** Runs until every live member satisfies the predicate or `limitMs` have passed. Returns the time that passed, in ms. */
  runUntil: (predicate: (state: State) => boolean, limitMs: number) => number
}

/** Creates `size` members in `domains` failure domains. Each knows the first two members as seeds. */
export function createGossipFleet (size: number, domains: number, seed: number): GossipFleet {
  const random = createRandom(seed)
  const addressOf = (index: number) => `10.0.${Math.floor(index / 250)}.${index % 250}:7000`
  const indexOf = new Map(Array.from({ length: size }, (_, index) => [addressOf(index), index]))
  const states = Array.from({ length: size }, (_, index): State => createMembership({
    id: `node-${index}`,
    startedAt: 1_700_000_000_000,
    boot: `boot-${index}`,
    incarnation: 0,
    status: 'alive',
    role: 'node',
    domain: `domain-${index % domains}`,
    address: addressOf(index),
    target: { service: `service-${index % 25}`, slots: 100, connections: 700, state: 'up', startedAt: 1_700_000_000_000 }
  } satisfies Member, [addressOf(0), addressOf(1 % size)], 0))
  const dead = new Set<number>()
  let queue: Array<{ from: number, to: number, deliver: () => void }> = []
  let partitionSide: ((index: number) => number) | undefined
  let lossFraction = 0
  let now = 0
  let traffic = { messages: 0, bytes: 0, farBytes: 0, syncs: 0 }

  const isPartitioned = (from: number, to: number) => partitionSide !== undefined && partitionSide(from) !== partitionSide(to)
  const act = (index: number, event: Event) => {
    if (dead.has(index)) return
    for (const effect of step(states[index], event, now, random)) applyEffect(index, effect)
  }
  const applyEffect = (index: number, effect: Effect) => {
    if (effect.type === 'changed') return
    const to = indexOf.get(effect.address) ?? 0
    traffic.messages++
    if (effect.type === 'sync') {
      traffic.syncs++
      queue.push({ from: index, to, deliver: () => exchangeStates(index, to) })
      return
    }
    const { packet } = effect
    recordBytes(index, to, codec.pack(encodePacket(packet)).length + signatureBytes + envelopeBytes)
    if (random.next() >= lossFraction) queue.push({ from: index, to, deliver: () => act(to, { type: 'packet', packet, address: addressOf(index) }) })
  }
  const recordBytes = (from: number, to: number, bytes: number) => {
    traffic.bytes += bytes
    if (states[from].self.domain !== states[to].self.domain) traffic.farBytes += bytes
  }
  const exchangeStates = (from: number, to: number) => {
    const versions = versionsOf(states[from])
    const { newer, wanted } = compareVersions(states[to], versions)
    const missing = membersById(states[from], wanted)
    recordBytes(from, to, JSON.stringify([versions, missing.map(encodeMember)]).length)
    recordBytes(to, from, JSON.stringify([newer.map(encodeMember), wanted]).length)
    act(to, { type: 'merge', members: missing, domain: states[from].self.domain })
    act(from, { type: 'merge', members: newer, domain: states[to].self.domain })
  }
  const fleet: GossipFleet = {
    states,
    now: () => now,
    run (ms) {
      for (const until = now + ms; now < until;) {
        now += tickMs
        const delivered = queue
        queue = []
        for (const { from, to, deliver } of delivered) {
          if (!isPartitioned(from, to) && !dead.has(to) && !dead.has(from)) deliver()
        }
        for (let index = 0; index < size; index++) act(index, { type: 'tick' })
      }
    },
    applyEvent: act,
    crashMember: (index) => void dead.add(index),
    partition (sideOf) {
      partitionSide = sideOf
    },
    setLossFraction (fraction) {
      lossFraction = fraction
    },
    traffic: () => traffic,
    resetTraffic () {
      traffic = { messages: 0, bytes: 0, farBytes: 0, syncs: 0 }
    },
    runUntil (predicate, limitMs) {
      const start = now
      while (now - start < limitMs) {
        if (states.every((state, index) => dead.has(index) || predicate(state))) return now - start
        fleet.run(tickMs)
      }
      return limitMs
    }
  }
  return fleet
}

/** Returns the number of members that a state considers alive. */
export function liveMemberCount (state: State): number {
  return liveMembers(state).length
}
