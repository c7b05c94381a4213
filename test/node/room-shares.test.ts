import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createReportedFractions } from '../../src/core/admission/index.ts'
import { priorities } from '../../src/core/config/index.ts'
import type { Log } from '../../src/core/log/index.ts'
import { fail } from '../../src/core/errors/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCallSender } from '../../src/core/node/attempts.ts'
import type { Forwarder } from '../../src/core/node/forward.ts'
import { createRoomShares } from '../../src/core/node/room-shares.ts'
import type { RoomShares } from '../../src/core/node/room-shares.ts'
import type { CallServer } from '../../src/core/node/serve.ts'
import { createCancellation } from '../../src/core/node/types.ts'
import type { AttemptOutcome, Call, CallContext, Report, Sink } from '../../src/core/node/types.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createBudget } from '../../src/core/retries/index.ts'
import { createSilentDecisions } from './silent-decisions.ts'

const report: Report = { used: 0, load: 0, shed: false, share: 0.25 }
const answered: AttemptOutcome = { type: 'answered', status: 200, report }

function contextOf (attempt: string, fields: Partial<CallContext> = {}): CallContext {
  return { attempt, service: 's', route: 'r', template: 't', workspace: 'w', weight: 1, priority: -1, rank: 1, depth: 0, idempotent: true, suspect: false, ...fields } as CallContext
}

function createEnvironment () {
  const time = { now: 0 }
  const lines: string[] = []
  const log = { info: (message: string) => void lines.push(message), warn () {}, error () {} } as unknown as Log
  const clock = { now: () => time.now, date: () => new Date(time.now) }
  return { time, lines, environment: { clock, random: createRandom(1), log, metrics: createMetrics() } }
}

/** Runs 20 calls in progress and one direct request in each 100 ms; calls take 100 ms. */
function load (shares: RoomShares, time: { now: number }, untilMs: number, perStep: number): void {
  for (; time.now < untilMs; time.now += 100) {
    const contexts = Array.from({ length: perStep }, (_, index) => contextOf(`${time.now}/${index}`))
    const direct = contextOf(`${time.now}/direct`, { priority: 2, rank: 2, route: 'direct' })
    for (const context of [...contexts, direct]) {
      shares.enter(context)
      shares.start(context)
    }
    time.now += 100
    for (const context of [...contexts, direct]) shares.leave(context, answered)
    time.now -= 100
  }
}

test('a node states the share of its target by class, in lines, gauges and reports', () => {
  const { time, lines, environment } = createEnvironment()
  const shares = createRoomShares(() => 10, environment)
  load(shares, time, 4000, 20)
  const share = shares.stateShare(contextOf('x'), [])
  assert.ok(share > 0.3 && share < 0.6, `${share}`)
  assert.equal(shares.stateShare(contextOf('x', { priority: 2, rank: 2, route: 'unknown' }), []), 1)
  assert.match(environment.metrics.expose(), /room_share\{class="in progress",rank="1"\} 0\.[345]/)
  assert.deepEqual(lines, ['room of the target is short'])
  load(shares, time, 10_000, 4)
  assert.equal(shares.stateShare(contextOf('x'), []), 1)
  assert.deepEqual(lines, ['room of the target is short', 'room of the target is no longer short'])
  shares.close()
})

test('a node between passes on the share of the callees that a route needs, for the same rank', () => {
  const { time, environment } = createEnvironment()
  const shares = createRoomShares(() => 10, environment)
  shares.recordReport(contextOf('a', { service: 'last', route: 'l' }), 'n1', report)
  shares.recordReport(contextOf('a', { service: 'last', route: 'l', rank: 0 }), 'n1', { ...report, share: 0.8 })
  shares.recordReport(contextOf('a', { service: 'last', route: 'l' }), 'n2', { ...report, share: undefined })
  assert.equal(shares.stateShare(contextOf('x'), ['last/l']), 0.25)
  assert.equal(shares.stateShare(contextOf('x', { rank: 0 }), ['last/l']), 0.8)
  assert.equal(shares.stateShare(contextOf('x'), ['other/l']), 1)
  time.now = 10_000
  assert.equal(shares.stateShare(contextOf('x'), ['last/l']), 1)
  shares.close()
})

test('what is stated for calls of requests in progress does not count for direct requests to the same route', () => {
  const { environment } = createEnvironment()
  const shares = createRoomShares(() => 10, environment)
  const direct = contextOf('b', { priority: 1 })
  shares.recordReport(contextOf('a'), 'n1', report)
  shares.recordReport(direct, 'n1', { ...report, share: 0.9 })
  assert.equal(shares.shareOf('s/r', 1), 0.9)
  assert.equal(shares.shareFor(direct), 0.9)
  assert.equal(shares.shareFor(contextOf('c')), 0.25)
  assert.equal(shares.shareFor(contextOf('c', { priority: 1, depth: 1 })), 0.25)
  assert.equal(shares.stateShare(contextOf('x'), ['s/r']), 0.25)
  shares.close()
})

test('calls that never entered or left twice do not count', () => {
  const { time, environment } = createEnvironment()
  const shares = createRoomShares(() => 1, environment)
  shares.leave(contextOf('unknown'), undefined)
  for (; time.now < 2000; time.now += 50) {
    const context = contextOf(`${time.now}`)
    shares.enter(context)
    shares.leave(context, undefined)
    shares.leave(context, answered)
  }
  assert.equal(shares.stateShare(contextOf('x'), []), 1)
  shares.close()
})

/** Sends 200 calls from an entry node whose callee states a share of a quarter. Returns what was sent on and the counters. */
async function send (fields: Partial<CallContext>, outcomeOf: () => AttemptOutcome, isExpectedRetry: (index: number) => boolean = () => false) {
  const { time, environment } = createEnvironment()
  const shares = createRoomShares(() => 10, environment)
  const sent: Array<number | undefined> = []
  const forward = async (_node: string, { context }: Call) => {
    sent.push(context.heardShare)
    return outcomeOf()
  }
  const target = { service: 's', slots: 1, connections: 1, state: 'up' as const, startedAt: 0 }
  const member: Member = { id: 'a', startedAt: 0, boot: 'a', incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: 'a', target }
  const sender = createCallSender({
    peers: { self: () => ({ ...member, id: 'entry' }), members: () => [member], reportUnreachable () {} } as unknown as Peers,
    server: {} as CallServer,
    forwarder: { forward } as unknown as Forwarder,
    roomPlacement: false,
    fleetRetries: Infinity,
    reportedFractions: createReportedFractions(),
    roomShares: shares,
    mayBegin: () => true,
    drainMs: Infinity,
    decisions: createSilentDecisions(),
    environment
  })
  for (let index = 0; index < 200; index++) {
    const context = contextOf(`${index}`, fields)
    const call = { context, deadlineAt: time.now + 1000, cancellation: createCancellation(), isExpectedRetry: isExpectedRetry(index) } as unknown as Call
    await sender.send(call, createBudget(0), {} as Sink)
    time.now += 20
  }
  sender.close()
  shares.close()
  return { sent, metrics: environment.metrics }
}

test('an entry node begins the stated share of new requests, tells the callee what it heard, and does not throttle them too', async () => {
  const { sent, metrics } = await send({ priority: 1 }, () => ({ type: 'answered', status: 503, report }))
  assert.ok(Math.abs(sent.length - 50) <= 3, `${sent.length}`)
  assert.deepEqual([sent[0], sent[1]], [undefined, 0.25])
  assert.equal(metrics.value('turned_away_total{priority="1"}'), 200 - sent.length)
  assert.equal(priorities.reduce((sum, priority) => sum + metrics.value(`throttled_total{priority="${priority}"}`), 0), 0)
})

test('calls of requests in progress are never turned away', async () => {
  assert.equal((await send({ priority: -1 }, () => answered)).sent.length, 200)
  assert.equal((await send({ priority: 1, depth: 1 }, () => answered)).sent.length, 200)
})

test('a node without its target states nothing about room', async () => {
  const gone: AttemptOutcome = { type: 'refused', failure: fail('noTarget', { service: 's' }), elsewhere: true, arrived: false, report }
  assert.equal((await send({ priority: 1 }, () => gone)).sent.length, 200)
})
