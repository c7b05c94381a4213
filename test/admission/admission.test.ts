import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { admits, createAdmission, createLimit, createThrottle, finish, offer, recordOutcome, recordSample, sweepAdmission, withdraw } from '../../src/core/admission/index.ts'
import type { Admission, Decision, Entry } from '../../src/core/admission/index.ts'

function entry (id: string, changes: Partial<Entry> = {}): Entry {
  return { id, kind: 'k', priority: 2, workspace: 'w', weight: 1, arrivedAt: 0, deadlineAt: 10_000, ...changes }
}

function full (slots: number): Admission {
  const admission = createAdmission(slots * 4, 0)
  for (let count = 0; count < slots; count++) offer(admission, entry(`running-${count}`), 0)
  assert.equal(admission.running, slots)
  return admission
}

const operation = fc.oneof(
  fc.record({ type: fc.constant('offer' as const), priority: fc.integer({ min: 0, max: 3 }), workspace: fc.constantFrom('a', 'b', 'c'), deadline: fc.integer({ min: 1, max: 3000 }) }),
  fc.record({ type: fc.constant('finish' as const), latencyMs: fc.integer({ min: 1, max: 500 }), failed: fc.boolean() }),
  fc.record({ type: fc.constant('tick' as const), ms: fc.integer({ min: 0, max: 400 }) }),
  fc.record({ type: fc.constant('withdraw' as const) })
)

test('every request is started, shed or withdrawn exactly once', () => {
  fc.assert(fc.property(fc.array(operation, { maxLength: 200, size: 'max' }), (steps) => {
    const admission = createAdmission(6, 0)
    const settled = new Map<string, string>()
    let now = 0
    let offered = 0
    const note = ({ started, shed }: Decision) => {
      for (const id of [...started, ...shed.map((item) => item.id)]) {
        assert.equal(settled.has(id), false, `${id} was settled twice`)
        settled.set(id, 'settled')
      }
    }
    for (const step of steps) {
      if (step.type === 'offer') note(offer(admission, entry(`r${offered++}`, { ...step, arrivedAt: now, deadlineAt: now + step.deadline }), now))
      if (step.type === 'finish' && admission.running > 0) note(finish(admission, { ...step, kind: 'k' }, now))
      if (step.type === 'tick') note(sweepAdmission(admission, now += step.ms))
      if (step.type === 'withdraw' && admission.queue.length > 0) settled.set(admission.queue[0].id, String(withdraw(admission, admission.queue[0].id)))
      assert.ok(admission.running >= 0 && admission.limit.value <= 6)
    }
    assert.equal(settled.size + admission.queue.length, offered)
  }), { seed: 3, numRuns: 300 })
})

test('important requests are shed last', () => {
  const admission = full(4)
  let shedCritical = 0
  for (let count = 0; count < 40; count++) {
    for (const priority of [3, 0]) {
      for (const { id } of offer(admission, entry(`${priority}-${count}`, { priority }), 1).shed) {
        if (!id.startsWith('0')) continue
        shedCritical++
        assert.equal(admission.queue.some((waiting) => waiting.priority > 0), false, 'a critical one was shed while a low one waits')
      }
    }
  }
  assert.ok(shedCritical > 0)
})

test('waiting workspaces are served in proportion to their weights', () => {
  const admission = full(2)
  const served = { large: 0, small: 0 }
  let now = 1
  for (let round = 0; round < 400; round++) {
    for (let count = 0; count < 8; count++) offer(admission, entry(`large-${round}-${count}`, { workspace: 'large', arrivedAt: now, deadlineAt: now + 5000 }), now)
    offer(admission, entry(`small-${round}`, { workspace: 'small', arrivedAt: now, deadlineAt: now + 5000 }), now)
    for (const id of finish(admission, undefined, now++).started) served[id.startsWith('large') ? 'large' : 'small']++
  }
  assert.ok(Math.abs(served.small - served.large) <= 0.1 * served.large, JSON.stringify(served))
})

test('work that cannot end in time is not begun', () => {
  const admission = full(4)
  admission.typicalMs.set('k', 100)
  assert.deepEqual(offer(admission, entry('late', { deadlineAt: 50 }), 1).shed, [{ id: 'late', reason: 'too-late' }])
})

/** Feeds windows of samples whose latency is a function of how many run at once. */
function feed (limit: ReturnType<typeof createLimit>, latencyOf: (running: number) => number, samples: number, from: number): number {
  let now = from
  for (let count = 0; count < samples; count++) {
    const running = Math.floor(limit.value)
    recordSample(limit, { latencyMs: latencyOf(running), running, failed: false }, now += 12)
  }
  return now
}

test('limit falls to what a crowded target can do, opens again, and stays within the slots', () => {
  const limit = createLimit(100, 0)
  let now = feed(limit, () => 10, 300, 0)
  assert.equal(limit.value, 100)
  now = feed(limit, (running) => Math.max(10, running), 600, now)
  assert.ok(limit.value < 30, `${limit.value}`)
  feed(limit, () => 10, 400, now)
  assert.equal(limit.value, 100)
})

test('limit stays where a target is slow whatever it runs', () => {
  const limit = createLimit(100, 0)
  const now = feed(limit, () => 10, 300, 0)
  feed(limit, () => 100, 200, now)
  assert.equal(limit.value, 100)
})

test('throttle follows refusals and opens again within seconds', () => {
  const throttle = createThrottle()
  let now = 0
  const run = (ms: number, acceptedPart: number) => {
    let passed = 0
    for (let count = 0; count < ms; count++, now++) {
      if (!admits(throttle, 'k', 2, (count * 7919 % 1000) / 1000, now)) continue
      passed++
      recordOutcome(throttle, 'k', 2, (count * 104_729 % 100) / 100 < acceptedPart, now)
    }
    return passed / ms
  }
  assert.ok(run(2000, 1) > 0.99)
  run(3000, 0.1)
  assert.ok(run(2000, 0.1) < 0.5)
  run(3000, 1)
  assert.ok(run(500, 1) > 0.95)
})

test('a request waits no longer than its own bound, urgent or not', () => {
  const admission = full(8)
  for (const [id, priority] of [['urgent', 0], ['usual', 2]] as const) offer(admission, entry(id, { priority, maxWaitMs: 200 }), 0)
  assert.deepEqual(sweepAdmission(admission, 200).shed, [])
  assert.deepEqual(sweepAdmission(admission, 201).shed.map(({ id, reason }) => [id, reason]), [['urgent', 'waited-too-long'], ['usual', 'waited-too-long']])
})
