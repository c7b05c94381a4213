import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../src/core/random/index.ts'
import { chooseTarget, createTargetStats, explainChoice, recordAnswer, recordFailure, recordStart, recordStatement, statsOf } from '../../src/core/routing/index.ts'
import type { Candidate, TargetStatsMap } from '../../src/core/routing/index.ts'

const callee = 's/r'
const random = createRandom(1)

function candidate (node: string, slots = 10): Candidate {
  return { node, domain: node.split('-')[0], slots }
}

/** Records an answer of a target that states its room and the working time of the callee. */
function state (statsByNode: TargetStatsMap, node: string, { room = 10, workMs = 100, load = 0 }, now: number): void {
  const stats = statsOf(statsByNode, node)
  recordAnswer(stats, workMs, load, now)
  recordStatement(stats.statements, callee, { room, workMs }, now)
}

/** Returns the part of many choices that each node gets. */
function choose (statsByNode: TargetStatsMap, candidates: readonly Candidate[], ownDomain = 'near', now = 0): Record<string, number> {
  const parts: Record<string, number> = Object.fromEntries(candidates.map(({ node }) => [node, 0]))
  const choices = 4096
  for (let count = 0; count < choices; count++) parts[chooseTarget(statsByNode, candidates, ownDomain, now, random, callee)?.node ?? 'none'] += 1 / choices
  return parts
}

function assertClose (actual: number, expected: number, tolerance: number): void {
  assert.ok(Math.abs(actual - expected) <= tolerance, `${actual} is not within ${tolerance} of ${expected}`)
}

test('target of speed 0.5 gets a third of the calls of one of speed 1.5', () => {
  const statsByNode = createTargetStats()
  state(statsByNode, 'near-slow', { workMs: 200 }, 0)
  state(statsByNode, 'near-fast', { workMs: 200 / 3 }, 0)
  const parts = choose(statsByNode, [candidate('near-slow'), candidate('near-fast')])
  assertClose(parts['near-slow'], 0.25, 0.03)
})

test('unknown target gets the part of a mean one at once', () => {
  const statsByNode = createTargetStats()
  state(statsByNode, 'near-1', { workMs: 100 }, 0)
  state(statsByNode, 'near-2', { workMs: 100 }, 0)
  assertClose(choose(statsByNode, ['near-1', 'near-2', 'near-new'].map((node) => candidate(node)))['near-new'], 1 / 3, 0.03)
})

test('statements age out to the slots and the mean', () => {
  const statsByNode = createTargetStats()
  const candidates = [candidate('near-1', 20), candidate('near-2', 20)]
  const weightAt = (now: number) => {
    state(statsByNode, 'near-2', { workMs: 100, room: 20 }, now)
    return explainChoice(statsByNode, candidates, 'near', callee, now)?.[0].weight ?? NaN
  }
  state(statsByNode, 'near-1', { workMs: 400, room: 10 }, 0)
  const weights = [0, 3000, 6000, 10_000, 20_000].map(weightAt)
  assertClose(weights[0], 1 / 9, 0.01)
  for (let index = 1; index < weights.length; index++) assert.ok(weights[index] >= weights[index - 1], JSON.stringify(weights))
  assert.ok(weights[1] > 0.2, JSON.stringify(weights))
  assertClose(weights[4], 0.5, 0.01)
})

test('without statements the better of two is chosen as before', () => {
  const statsByNode = createTargetStats()
  const candidates = ['near-1', 'near-2', 'far-1'].map((node) => candidate(node))
  statsOf(statsByNode, 'near-1').inFlight = 3
  recordStatement(statsOf(statsByNode, 'near-2').statements, 's/other', { room: 5, workMs: 1 }, 0)
  const choices = (name?: string) => {
    const same = createRandom(7)
    return Array.from({ length: 200 }, () => chooseTarget(statsByNode, candidates, 'near', 0, same, name)?.node)
  }
  assert.deepEqual(choices(callee), choices())
  assert.equal(explainChoice(statsByNode, candidates, 'near', callee, 0), undefined)
})

test('calls stay in the own domain below its knee, and leave it smoothly above', () => {
  const candidates = ['near-1', 'near-2', 'far-1'].map((node) => candidate(node))
  const leavingAt = (load: number, workMs = 100) => {
    const statsByNode = createTargetStats()
    for (const node of ['near-1', 'near-2']) state(statsByNode, node, { load, workMs }, 0)
    state(statsByNode, 'far-1', { load: 0.2, workMs }, 0)
    return explainChoice(statsByNode, candidates, 'near', callee, 0)?.[2].weight ?? NaN
  }
  const parts = [0.3, 0.6, 0.7, 0.8, 0.9, 1.2].map((load) => leavingAt(load))
  assert.equal(parts[0], 0)
  assert.equal(parts[1], 0)
  for (let index = 2; index < parts.length; index++) assert.ok(parts[index] > parts[index - 1], JSON.stringify(parts))
  assert.ok(parts[2] < 0.2 && parts[5] > 0.8, JSON.stringify(parts))
  assert.equal(leavingAt(0.75, 2), 0, 'a short call stays where it would have to wait less than on its way')
})

test('calls do not leave for a domain that is as loaded', () => {
  const statsByNode = createTargetStats()
  for (const node of ['near-1', 'far-1', 'far-2']) state(statsByNode, node, { load: 0.95 }, 0)
  assert.equal(choose(statsByNode, ['near-1', 'far-1', 'far-2'].map((node) => candidate(node)))['near-1'], 1)
})

test('calls begun since the last report count as load', () => {
  const statsByNode = createTargetStats()
  for (const node of ['near-1', 'near-2']) state(statsByNode, node, { load: 0.2 }, 0)
  for (let count = 0; count < 8; count++) recordStart(statsOf(statsByNode, 'near-1'), 0)
  assert.ok(choose(statsByNode, [candidate('near-1'), candidate('near-2')])['near-1'] < 0.1)
})

test('silent target gets hardly any calls after a short time', () => {
  const statsByNode = createTargetStats()
  for (const node of ['near-1', 'near-2']) state(statsByNode, node, { workMs: 20, load: 0.2, room: 100 }, 0)
  recordStart(statsOf(statsByNode, 'near-1'), 0)
  const partAt = (now: number) => choose(statsByNode, [candidate('near-1', 100), candidate('near-2', 100)], 'near', now)['near-1']
  assertClose(partAt(20), 0.5, 0.05)
  assert.ok(partAt(500) < 0.05)
})

test('cut-off domain uses its own targets only', () => {
  const statsByNode = createTargetStats()
  state(statsByNode, 'near-1', { load: 3 }, 0)
  assert.deepEqual(choose(statsByNode, [candidate('near-1')]), { 'near-1': 1 })
})

test('ejected target gets no calls and is shown as such', () => {
  const statsByNode = createTargetStats()
  const candidates = [candidate('near-1'), candidate('near-2')]
  for (const { node } of candidates) state(statsByNode, node, {}, 0)
  for (let count = 0; count < 3; count++) recordFailure(statsOf(statsByNode, 'near-1'), 0)
  const before = structuredClone(statsByNode)
  const [first, second] = explainChoice(statsByNode, candidates, 'near', callee, 1) ?? []
  assert.deepEqual([first.isEjected, first.weight, second.isEjected, second.weight], [true, 0, false, 1])
  assert.equal(choose(statsByNode, candidates, 'near', 1)['near-1'], 0)
  assert.deepEqual(statsByNode, before)
})

/** A target in a fluid model: what is at it, its room and its speed. */
interface Fluid extends Candidate {
  speed: (now: number) => number
  requests: number
  /** Largest load in the observed time, and their sum. */
  peakLoad: number
  loadMs: number
}

const workMs = 50

/**
 * Offers calls to targets from one node in each domain. A node hears of a target's load and working time 10 ms after it sent a call there, which stands for
 * the way of an answer and for the time between two of them.
 * `offered` is the number of calls per ms and domain, `known` the targets that
 * nodes know of.
 */
function runFleet (fleet: readonly Fluid[], offered: (now: number, domain: string) => number, untilMs: number, observedFromMs: number, known: (now: number) => readonly Fluid[] = () => fleet): void {
  const stepMs = 5
  const delayMs = 10
  const domains = [...new Set(fleet.map(({ domain }) => domain))]
  const views = new Map(domains.map((domain) => [domain, createTargetStats()]))
  const reports: Array<{ at: number, domain: string, target: Fluid, load: number, workMs: number }> = []
  for (let now = 0; now < untilMs; now += stepMs) {
    while (reports.length > 0 && reports[0].at <= now) {
      const [{ domain, target, load, workMs }] = reports.splice(0, 1)
      const stats = statsOf(views.get(domain) ?? createTargetStats(), target.node)
      stats.inFlight--
      state(new Map([[target.node, stats]]), target.node, { room: target.slots, workMs, load }, now)
    }
    for (const [domain, statsByNode] of views) {
      const expected = offered(now, domain) * stepMs
      const calls = Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0)
      for (let call = 0; call < calls; call++) {
        const target = chooseTarget(statsByNode, known(now), domain, now, random, callee) as Fluid
        recordStart(statsOf(statsByNode, target.node), now)
        target.requests++
        reports.push({ at: now + delayMs, domain, target, load: target.requests / target.slots, workMs: workMs / target.speed(now) })
      }
    }
    for (const target of fleet) {
      target.requests = Math.max(0, target.requests - stepMs * target.speed(now) / workMs * Math.min(target.requests, target.slots))
      if (now < observedFromMs) continue
      target.peakLoad = Math.max(target.peakLoad, target.requests / target.slots)
      target.loadMs += stepMs * target.requests / target.slots
    }
  }
}

function fluid (node: string, speed: (now: number) => number = () => 1): Fluid {
  return { ...candidate(node, 40), speed, requests: 0, peakLoad: 0, loadMs: 0 }
}

const roomPerMs = 40 / workMs

/** Asserts that no call waited longer than a quarter of a working time at any target, and that none was overloaded on average. */
function assertNotOverloaded (fleet: readonly Fluid[], observedMs: number): void {
  for (const { node, peakLoad, loadMs } of fleet) assert.ok(peakLoad < 1.25 && loadMs / observedMs < 1, `${node}: ${peakLoad}, mean ${loadMs / observedMs}`)
}

test('wave over three domains with 2, 1 and 1 targets overloads none of them', () => {
  const fleet = ['a-1', 'a-2', 'b-1', 'c-1'].map((node) => fluid(node))
  const phase: Record<string, number> = { a: 0, b: 2, c: 4 }
  // A third of the demand in each domain, 0.75 of all room on average.
  runFleet(fleet, (now, domain) => 4 * roomPerMs * 0.75 / 3 * (1 + 0.55 * Math.sin(now / 3000 + phase[domain])), 30_000, 2000)
  assertNotOverloaded(fleet, 28_000)
})

test('one of four targets at half speed from the tenth second on is not overloaded', () => {
  const fleet = ['a-1', 'a-2', 'b-1', 'c-1'].map((node) => fluid(node, (now) => node === 'b-1' && now >= 10_000 ? 0.5 : 1))
  runFleet(fleet, () => 4 * roomPerMs * 0.75 / 3, 20_000, 12_000)
  assertNotOverloaded(fleet, 8000)
})

test('target that joins gets its part within a second', () => {
  const joinsAt = 2000
  const fleet = ['a-1', 'a-2', 'a-3'].map((node) => fluid(node))
  runFleet(fleet, () => 1.5 * roomPerMs, 3000, 2500, (now) => now < joinsAt ? fleet.slice(0, 2) : fleet)
  for (const { loadMs } of fleet) assertClose(loadMs / 500, 0.5, 0.1)
})

test('a target is still chosen when all are loaded far beyond their room', () => {
  const statsByNode = createTargetStats()
  const candidates = [candidate('near-1', 1), candidate('near-2', 1)]
  for (const { node } of candidates) {
    state(statsByNode, node, { room: 1 }, 0)
    for (let count = 0; count < 400; count++) recordStart(statsOf(statsByNode, node), 0)
  }
  const parts = choose(statsByNode, candidates)
  assertClose(parts['near-1'], 0.5, 0.03)
  assertClose(parts['near-2'], 0.5, 0.03)
  assert.deepEqual(choose(statsByNode, candidates.slice(0, 1)), { 'near-1': 1 })
})

test('a target that overflows is preferred to one that overflows more, however far', () => {
  const statsByNode = createTargetStats()
  const counts: Record<string, number> = { 'near-1': 300, 'near-2': 500 }
  for (const [node, count] of Object.entries(counts)) {
    state(statsByNode, node, { room: 1 }, 0)
    for (let started = 0; started < count; started++) recordStart(statsOf(statsByNode, node), 0)
  }
  assert.equal(choose(statsByNode, Object.keys(counts).map((node) => candidate(node, 1)))['near-1'], 1)
})
