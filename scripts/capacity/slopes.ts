import { claimWindowMs, createClaimTally, createHolder, decideClaim, recordReply, updateSlots } from '../../src/core/claims/index.ts'
import type { ClaimSlot } from '../../src/core/config/index.ts'
import { acceptBeacon, createFreshness } from '../../src/core/freshness/index.ts'
import { createRandom, sample } from '../../src/core/random/index.ts'
import { createLedger, decideGrant } from '../../src/core/rate/index.ts'
import { applyCommand, configurationOf, createRegistry } from '../../src/core/registry/index.ts'
import type { Command } from '../../src/core/registry/index.ts'
import { encodeRecord } from '../../src/core/storage/index.ts'
import { createGossipFleet, liveMemberCount } from '../support/gossip-fleet.ts'
import { cpuMicroseconds, heapBytes, toThreeDigits } from './units.ts'
import type { Point, Slope } from './units.ts'

const fleetSizes = [10, 40, 120, 440]
/** Fraction of packets that are lost. */
const lossFraction = 0.3
const beaconFanout = 3
const beaconBytes = 330
/** Time from the sending of a beacon to its reception by the next member, in milliseconds. */
const hopMs = 1.5

function measureGossip (size: number): Point {
  const heapBefore = heapBytes()
  const fleet = createGossipFleet(size, 7, 1)
  const convergenceMs = fleet.runUntil((state) => liveMemberCount(state) === size, 60_000)
  fleet.run(8000)
  const heap = (heapBytes() - heapBefore) / size
  fleet.resetTraffic()
  const seconds = 5
  const cpu = cpuMicroseconds(() => fleet.run(seconds * 1000))
  const { messages, bytes } = fleet.traffic()
  fleet.setLossFraction(lossFraction)
  fleet.applyEvent(3, { type: 'target', target: { service: 'new', slots: 1, connections: 1, state: 'up', startedAt: 1 } })
  const updateMs = fleet.runUntil((state) => state.self.id === 'node-3' || state.known.get('node-3')?.member.target?.service === 'new', 30_000)
  return {
    size,
    values: {
      'messages/s a member': toThreeDigits(messages / size / seconds),
      'bytes/s a member': toThreeDigits(bytes / size / seconds),
      '% of a core a member': toThreeDigits(cpu / size / seconds / 10_000),
      'KB a member': toThreeDigits(heap / 1024),
      'ms to form': convergenceMs,
      'ms for news to all, 30% loss': updateMs
    }
  }
}

/** Measures how fast a beacon reaches all members when each member relays it on first reception. */
function measureBeacons (size: number): Point {
  const random = createRandom(7)
  const spreadTimes: number[] = []
  let sent = 0
  const rounds = 50
  for (let round = 1; round <= rounds; round++) {
    const states = Array.from({ length: size }, createFreshness)
    const members = states.map((_, index) => index)
    let receivers: number[] = [0]
    let reachedCount = 0
    let ms = 0
    const beacon = { term: 1, sequence: round, revision: 0, issuedAt: 0, leader: 'a', address: 'a' }
    while (receivers.length > 0) {
      const nextReceivers: number[] = []
      for (const index of receivers) {
        if (!acceptBeacon(states[index], beacon, ms, ms, ms)) continue
        reachedCount++
        for (const other of sample(random, members, beaconFanout)) {
          sent++
          if (random.next() >= lossFraction) nextReceivers.push(other)
        }
      }
      ms += hopMs
      receivers = nextReceivers
    }
    spreadTimes.push(reachedCount / size < 1 ? ms + 400 : ms)
  }
  spreadTimes.sort((left, right) => left - right)
  return {
    size,
    values: {
      'bytes/s a member at 2.5 beacons/s': toThreeDigits(sent / rounds / size * beaconBytes * 2.5),
      'median ms to reach all or nearly all': toThreeDigits(spreadTimes[rounds / 2]),
      'worst of 50, ms, with the next beacon': toThreeDigits(spreadTimes[rounds - 1])
    }
  }
}

function measureRateGrants (size: number): Point {
  const ledger = createLedger('g', -10_000)
  const limit = { rate: 10_000, burst: 5000 }
  let now = 0
  const demands = Array.from({ length: size }, () => undefined as { generation: string, sequence: number, rate: number, burst: number } | undefined)
  const round = () => {
    now += 250
    for (let index = 0; index < size; index++) {
      const grant = decideGrant(ledger, `n${index}`, { workspace: 'w', rate: 20, waiting: 0, held: demands[index] }, limit, now)
      demands[index] = grant
    }
  }
  round()
  const rounds = 8
  const cpu = cpuMicroseconds(() => {
    for (let count = 0; count < rounds; count++) round()
  })
  const microsecondsPerReport = cpu / rounds / size
  return { size, values: { 'µs a report and workspace': toThreeDigits(microsecondsPerReport), '% of a core of the leader, 8 workspaces, 4 reports/s': toThreeDigits(microsecondsPerReport * size * 4 * 8 / 10_000) } }
}

function measureClaims (size: number): Point {
  const slot: ClaimSlot = {
    view: 1, members: [{ node: 'a', boot: 'a', domain: 'a' }, { node: 'b', boot: 'b', domain: 'b' }, { node: 'c', boot: 'c', domain: 'c' }], ready: ['a', 'b', 'c'], copyQuorum: 2, blockedAt: 0
  }
  const before = heapBytes()
  const state = createHolder('a')
  updateSlots(state, { s0: slot })
  const request = (index: number) => ({ slot: 's0', view: 1, key: `key-${index}`.padEnd(32, '0'), digest: 'd'.repeat(64), attempt: `attempt-${index}`, runsForMs: 1000 })
  for (let index = 0; index < size; index++) decideClaim(state, request(index), claimWindowMs)
  const heap = heapBytes() - before
  const count = 5000
  const cpu = cpuMicroseconds(() => {
    for (let index = 0; index < count; index++) {
      const tally = createClaimTally(slot, 'd'.repeat(64))
      const reply = decideClaim(state, request(index % size), claimWindowMs)
      recordReply(tally, 'a', reply)
      recordReply(tally, 'b', reply)
    }
  })
  return { size, values: { 'µs a decision and its count': toThreeDigits(cpu / count), 'bytes a claim held': toThreeDigits(heap / size) } }
}

function measureLog (size: number): Point {
  const registry = createRegistry()
  const template = { routes: [{ name: 'r', method: 'GET', path: '/r', service: 's', priority: 'normal', open: false, timeoutMs: 1000 }], parameters: {} }
  let logBytes = 0
  const apply = (change: Record<string, unknown>, index: number) => {
    const command = { type: 'change', operator: 'anna', at: index, change: { changeId: `change-${index}`, ...change } } as unknown as Command
    logBytes += encodeRecord({ type: 'entry', entry: { index, term: 1, id: 'x'.repeat(16), payload: { type: 'command', command } } }).length
    applyCommand(registry, command)
  }
  apply({ kind: 'template', name: 't', value: template }, 0)
  const cpu = cpuMicroseconds(() => {
    for (let index = 1; index <= size; index++) {
      apply({ kind: 'workspace', name: `w${index % 100}`, value: { template: 't', parameters: { rate: index % 90 }, priorities: {}, nonIdempotent: [] } }, index)
    }
  })
  return {
    size,
    values: {
      'log bytes a change': toThreeDigits(logBytes / size),
      'snapshot KB': toThreeDigits(JSON.stringify(registry).length / 1024),
      'configuration KB for a node': toThreeDigits(JSON.stringify(configurationOf(registry)).length / 1024),
      'µs a change': toThreeDigits(cpu / size)
    }
  }
}

/** Measures the state machines in this process at growing sizes. */
export function measureSlopes (progress: (text: string) => void): Slope[] {
  const measureSlope = (name: string, unit: string, sizes: readonly number[], point: (size: number) => Point): Slope => {
    progress(name)
    return { name, unit, points: sizes.map(point) }
  }
  return [
    measureSlope('Membership by gossip', 'members', fleetSizes, measureGossip),
    measureSlope('Beacons, 30% loss', 'members', fleetSizes, measureBeacons),
    measureSlope('Rate shares at the leader', 'holders', fleetSizes, measureRateGrants),
    measureSlope('Claims at a holder', 'claims held', [1000, 10_000, 50_000, 100_000], measureClaims),
    measureSlope('Replicated log and snapshot', 'changes', [200, 1200, 6000, 12_000], measureLog)
  ]
}
