import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLoopLoad, recordLoopUse, statedLoopLoad } from '../../src/core/processor/index.ts'
import type { LoopLoad } from '../../src/core/processor/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { chooseTarget, createTargetStats, recordAnswer, recordStart, recordStatement, statsOf } from '../../src/core/routing/index.ts'
import type { Candidate } from '../../src/core/routing/index.ts'

const callee = 's/r'
const slots = 150
const workMs = 50
const checkMs = 100
const sendersPerDomain = 20

/** A target whose node spends `callMs` of its processor on each call, one after the other. */
interface Target extends Candidate {
  callMs: number
  running: number
  /** Time until which the processor is busy with what has come, and its busy time so far, in ms. */
  busyUntil: number
  busyMs: number
  load: LoopLoad
  latenessMs: number
}

function createTarget (node: string, callMs: number): Target {
  return { node, domain: node.split('-')[0], slots, callMs, running: 0, busyUntil: 0, busyMs: 0, load: createLoopLoad(0, 0), latenessMs: 0 }
}

/** Sends calls of each domain at the given rate a second for 10 s, and returns the longest time that calls of the last 5 s waited for a processor. */
function longestWait (targets: readonly Target[], rates: Record<string, number>, statesProcessor: boolean): number {
  const random = createRandom(5)
  const senders = Object.entries(rates).flatMap(([domain, rate]) => Array.from({ length: sendersPerDomain }, () => ({ domain, rate: rate / sendersPerDomain, statsByNode: createTargetStats() })))
  const events: Array<{ at: number, happen: () => void }> = []
  let longestMs = 0
  for (let now = 0; now < 10_000; now++) {
    for (const target of targets) {
      if (now < target.busyUntil) target.busyMs++
      if (now % checkMs !== 0) continue
      target.latenessMs = Math.max(0, target.busyUntil - now)
      recordLoopUse(target.load, target.busyMs, now)
    }
    const due = events.filter(({ at }) => at <= now)
    for (const event of due) {
      events.splice(events.indexOf(event), 1)
      event.happen()
    }
    for (const { domain, rate, statsByNode } of senders) {
      if (random.next() >= rate / 1000) continue
      const target = chooseTarget(statsByNode, targets, domain, now, random, callee) as Target
      const stats = statsOf(statsByNode, target.node)
      recordStart(stats, now)
      const waitMs = Math.max(0, target.busyUntil - now)
      if (now >= 5000) longestMs = Math.max(longestMs, waitMs)
      target.busyUntil = now + waitMs + target.callMs
      // Until its node reads it, a call lies in the buffers of the system, where nobody counts it.
      events.push({ at: now + waitMs, happen: () => void target.running++ }, {
        at: now + waitMs + workMs,
        happen () {
          target.running--
          stats.inFlight--
          const load = Math.max(target.running / slots, statesProcessor ? statedLoopLoad(target.load, target.latenessMs) : 0)
          recordAnswer(stats, waitMs + workMs, load, now)
          recordStatement(stats.statements, callee, { room: slots, workMs }, now)
        }
      })
    }
  }
  return longestMs
}

const createTargets = () => ['a-1', 'a-2', 'b-1', 'c-1'].map((name) => createTarget(name, 1))

test('a target whose node is short of processor time sheds calls to other domains, though its slots are free', () => {
  const rates = { a: 1100, b: 1100, c: 1000 }
  assert.ok(longestWait(createTargets(), rates, false) > 300, 'the load must be too much for some nodes without statements of their processors')
  assert.ok(longestWait(createTargets(), rates, true) < 150, `${longestWait(createTargets(), rates, true)}`)
})

test('a processor with time to spare is no load', () => {
  const load = createLoopLoad(0, 0)
  for (let now = 100; now <= 3000; now += 100) recordLoopUse(load, 0.45 * now, now)
  assert.equal(statedLoopLoad(load, 20), 0)
})

test('a loop that is always busy counts as full, and as more when it is late', () => {
  const load = createLoopLoad(500, 0)
  for (let now = 100; now <= 3000; now += 100) recordLoopUse(load, 500 + now, now)
  assert.ok(statedLoopLoad(load, 0) > 0.99)
  assert.ok(statedLoopLoad(load, 200) > 1.15)
})

test('what a loop did before is not its load', () => {
  const load = createLoopLoad(5000, 1000)
  recordLoopUse(load, 5000, 1100)
  assert.equal(statedLoopLoad(load, 0), 0)
})
