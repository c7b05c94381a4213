import assert from 'node:assert/strict'
import type { IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { createReportedFractions, recordReportedFraction } from '../../src/core/admission/index.ts'
import { issueKey } from '../../src/core/auth/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { fail } from '../../src/core/errors/index.ts'
import { createLog, createRequestLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCallSender } from '../../src/core/node/attempts.ts'
import { createDecisions } from '../../src/core/node/decisions.ts'
import { defaultDialect } from '../../src/core/node/dialect.ts'
import type { Forwarder } from '../../src/core/node/forward.ts'
import type { CallServer } from '../../src/core/node/serve.ts'
import type { Stop } from '../../src/core/node/stop.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import { calleeKey, createCancellation, emptyReport } from '../../src/core/node/types.ts'
import type { AttemptOutcome, Call, CallContext, Sink } from '../../src/core/node/types.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createBudget } from '../../src/core/retries/index.ts'

const log = (lines: Array<Record<string, unknown>>) => createLog(true, {
  write: (line) => void lines.push((JSON.parse(line) as { details: Record<string, unknown> }).details), finish () {}
})

/** Creates decisions whose lines the test reads. */
function createLogged (stop?: Stop) {
  const lines: Array<Record<string, unknown>> = []
  const environment = { clock: systemClock, random: createRandom(1), log: log(lines), metrics: createMetrics() }
  const decisions = createDecisions({
    requestLog: createRequestLog('n-1', environment.log, environment.metrics, systemClock),
    dialect: defaultDialect,
    target: {} as OwnTarget,
    directory: { limitOf: () => ({ rate: 5, burst: 10 }) },
    rates: { state: () => ({ share: 2, left: 0, waiting: 3, unansweredMs: 0 }) },
    clock: systemClock,
    revision: () => 7,
    stop: () => stop
  })
  return { decisions, lines, environment }
}

function createCall (headers: string[] = ['x-request-id', 'r-1'], context: Partial<CallContext> = {}): Call {
  return {
    context: { chain: 'c-1', attempt: 'c-1', service: 's', route: 'r', template: 't', workspace: 'w', priority: 2, depth: 0, idempotent: true, ...context } as CallContext,
    method: 'GET',
    path: '/',
    headers,
    body: Buffer.alloc(0),
    deadlineAt: systemClock.now() + 1000,
    cancellation: createCancellation()
  }
}

function requestWith (headers: Record<string, string>): IncomingMessage {
  return { headers, method: 'GET' } as unknown as IncomingMessage
}

const arrival = { arrivedAt: 0, callerRequest: { host: 'h', key: undefined, timeLeftMs: undefined, fromTargetAddress: false }, method: 'GET', route: undefined, identity: undefined }
const good: AttemptOutcome = { type: 'answered', status: 200, report: emptyReport }
const end = { extraAttempts: 0, startedAt: 0 }

test('good answers do not fill the log: one of 500 leaves a line', () => {
  const { decisions, lines } = createLogged()
  for (let count = 0; count < 1000; count++) decisions.endRequest(createCall(), { ...end, outcome: good })
  assert.deepEqual(lines.map(({ event }) => event), ['request_answered', 'request_answered'])
})

test('an error of the target and a caller that left are not taken for good answers', () => {
  const { decisions, lines } = createLogged()
  decisions.endRequest(createCall(), { ...end, outcome: { ...good, status: 500 } })
  const left = createCall()
  left.cancellation.cancel()
  decisions.endRequest(left, { ...end, outcome: good })
  decisions.recordUndelivered(left, { ...end, outcome: good })
  decisions.recordUndelivered(left, { ...end, outcome: { ...good, status: 500 } })
  assert.deepEqual(lines.map(({ event, status, callerLeft }) => [event, status, callerLeft]), [
    ['request_ended', 500, false], ['request_ended', 200, true], ['request_ended', 200, true]
  ])
})

test('a request without an id is found by its chain, and an attempt keeps both', () => {
  const { decisions, lines } = createLogged()
  decisions.refuseClaim(createCall([], { attempt: 'a-1' }), { type: 'running' })
  decisions.refuseClaim(createCall(undefined, { attempt: 'a-1' }), { type: 'running' })
  assert.deepEqual(lines.map(({ id, chain, attempt }) => [id, chain, attempt]), [['c-1', 'c-1', 'a-1'], ['r-1', 'c-1', 'a-1']])
})

test('answer replayed from a claim is no refusal', () => {
  const { decisions, lines } = createLogged()
  decisions.refuseClaim(createCall(), { type: 'done', status: 200, answer: { status: 200, headers: [], body: '' } })
  assert.deepEqual(lines, [])
})

test('no key reaches the log, and texts of callers are shortened', () => {
  const { decisions, lines } = createLogged()
  const { clear } = issueKey()
  decisions.refuseArrival({ ...arrival, request: requestWith({ 'x-request-id': clear }) }, fail('unknownRoute', { method: 'GET', path: `/x/${clear}` }))
  const callerRequest = { ...arrival.callerRequest, key: 'any text', host: 'h-any text' }
  decisions.refuseArrival({ ...arrival, callerRequest, request: requestWith({ 'x-request-id': 'x'.repeat(5000) }) }, fail('unknownRoute', { method: 'GET', path: '/any text' }))
  const text = JSON.stringify(lines)
  assert.equal(lines.length, 2)
  assert.ok(!text.includes(clear) && !text.includes('any text'))
  assert.equal(String(lines[1].id).length, 201)
})

test('refusal over the rate states limit and share, other refusals do not', () => {
  const { decisions, lines } = createLogged()
  const known = { ...arrival, identity: { workspace: 'w', keyId: 'k' }, request: requestWith({ 'x-request-id': 'r-1' }) }
  decisions.refuseArrival(known, fail('overRate', { workspace: 'w' }))
  decisions.refuseArrival(known, fail('badRequest', { reason: 'x' }))
  assert.deepEqual(lines.map(({ limit, rateState, revision }) => ({ limit, rateState, revision })), [
    { limit: { rate: 5, burst: 10 }, rateState: { share: 2, left: 0, waiting: 3, unansweredMs: 0 }, revision: 7 },
    { limit: { rate: 5, burst: 10 }, rateState: null, revision: 7 }
  ])
})

test('outgoing call that is refused belongs to the chain of its request', () => {
  const { decisions, lines } = createLogged()
  decisions.refuseOutgoing(requestWith({}), createCall().context, fail('badRequest', { reason: 'x' }))
  assert.deepEqual([lines[0].event, lines[0].id, lines[0].chain, lines[0].workspace], ['outgoing_refused', 'c-1', 'c-1', 'w'])
})

test('request turned away before an attempt, and one that no endpoint is left for, have lines', async () => {
  const { decisions, lines, environment } = createLogged()
  const fractions = createReportedFractions()
  const peers = {
    self: () => ({ id: 'n-1', domain: 'd' }),
    members: () => [{ id: 'n-2', startedAt: 0, boot: 'b', incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: 'a', target: { service: 's', slots: 1, connections: 1, state: 'up', startedAt: 0 } }],
    reportUnreachable () {}
  } as unknown as Peers
  const refused: AttemptOutcome = { type: 'refused', failure: fail('noTarget', { service: 's' }), elsewhere: true, arrived: false, report: emptyReport }
  const forwarder: Forwarder = { forward: async () => refused, probeNode () {}, close () {} }
  const sender = createCallSender({
    peers, server: {} as CallServer, forwarder, fleetRetries: Infinity, roomPlacement: true, reportedFractions: fractions, mayBegin: () => true, drainMs: Infinity, decisions, environment
  })
  await sender.send(createCall(), createBudget(1), {} as Sink)
  recordReportedFraction(fractions, calleeKey({ service: 's', route: 'r' }), 'n-2', 0, systemClock.now())
  await sender.send(createCall(), createBudget(1), {} as Sink)
  sender.close()
  assert.deepEqual(lines.map(({ event, id, code, to, next, rule, fraction }) => ({ event, id, code, to, next, rule, fraction })), [
    { event: 'attempt_ended', id: 'r-1', code: 'no_target', to: 'n-2', next: 'end: no endpoint is left to try', rule: undefined, fraction: undefined },
    { event: 'request_turned_away', id: 'r-1', code: 'overloaded', to: undefined, next: undefined, rule: 'admission fraction', fraction: 0 }
  ])
})

test('lines of refusals say when their callers are asked to return', () => {
  const { decisions, lines } = createLogged()
  const outcome: AttemptOutcome = { type: 'refused', failure: fail('overloaded', { service: 's', reason: 'short' }), elsewhere: true, arrived: false, report: emptyReport }
  decisions.endRequest(createCall(), { ...end, outcome, askedReturn: { type: 'booked', afterMs: 312.6 } })
  decisions.refuseArrival({ ...arrival, request: requestWith({}) }, fail('overRate', { workspace: 'w' }), { type: 'spread', afterMs: 200 })
  decisions.refuseArrival({ ...arrival, request: requestWith({}) }, fail('badRequest', { reason: 'no' }))
  assert.deepEqual(lines.map(({ retryAfterMs }) => retryAfterMs), [313, 200, null])
  assert.equal(lines[0].returnPlan, 'booked')
})

test('lines of a stopping node say how late they are, and what it knows of the stop of the other node', () => {
  const now = systemClock.now()
  const { decisions, lines } = createLogged({ startedAt: now - 1500, servesUntil: now + 1100, endsAt: now + 4000 })
  decisions.endAttempt(createCall(), { to: 'n-2', stopKnownMs: 700, outcome: { type: 'broken', report: emptyReport }, next: 'end', budgetLeft: 0, startedAt: now })
  decisions.leaveUnserved(requestWith({ 'x-request-id': 'r-2' }))
  const [attempt, unserved] = lines
  assert.deepEqual([attempt.event, attempt.stopKnownMs], ['attempt_ended', 700])
  assert.deepEqual([unserved.event, unserved.id], ['request_unserved', 'r-2'])
  for (const { stoppingMs } of lines) assert.ok(Number(stoppingMs) >= 1500 && Number(stoppingMs) < 2500, String(stoppingMs))
})
