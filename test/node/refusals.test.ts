import assert from 'node:assert/strict'
import type { ServerResponse } from 'node:http'
import { test } from 'node:test'
import type { ClaimClient } from '../../src/core/claims/client.ts'
import { fail } from '../../src/core/errors/index.ts'
import type { Failure } from '../../src/core/errors/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { defaultDialect } from '../../src/core/node/dialect.ts'
import type { Dialect, Refusal } from '../../src/core/node/dialect.ts'
import type { Arrival } from '../../src/core/node/filters.ts'
import { createRefusals } from '../../src/core/node/refusals.ts'
import { createPlannedPolicy, createRandomPolicy } from '../../src/core/node/return-policy.ts'
import { createCancellation, emptyReport } from '../../src/core/node/types.ts'
import type { AttemptOutcome, Call, CallContext } from '../../src/core/node/types.ts'
import { createRandom } from '../../src/core/random/index.ts'

const overloaded = fail('overloaded', { service: 's', reason: 'short' })

function refusedWith (failure: Failure): AttemptOutcome {
  return { type: 'refused', failure, elsewhere: true, arrived: false, report: emptyReport }
}

/** Refusals of a node under a virtual clock, at which half of the requests of each route may begin. */
function createDesk (isPlanned = true, share = 0.5) {
  const clock = { time: 1000, now: () => clock.time, date: () => new Date(0) }
  const metrics = createMetrics()
  const written: Refusal[] = []
  const dialect: Dialect = { ...defaultDialect, writeRefusal: (_, refusal) => void written.push(refusal) }
  const random = createRandom(1)
  const planned = createPlannedPolicy({ shareOf: () => share, usualMs: () => 200, admissibleRate: () => 0.01, random })
  const refusals = createRefusals({ claims: {} as ClaimClient, dialect, policy: isPlanned ? planned : createRandomPolicy(random), environment: { clock, metrics } })
  const createCall = (fingerprint: string, context: Partial<CallContext> = {}): Call => ({
    context: { service: 's', route: 'r', priority: 2, rank: 2, depth: 0, idempotent: true, fingerprint, ...context } as CallContext,
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    deadlineAt: clock.time + 1500,
    cancellation: createCancellation()
  })
  /** Lets requests arrive for a second, so that the rate of the route is known. */
  const warmUp = () => {
    for (let count = 0; count < 500; count++) {
      clock.time += 2
      refusals.recordArrival(createCall(`w${count}`).context)
    }
  }
  return { clock, metrics, refusals, written, createCall, warmUp }
}

test('a caller that returns as told is recognised once, and counted', () => {
  const { clock, metrics, refusals, createCall, warmUp } = createDesk()
  warmUp()
  const asked = refusals.askCaller(createCall('f'), refusedWith(overloaded))
  assert.equal(asked?.type, 'booked')
  clock.time += asked?.afterMs ?? 0
  assert.equal(refusals.recordArrival(createCall('f').context).isBookedReturn, true)
  const second = refusals.recordArrival(createCall('f').context)
  assert.deepEqual([second.isBookedReturn, second.isExpectedRetry], [false, false])
  assert.ok(second.partForOthers < 1, 'the return has taken room')
  assert.equal(metrics.value('returns_expected_total{type="booked"}'), 1)
  assert.equal(metrics.value('returns_come_total{type="booked"}'), 1)
  assert.equal(metrics.value('returns_missed_total'), 0)
})

test('a return that does not come is counted as missed', () => {
  const { clock, metrics, refusals, createCall, warmUp } = createDesk()
  warmUp()
  for (const fingerprint of ['f', 'g']) refusals.askCaller(createCall(fingerprint), refusedWith(overloaded))
  clock.time += 1500
  refusals.recordArrival(createCall('f').context)
  clock.time += 5000
  refusals.recordArrival(createCall('other').context)
  assert.equal(metrics.value('returns_missed_total'), 1)
})

test('callers with deadlines of 1.5 s and 5 s that return as told find their places, in the order of the times told', () => {
  const { clock, refusals, createCall, warmUp } = createDesk()
  warmUp()
  const dues: Array<{ fingerprint: string, dueAt: number, type: string | undefined }> = []
  for (let number = 0; number < 200; number++) {
    clock.time += 4
    const fingerprint = `f${number}`
    const call = { ...createCall(fingerprint), deadlineAt: clock.time + (number % 2 === 0 ? 1500 : 5000) }
    refusals.recordArrival(call.context)
    const asked = refusals.askCaller(call, refusedWith(overloaded))
    dues.push({ fingerprint, dueAt: clock.time + (asked?.afterMs ?? 0), type: asked?.type })
  }
  const placed = dues.filter(({ type }) => type === 'booked')
  assert.ok(placed.length > 50, `${placed.length} places`)
  const stillDue = placed.filter(({ dueAt }) => dueAt >= clock.time).sort((one, other) => one.dueAt - other.dueAt)
  assert.ok(stillDue.length > 10)
  for (const { fingerprint, dueAt } of stillDue) {
    clock.time = dueAt
    assert.equal(refusals.recordArrival(createCall(fingerprint).context).isBookedReturn, true)
  }
})

test('no caller is told a time beyond a third of what it has left, whatever refused it', () => {
  for (const share of [0.1, 0.5, 1]) {
    const { refusals, createCall, warmUp, clock } = createDesk(true, share)
    warmUp()
    const failures = [overloaded, fail('noTarget', { service: 's' }), fail('leaving'), fail('notExecuted', { status: 503 }), fail('deadline', { stage: 'while it waited' })]
    for (const failure of failures) {
      for (const priority of [2, -1]) {
        const call = createCall('f', { priority })
        clock.time += 100
        const asked = refusals.askCaller(call, refusedWith(failure))
        assert.ok(asked !== undefined && asked.afterMs <= 1400 / 3, `${failure.code}: ${JSON.stringify(asked)}`)
      }
    }
  }
})

test('a caller that has left, one whose request may have run, and a request in progress are not expected', () => {
  const { metrics, refusals, createCall } = createDesk()
  const left = createCall('f')
  left.cancellation.cancel()
  assert.equal(refusals.askCaller(left, refusedWith(overloaded)), undefined)
  assert.equal(refusals.askCaller(createCall('f'), { type: 'failed', failure: fail('unknownOutcome', { reason: 'lost' }), crashed: false, report: emptyReport }), undefined)
  assert.equal(refusals.askCaller(createCall('f'), refusedWith(fail('keyReused'))), undefined)
  assert.equal(refusals.askCaller(createCall('f', { priority: -1 }), refusedWith(overloaded))?.type, 'spread')
  assert.equal(metrics.value('returns_expected_total{type="expected"}'), 0)
})

test('callers over their rate are told different times inside what they can use', () => {
  const { clock, refusals } = createDesk()
  const arrival = {
    arrivedAt: clock.time,
    route: { service: 's', name: 'r', timeoutMs: 5000 },
    identity: { workspace: 'w', keyId: 'k' },
    callerRequest: { host: '', key: undefined, timeLeftMs: 3000, fromTargetAddress: false }
  } as unknown as Arrival
  const times = Array.from({ length: 5 }, () => refusals.askArrival(arrival, fail('overRate', { workspace: 'w' }))?.afterMs ?? Infinity)
  assert.equal(new Set(times).size, times.length)
  assert.ok(Math.max(...times) <= 1000)
  assert.equal(refusals.askArrival(arrival, fail('badRequest', { reason: 'no' })), undefined)
})

test('the refusal is written at once and carries the planned time', async () => {
  const { refusals, written, createCall, warmUp } = createDesk()
  warmUp()
  const call = createCall('f')
  const outcome = refusedWith(overloaded)
  const asked = refusals.askCaller(call, outcome)
  await refusals.refuseUnlessAnswered({ headersSent: false, destroyed: false } as ServerResponse, call, outcome, asked)
  assert.deepEqual(written.map(({ run, retryAfterMs }) => [run, retryAfterMs]), [['not-run', asked?.afterMs]])
})

test('without planned returns the time is drawn from 0.5 to 1.5 s', () => {
  const { refusals, createCall, clock } = createDesk(false)
  for (let count = 0; count < 100; count++) {
    const asked = refusals.askCaller(createCall('f'), refusedWith(overloaded))
    assert.ok(asked?.type === 'random' && asked.afterMs >= 500 && asked.afterMs <= 1500)
  }
  clock.time += 1000
  const { isExpectedRetry, isBookedReturn, partForOthers } = refusals.recordArrival(createCall('f').context)
  assert.deepEqual([isExpectedRetry, isBookedReturn, partForOthers], [true, false, 1])
})
