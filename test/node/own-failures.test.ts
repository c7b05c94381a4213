import assert from 'node:assert/strict'
import { test } from 'node:test'
import { fail } from '../../src/core/errors/index.ts'
import { createOwnFailures, hasCallFailed } from '../../src/core/node/own-failures.ts'
import type { EndedRequest } from '../../src/core/node/own-failures.ts'
import { isTargetFailing } from '../../src/core/node/room-log.ts'
import { emptyReport } from '../../src/core/node/types.ts'
import type { AttemptOutcome } from '../../src/core/node/types.ts'

const refused: AttemptOutcome = { type: 'refused', failure: fail('notExecuted', { status: 503 }), elsewhere: true, arrived: true, report: emptyReport }
const answered = (status: number): AttemptOutcome => ({ type: 'answered', status, report: emptyReport })

/** Creates the record of a target under a virtual clock that `advance` moves. */
function createRecord () {
  let now = 0
  const failures = createOwnFailures({ now: () => now, date: () => new Date(now) })
  const end = (startedAt: number, fields: Partial<EndedRequest> = {}) =>
    failures.recordEnd({ instance: 'p1', startedAt, end: 'failed', calls: { hasFailed: false, underWay: 0 }, timeoutMs: 1000, workMs: 50, ...fields })
  return { failures, end, now: () => now, advance: (ms: number) => void (now += ms) }
}

test('requests that fail at once are the target\'s own failures', () => {
  const { failures, end, advance, now } = createRecord()
  for (let count = 0; count < 20; count++) {
    advance(5)
    end(now() - 1)
  }
  assert.ok((failures.fraction() ?? 0) > 0.8, `${failures.fraction()}`)
})

test('one failure of few requests states nothing', () => {
  const { failures, end, advance } = createRecord()
  end(0)
  assert.equal(failures.fraction(), undefined)
  advance(100)
  end(0, { end: 'good' })
  assert.equal(failures.fraction(), undefined)
})

test('a request whose own call failed, or is under way, is not the target\'s failure', () => {
  const { failures, end, advance } = createRecord()
  for (let count = 0; count < 20; count++) {
    advance(5)
    end(0, { calls: { hasFailed: true, underWay: 0 } })
    end(0, { calls: { hasFailed: false, underWay: 1 } })
  }
  assert.equal(failures.fraction(), undefined)
})

/** Runs 100 requests of a middle service whose eight calls end with the outcomes given; the requests that overlap in time fail. Returns the fraction stated. */
function runMiddle (outcomeOf: (call: number) => AttemptOutcome, callsAreBegun = true): number | undefined {
  const { failures, end, advance, now } = createRecord()
  const startedAt: number[] = []
  for (let request = 0; request < 100; request++) {
    startedAt.push(now())
    advance(1)
    for (let call = 0; call < 8; call++) {
      if (!callsAreBegun) {
        failures.refuseCall()
        continue
      }
      const recordOutcome = failures.startCall()
      advance(1)
      recordOutcome(outcomeOf(call))
    }
    if (request < 5) continue
    end(startedAt[request - 5])
  }
  return failures.fraction()
}

test('a middle service whose calls are refused or fail is not blamed, where its calls do not name their request', () => {
  assert.equal(runMiddle(() => refused), undefined)
  assert.equal(runMiddle((call) => call === 3 ? answered(500) : answered(200)), undefined)
  assert.equal(runMiddle(() => refused, false), undefined)
})

test('a middle service that fails while its calls succeed is blamed', () => {
  assert.ok((runMiddle(() => answered(200)) ?? 0) > 0.8)
})

test('a call that failed before a request began does not account for the failure of that request', () => {
  const { failures, end, advance, now } = createRecord()
  for (let count = 0; count < 30; count++) failures.startCall()(refused)
  for (let count = 0; count < 20; count++) {
    advance(5)
    end(now() - 1)
  }
  assert.ok((failures.fraction() ?? 0) > 0.8, `${failures.fraction()}`)
})

test('timeouts count after three working times without calls under way only', () => {
  const fractionOf = (timeoutMs: number, calls: number) => {
    const { failures, end, advance } = createRecord()
    for (let call = 0; call < calls; call++) failures.startCall()
    for (let count = 0; count < 20; count++) {
      advance(5)
      end(0, { end: 'timeout', timeoutMs })
    }
    return failures.fraction()
  }
  assert.ok((fractionOf(1000, 0) ?? 0) > 0.8)
  assert.equal(fractionOf(100, 0), undefined)
  assert.equal(fractionOf(1000, 1), undefined)
})

test('a new process of the target starts without failures, and old samples are forgotten', () => {
  const { failures, end, advance } = createRecord()
  for (let count = 0; count < 20; count++) end(0)
  assert.notEqual(failures.fraction(), undefined)
  end(0, { instance: 'p2', end: 'good' })
  assert.equal(failures.fraction(), undefined)
  for (let count = 0; count < 20; count++) end(0, { instance: 'p2' })
  assert.notEqual(failures.fraction(), undefined)
  advance(3100)
  assert.equal(failures.fraction(), undefined)
})

test('a call fails its request by a refusal, a server error or no room, not by other answers', () => {
  assert.deepEqual([answered(200), answered(404), answered(429), answered(500), refused, undefined].map(hasCallFailed), [false, false, true, true, true, true])
})

test('a target is logged as failing from 0.3 until it falls below 0.1', () => {
  assert.deepEqual([isTargetFailing(0.2, false), isTargetFailing(0.3, false), isTargetFailing(0.2, true), isTargetFailing(0.05, true)], [false, true, true, false])
})
