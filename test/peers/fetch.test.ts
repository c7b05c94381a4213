import assert from 'node:assert/strict'
import { test } from 'node:test'
import { abandonAfterMs, createFetch, maxInquiries, silentAfterMs, slowAfterMs, stepFetch } from '../../src/core/peers/fetch.ts'
import type { FetchChoices, FetchEvent, FetchState } from '../../src/core/peers/fetch.ts'
import { chooseHolder, chooseRelays, chooseSource } from '../../src/core/peers/spread.ts'
import { probeIntervalMs } from '../../src/core/membership/constants.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createRandom, pick } from '../../src/core/random/index.ts'

/** A process that knows the processes `a` to `z` and draws the first usable one. */
function createAsker () {
  const state = createFetch()
  const all = Array.from({ length: 26 }, (_, index) => String.fromCharCode(97 + index))
  const choices: FetchChoices = { chooseHolder: ([first]) => first, chooseAny: (isUsable) => all.find(isUsable), random: () => 0.5 }
  const asked: string[] = []
  const step = (event: FetchEvent, now: number) => {
    for (const effect of stepFetch(state, event, now, choices)) if (effect.type === 'ask') asked.push(effect.source)
  }
  /** Ticks when due, until `until`. */
  const run = (until: number) => {
    while (state.dueAt <= until) step({ type: 'tick' }, state.dueAt)
  }
  return { state, asked, step, run }
}

test('a process that does not answer keeps no other from being asked', () => {
  const { asked, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  run(silentAfterMs - 1)
  assert.deepEqual(asked, ['m'])
  run(silentAfterMs)
  assert.deepEqual(asked, ['m', 'a'])
})

test('an answer that arrives in parts is not asked for twice', () => {
  const { asked, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  for (let now = 100; now < slowAfterMs; now += 100) {
    run(now)
    step({ type: 'arriving', inquiry: 1 }, now)
  }
  assert.deepEqual(asked, ['m'])
  step({ type: 'installed', revision: 1 }, slowAfterMs - 1)
  step({ type: 'ended', inquiry: 1, outcome: 'newer' }, slowAfterMs - 1)
  run(10_000)
  assert.deepEqual(asked, ['m'])
})

test('a trickling answer does not delay a change without end', () => {
  const { asked, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  for (let now = 50; now <= slowAfterMs; now += 50) {
    run(now)
    step({ type: 'arriving', inquiry: 1 }, now)
  }
  assert.deepEqual(asked, ['m', 'a'])
})

test('a process that told of a change but has not got it is not asked while another is known to have it', () => {
  const { asked, step } = createAsker()
  step({ type: 'installed', revision: 1 }, 0)
  step({ type: 'told', revision: 2, source: 'm', held: 1 }, 0)
  step({ type: 'told', revision: 2, source: 'n', held: 2 }, 1)
  assert.deepEqual(asked, ['n'])
})

test('a process that did not answer is not drawn again at once', () => {
  const { asked, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'a', held: 1 }, 0)
  run(abandonAfterMs)
  assert.equal(asked.filter((source) => source === 'a').length, 1)
  assert.equal(new Set(asked).size, asked.length)
})

test('a process that has no room for an answer now is not taken for a silent one', () => {
  const { state, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  step({ type: 'ended', inquiry: 1, outcome: 'refused' }, 5)
  assert.deepEqual([...state.avoided], [])
  run(1000)
  assert.ok(state.inquiries.length > 0)
})

test('a process that stood still itself blames nobody for it', () => {
  const { state, asked, step } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  step({ type: 'tick' }, 3000)
  assert.deepEqual([...state.avoided], [])
  assert.deepEqual(asked, ['m'])
})

test('a process whose timers are always late asks another one nevertheless', () => {
  const { state, asked, step } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  for (let count = 0; count < 2; count++) step({ type: 'tick' }, state.dueAt + 2 * silentAfterMs)
  assert.deepEqual(asked, ['m', 'a'])
})

test('answers without news lead to further questions, but not to a rush of them', () => {
  const { state, asked, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  for (let now = 1; now < 1000; now++) {
    run(now)
    for (const { id, askedAt } of [...state.inquiries]) if (now - askedAt >= 2) step({ type: 'ended', inquiry: id, outcome: 'nothing newer' }, now)
  }
  assert.ok(asked.length >= 10 && asked.length <= 20, `${asked.length}`)
})

test('however many do not answer, a bounded number is waited for', () => {
  const { state, step, run } = createAsker()
  step({ type: 'told', revision: 1, source: 'm', held: 1 }, 0)
  for (let now = 0; now < 20_000; now += 10) {
    run(now)
    assert.ok(state.inquiries.length <= maxInquiries)
  }
  assert.ok(state.inquiries.length > 0, 'it goes on asking')
})

/** Half of the shortest time within which a deployment wants a change in force, in ms. */
const boundMs = 1000

/** Questions to the leader about one change: a few a domain, however many processes there are. */
const maxAsksOfLeader = 20

interface Node {
  member: Member
  fetch: FetchState
  dark: boolean
  installedAt: number
  asked: number
  heldUntil: number
}

/** Plays one change in a fleet of which a part has just fallen silent. Returns the latest installation in ms, and questions asked and answered. */
function playChange (seed: number, size: number, darkShare: number) {
  const random = createRandom(seed)
  const members: Member[] = Array.from({ length: size }, (_, index) => ({
    id: `n${index}`, startedAt: 1, boot: `b${index}`, incarnation: 0, status: 'alive', role: 'node', domain: `d${index % 4}`, address: `10.0.0.${index}:1`
  }))
  const nodes = new Map<string, Node>(members.map((member, index) => [member.address, {
    member, fetch: createFetch(), dark: index > 0 && random.next() < darkShare, installedAt: Infinity, asked: 0, heldUntil: -Infinity
  }]))
  const events: Array<{ at: number, run: (now: number) => void }> = []
  const after = (at: number, run: (now: number) => void) => void events.push({ at, run })
  const latency = () => 1 + random.next() * 2
  const leader = nodes.get(members[0].address)!
  let answered = 0
  let ofLeader = 0
  const relay = (node: Node, now: number) => {
    if (node.dark) return
    const held = node.installedAt <= now ? 1 : 0
    for (const to of chooseRelays(node.member, members, node === leader, random)) after(now + latency(), (at) => hear(nodes.get(to)!, node.member.address, held, at))
  }
  const heard = new Map<Node, number>()
  let beacon = 0
  const hear = (node: Node, from: string, held: number, now: number) => {
    if (node.dark) return
    if (node.installedAt > now) step(node, { type: 'told', revision: 1, source: from, held }, now)
    if (heard.get(node) === beacon) return
    heard.set(node, beacon)
    if (node.heldUntil === -Infinity) {
      node.heldUntil = now + 100
      after(node.heldUntil, (at) => node.heldUntil === Infinity || relay(node, at))
    } else relay(node, now)
  }
  const step = (node: Node, event: FetchEvent, now: number) => {
    const choices: FetchChoices = {
      chooseHolder: (holders) => chooseHolder(node.member, members, holders, random),
      chooseAny: (isUsable) => chooseSource(node.member, members, leader.member.address, random, isUsable),
      random: random.next
    }
    for (const effect of stepFetch(node.fetch, event, now, choices)) if (effect.type === 'ask') ask(node, effect.source, effect.inquiry, now)
    const { dueAt } = node.fetch
    if (Number.isFinite(dueAt)) after(dueAt, (at) => dueAt === node.fetch.dueAt && step(node, { type: 'tick' }, at))
  }
  const ask = (node: Node, source: string, inquiry: number, now: number) => {
    node.asked++
    const asked = nodes.get(source)!
    if (asked === leader) ofLeader++
    if (asked.dark) return
    after(now + 2 * latency(), (at) => {
      const isNew = asked.installedAt <= at
      if (isNew) answered++
      if (isNew && node.installedAt === Infinity) {
        node.installedAt = at
        node.heldUntil = Infinity
        step(node, { type: 'installed', revision: 1 }, at)
        relay(node, at)
      }
      step(node, { type: 'ended', inquiry, outcome: isNew ? 'newer' : 'nothing newer' }, at)
    })
  }
  /** Each process probes another one at intervals; both tell each other what they know. */
  const probe = (node: Node, now: number) => {
    if (!node.dark) {
      const other = nodes.get(pick(random, members)!.address)!
      const exchange = (from: Node, to: Node, at: number) => heard.has(from) && hear(to, from.member.address, from.installedAt <= at ? 1 : 0, at)
      after(now + latency(), (at) => exchange(node, other, at))
      if (!other.dark) after(now + 2 * latency(), (at) => exchange(other, node, at))
    }
    after(now + probeIntervalMs, (at) => probe(node, at))
  }
  leader.installedAt = 0
  heard.set(leader, 0)
  for (const node of nodes.values()) after(random.next() * probeIntervalMs, (at) => probe(node, at))
  for (const at of [0, 400, 800, 1200, 1600]) {
    after(at, (now) => {
      beacon++
      relay(leader, now)
    })
  }
  while (events.length > 0) {
    events.sort((left, right) => left.at - right.at)
    const next = events.shift()!
    if (next.at > 2000) break
    next.run(next.at)
  }
  const live = [...nodes.values()].filter(({ dark }) => !dark)
  return { latestMs: Math.max(...live.map(({ installedAt }) => installedAt)), answeredPerNode: answered / live.length, ofLeader }
}

for (const [size, darkShare] of [[17, 0.25], [92, 0.25], [199, 0.1], [199, 0]]) {
  test(`a change reaches ${size} processes in time when ${100 * darkShare}% of them have fallen silent`, () => {
    for (let seed = 1; seed <= 20; seed++) {
      const { latestMs, answeredPerNode, ofLeader } = playChange(seed, size, darkShare)
      assert.ok(latestMs < boundMs, `seed ${seed}: ${latestMs} ms`)
      assert.ok(answeredPerNode < 1.2, `seed ${seed}: a configuration was sent ${answeredPerNode} times a process`)
      assert.ok(ofLeader < maxAsksOfLeader, `seed ${seed}: the leader was asked ${ofLeader} times`)
    }
  })
}
