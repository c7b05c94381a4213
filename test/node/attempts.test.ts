import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createReportedFractions, recordReportedFraction } from '../../src/core/admission/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import type { Clock } from '../../src/core/clock/index.ts'
import { fail } from '../../src/core/errors/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCallSender } from '../../src/core/node/attempts.ts'
import type { SendContext } from '../../src/core/node/attempts.ts'
import type { Forwarder } from '../../src/core/node/forward.ts'
import type { CallServer } from '../../src/core/node/serve.ts'
import { createCancellation, emptyReport } from '../../src/core/node/types.ts'
import type { AttemptOutcome, Call, CallContext, Sink } from '../../src/core/node/types.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createBudget } from '../../src/core/retries/index.ts'
import { createSilentDecisions } from './silent-decisions.ts'

const refused: AttemptOutcome = { type: 'refused', failure: fail('notExecuted', { status: 503 }), elsewhere: true, arrived: true, report: emptyReport }
const failed: AttemptOutcome = { type: 'failed', failure: fail('brokenAnswer', { reason: 'closed' }), crashed: false, report: emptyReport }
const answered: AttemptOutcome = { type: 'answered', status: 200, report: emptyReport }

function member (id: string): Member {
  const target = { service: 's', slots: 1, connections: 1, state: 'up' as const, startedAt: 0 }
  return { id, startedAt: 0, boot: id, incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: id, target }
}

/** Creates the sender of a node whose calls to the nodes `ids` end as `forward` says. */
function createSender (ids: string[], forward: (node: string, call: Call) => Promise<AttemptOutcome>, options: Pick<SendContext, 'mayBegin'> & Partial<SendContext>) {
  const members = ids.map(member)
  const peers = { self: () => member('entry'), members: () => members, reportUnreachable () {} } as unknown as Peers
  return createCallSender({
    peers,
    server: {} as CallServer,
    forwarder: { forward } as unknown as Forwarder,
    fleetRetries: Infinity,
    roomPlacement: true,
    reportedFractions: createReportedFractions(),
    drainMs: Infinity,
    decisions: createSilentDecisions(),
    environment: { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() },
    ...options
  })
}

function createCall (fields: Partial<CallContext>): Call {
  const context = { service: 's', route: 'r', template: 't', workspace: null, priority: 2, depth: 0, idempotent: true, suspect: false, ...fields }
  return { context, deadlineAt: systemClock.now() + 1000, cancellation: createCancellation() } as unknown as Call
}

/** Sends one call with five extra attempts; `outcomesOf` gives the outcomes of each node's attempts in order. Returns the outcome, the nodes tried and the budget left. */
async function send (outcomesOf: Record<string, AttemptOutcome[]>, idempotent: boolean, waitMs?: number, mayBegin = () => true, { fraction, isBookedReturn = false }: { fraction?: number, isBookedReturn?: boolean } = {}) {
  const nodes: string[] = []
  const waits: Array<number | undefined> = []
  const forward = async (node: string, { context }: Call) => {
    nodes.push(node)
    waits.push(context.waitMs)
    return outcomesOf[node].shift() ?? answered
  }
  const reportedFractions = createReportedFractions()
  if (fraction !== undefined) recordReportedFraction(reportedFractions, 's/r', 'a', fraction, systemClock.now())
  const sender = createSender(Object.keys(outcomesOf), forward, { mayBegin, reportedFractions })
  const budget = createBudget(5)
  const outcome = await sender.send({ ...createCall({ idempotent, waitMs }), isBookedReturn }, budget, {} as Sink)
  sender.close()
  return { outcome, nodes, waits, budget }
}

test('call goes once to the only target, which refuses it, and takes no retry for that', async () => {
  const { outcome, nodes, budget } = await send({ a: [refused] }, false)
  assert.deepEqual([outcome, nodes, budget.used], [refused, ['a'], 0])
})

test('call goes once to each target that refuses it', async () => {
  const { outcome, nodes, budget } = await send({ a: [refused], b: [refused], c: [refused] }, false)
  assert.deepEqual([outcome, nodes.sort(), budget.used], [refused, ['a', 'b', 'c'], 2])
})

test('call that was refused and has failed is tried again only where it failed', async () => {
  const { outcome, nodes } = await send({ a: [refused], b: [failed, failed] }, true)
  assert.deepEqual([outcome, nodes.sort()], [answered, ['a', 'b', 'b', 'b']])
})

test('call that has failed at its only target is tried there again', async () => {
  const { outcome, nodes } = await send({ a: [failed] }, true)
  assert.deepEqual([outcome, nodes], [answered, ['a', 'a']])
})

test('a retry of a call that may have run is not shed for the time that its first attempt took', async () => {
  const { outcome, waits } = await send({ a: [failed] }, true, 0)
  assert.deepEqual([outcome, waits[1]], [answered, undefined])
})

test('a node that stops begins no further attempt that its stop would cut', async () => {
  const refusedOnce = await send({ a: [refused], b: [refused] }, false, undefined, () => false)
  assert.deepEqual([refusedOnce.outcome, refusedOnce.nodes.length], [refused, 1])
  const failedOnce = await send({ a: [failed], b: [failed] }, true, undefined, () => false)
  assert.deepEqual([failedOnce.outcome, failedOnce.nodes.length], [failed, 1])
})

/** Sends requests of one route at a target that admits those of rank 0 only, and returns how each of these ranks ended. */
async function sendRanks (ranks: number[], rankedWaiting: boolean): Promise<string[]> {
  const forward = async (_: string, { context }: Call): Promise<AttemptOutcome> => ({ ...answered, report: { ...emptyReport, share: context.priority === 0 ? 1 : 0 } })
  const sender = createSender(['a'], forward, { mayBegin: () => true, rankedWaiting })
  const ends: string[] = []
  for (const priority of ranks) ends.push((await sender.send(createCall({ priority, rank: priority }), createBudget(0), {} as Sink)).type)
  sender.close()
  return ends
}

test('where requests wait by rank, the fraction reported for one rank of a route is not applied to another', async () => {
  assert.deepEqual(await sendRanks([3, 0, 3, 0], true), ['answered', 'answered', 'refused', 'answered'])
  assert.deepEqual(await sendRanks([3, 0, 3, 0], false), ['answered', 'refused', 'refused', 'refused'])
})

test('a caller for whom room was set aside is admitted before those who come for the first time', async () => {
  const first = await send({ a: [] }, true, undefined, undefined, { fraction: 0 })
  assert.deepEqual([first.outcome.type, first.nodes], ['refused', []])
  const returning = await send({ a: [] }, true, undefined, undefined, { fraction: 0, isBookedReturn: true })
  assert.deepEqual([returning.outcome, returning.nodes], [answered, ['a']])
})

/** Sends 200 calls to four targets, one of which fails all of them and states so. Returns how many it got. */
async function countAtFailing (roomPlacement: boolean, ownFailures?: number): Promise<number> {
  let count = 0
  const forward = async (node: string): Promise<AttemptOutcome> => {
    if (node !== 'a') return answered
    count++
    return { type: 'answered', status: 500, report: { ...emptyReport, ownFailures } }
  }
  const clock: Clock = { now: () => 0, date: () => new Date(0) }
  const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  const sender = createSender(['a', 'b', 'c', 'd'], forward, { mayBegin: () => true, roomPlacement, environment })
  for (let call = 0; call < 200; call++) await sender.send(createCall({}), createBudget(0), {} as Sink)
  sender.close()
  return count
}

test('a target that states its own failures gets hardly any more calls, unless calls are not placed by room', async () => {
  assert.ok(await countAtFailing(true, 0.9) <= 2)
  assert.equal(await countAtFailing(false, 0.9), await countAtFailing(false))
  assert.ok(await countAtFailing(false, 0.9) > 20)
})
