import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createAdmission, finish, offer, removeWaiting, sweepAdmission, waitingSlots } from '../../src/core/admission/index.ts'
import type { Admission, AdmissionDecision, QueuedRequest } from '../../src/core/admission/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

/** Requests of one kind that come to a target. */
interface Load {
  perSecond: number
  /** Mean working time, in ms. */
  workMs: number
  /** Time for which each waits for its own call first, in ms. */
  callMs?: number
  deadlineMs?: number
  entry: Partial<QueuedRequest>
}

/** Plays loads on a target for `seconds` and returns the fraction of each that was started. */
function play<Name extends string> (loads: Record<Name, Load>, slots: number, seconds: number, isRanked = true): Record<Name, number> {
  const random = createRandom(11)
  const admission = createAdmission(slots, 0, false, isRanked)
  const names = Object.keys(loads) as Name[]
  const offered = new Map<Name, number>()
  const started = new Map<Name, number>()
  let due: Array<{ at: number, run: () => void }> = []
  let now = 0
  const nameOf = (id: string) => id.split(' ')[0] as Name
  const apply = (decision: AdmissionDecision) => {
    for (const id of decision.started) {
      const name = nameOf(id)
      const { workMs, callMs = 0 } = loads[name]
      started.set(name, (started.get(name) ?? 0) + 1)
      if (callMs > 0) recordCalls(1)
      if (callMs > 0) due.push({ at: now + callMs, run: () => recordCalls(-1) })
      due.push({ at: now + callMs + workMs * (0.5 + random.next()), run: () => apply(finish(admission, undefined, now, id)) })
    }
    assert.ok(admission.running <= slots)
  }
  const recordCalls = (change: number) => {
    if (admission.ranked !== undefined) admission.ranked.held.callsUnderWay += change
  }
  for (; now < seconds * 1000; now++) {
    const ending = due.filter(({ at }) => at <= now)
    due = due.filter(({ at }) => at > now)
    for (const { run } of ending) run()
    for (const name of names) {
      const { perSecond, deadlineMs = 2000, entry } = loads[name]
      for (let left = perSecond / 1000; random.next() < left; left--) {
        const count = (offered.get(name) ?? 0) + 1
        offered.set(name, count)
        apply(offer(admission, { id: `${name} ${count}`, kind: name, priority: 0, workspace: '', weight: 1, arrivedAt: now, deadlineAt: now + deadlineMs, ...entry }, now))
      }
    }
    if (now % 10 === 0) apply(sweepAdmission(admission, now))
  }
  return Object.fromEntries(names.map((name) => [name, (started.get(name) ?? 0) / (offered.get(name) ?? 1)])) as Record<Name, number>
}

const call = (rank: number): Partial<QueuedRequest> => ({ priority: -1, rank })
const direct = (rank: number): Partial<QueuedRequest> => ({ priority: rank, rank, maxWaitMs: 100 })

test('direct requests of a middle service lose nothing to requests that hold slots while they wait', () => {
  const loads = {
    direct: { perSecond: 150, workMs: 20, deadlineMs: 400, entry: direct(0) },
    waiting: { perSecond: 400, workMs: 10, callMs: 500, deadlineMs: 3000, entry: { ...call(2), needsCalls: true } }
  }
  const ranked = play(loads, 100, 20)
  assert.ok(ranked.direct > 0.99, JSON.stringify(ranked))
  assert.ok(ranked.waiting > 0.4, JSON.stringify(ranked))
  const unranked = play(loads, 100, 20, false)
  assert.ok(unranked.direct < 0.5, JSON.stringify(unranked))
})

test('requests that make calls take every slot while none comes that needs its target only', () => {
  const loads = { waiting: { perSecond: 400, workMs: 10, callMs: 500, entry: { ...call(2), needsCalls: true } } }
  assert.deepEqual(play(loads, 100, 10), play(loads, 100, 10, false))
})

test('one direct request a second of the lowest rank keeps no more slots from requests that make calls than it needs', () => {
  const chained = { perSecond: 205, workMs: 10, callMs: 500, entry: { ...call(0), needsCalls: true } }
  const alone = play({ chained }, 100, 20)
  const beside = play({ direct: { perSecond: 1, workMs: 20, entry: direct(3) }, chained }, 100, 20)
  assert.equal(beside.direct, 1)
  assert.ok(beside.chained > alone.chained - 0.04, `${beside.chained} ${alone.chained}`)
})

test('a target that mostly works serves a better rank first, whether or not its requests make calls', () => {
  const { better, worse } = play({
    better: { perSecond: 180, workMs: 400, callMs: 100, entry: { ...direct(1), needsCalls: true } },
    worse: { perSecond: 300, workMs: 100, entry: direct(3) }
  }, 100, 20)
  assert.ok(better > 0.99, `${better} ${worse}`)
})

test('direct requests lose nothing beside calls in progress of equal and higher rank at 1.5 times the room', () => {
  const loads = {
    direct: { perSecond: 100, workMs: 100, deadlineMs: 600, entry: direct(1) },
    calls: { perSecond: 250, workMs: 100, entry: call(1) },
    lowCalls: { perSecond: 400, workMs: 100, entry: call(2) }
  }
  const ranked = play(loads, 50, 20)
  assert.ok(ranked.direct > 0.99 && ranked.calls > 0.99, JSON.stringify(ranked))
  assert.ok(ranked.lowCalls > 0.3, JSON.stringify(ranked))
  assert.ok(play(loads, 50, 20, false).direct < 0.5)
})

test('direct requests keep a quarter of the starts where calls of their own rank fill the room', () => {
  const calls = { perSecond: 650, workMs: 100, entry: call(1) }
  const within = play({ direct: { perSecond: 75, workMs: 100, deadlineMs: 600, entry: direct(1) }, calls }, 50, 20)
  assert.ok(within.direct > 0.99, JSON.stringify(within))
  const beyond = play({ direct: { perSecond: 250, workMs: 100, deadlineMs: 600, entry: direct(1) }, calls }, 50, 20)
  assert.ok(beyond.direct > 0.48 && beyond.calls > 0.55, JSON.stringify(beyond))
})

test('direct requests of a lower rank neither starve behind calls in progress nor take a quarter from them', () => {
  const { calls, low } = play({
    calls: { perSecond: 600, workMs: 100, entry: call(0) },
    low: { perSecond: 200, workMs: 100, deadlineMs: 600, entry: direct(3) }
  }, 50, 20)
  assert.ok(low > 0.1 && low < 0.2, String(low))
  assert.ok(calls > 0.75, String(calls))
})

test('calls in progress are not starved by a flood of direct requests of the best rank', () => {
  const { calls, flood } = play({
    calls: { perSecond: 120, workMs: 100, entry: call(2) },
    flood: { perSecond: 1500, workMs: 100, deadlineMs: 600, entry: direct(0) }
  }, 50, 20)
  assert.ok(calls > 0.97, `${calls} ${flood}`)
  assert.ok(flood > 0.2, `${calls} ${flood}`)
})

test('a workspace at 7 times its part takes nothing from another beside calls in progress', () => {
  const { small, large, calls } = play({
    small: { perSecond: 50, workMs: 100, deadlineMs: 600, entry: { ...direct(1), workspace: 'small' } },
    large: { perSecond: 875, workMs: 100, deadlineMs: 600, entry: { ...direct(1), workspace: 'large' } },
    calls: { perSecond: 250, workMs: 100, entry: call(1) }
  }, 50, 20)
  assert.ok(small > 0.99, `${small} ${large} ${calls}`)
  assert.ok(calls > 0.99, `${small} ${large} ${calls}`)
})

test('a call in progress is displaced only by what goes before it', () => {
  const admission = createAdmission(4, 0, false, true)
  const add = (id: string, entry: Partial<QueuedRequest>) => offer(admission, { id, kind: 'k', priority: 0, workspace: '', weight: 1, arrivedAt: 0, deadlineAt: 10_000, ...entry }, 0).shed
  for (let count = 0; count < 4 + 8; count++) add(`call ${count}`, call(1))
  assert.deepEqual(add('reserved 1', direct(1)), [], 'new requests have places of their own')
  assert.deepEqual(add('reserved 2', direct(2)), [])
  assert.deepEqual(add('new 3', direct(3)), [{ id: 'new 3', reason: 'queue-full' }])
  assert.deepEqual(add('new 1', direct(1)), [{ id: 'reserved 2', reason: 'displaced' }])
  assert.deepEqual(add('late call', call(2)), [{ id: 'late call', reason: 'queue-full' }])
  assert.deepEqual(add('new 0', direct(0)).map(({ reason }) => reason), ['displaced'])
  assert.ok(admission.queue.some(({ id }) => id === 'new 0'))
})

/** Plays requests at `a` that call `b`, which calls `a` again, and returns the fraction that ends well in time. */
function playMutualCalls (isRanked: boolean): number {
  const random = createRandom(3)
  const stages = ['a', 'b', 'a'] as const
  const gates = { a: createAdmission(20, 0, false, isRanked), b: createAdmission(20, 0, false, isRanked) }
  const waiting = new Map<string, (isStarted: boolean) => void>()
  let due: Array<{ at: number, run: () => void }> = []
  let now = 0
  let ended = 0
  const apply = ({ started, shed }: AdmissionDecision) => {
    for (const id of started) waiting.get(id)?.(true)
    for (const { id } of shed) waiting.get(id)?.(false)
  }
  const recordCalls = (admission: Admission, change: number) => {
    if (admission.ranked !== undefined) admission.ranked.held.callsUnderWay += change
  }
  const send = (chain: string, stage: number, deadlineAt: number, done: (isGood: boolean) => void) => {
    const admission = gates[stages[stage]]
    const id = `${chain} ${stage}`
    const needsCalls = stage + 1 < stages.length
    waiting.set(id, (isStarted) => {
      if (!isStarted) return done(false)
      const end = (isGood: boolean) => {
        if (needsCalls) recordCalls(admission, -1)
        done(isGood)
        apply(finish(admission, undefined, now, id))
      }
      if (needsCalls) recordCalls(admission, 1)
      due.push({ at: now + 5, run: () => needsCalls ? send(chain, stage + 1, deadlineAt, end) : end(true) })
    })
    apply(offer(admission, { id, kind: `${stage}`, priority: stage === 0 ? 1 : -1, rank: 1, needsCalls, workspace: '', weight: 1, arrivedAt: now, deadlineAt }, now))
  }
  const count = 20_000
  for (let sent = 0; now < 12_000; now++) {
    const ending = due.filter(({ at }) => at <= now)
    due = due.filter(({ at }) => at > now)
    for (const { run } of ending) run()
    if (now === 5) send('first', 0, now + 1000, () => {})
    for (let left = now < 100 ? 0 : 3; left > 0 && sent < count; left--) if (random.next() < 0.9) send(`c${sent++}`, 0, now + 1000, (isGood) => void (ended += isGood ? 1 : 0))
    for (const admission of Object.values(gates)) if (now % 10 === 0) apply(sweepAdmission(admission, now))
  }
  assert.equal(gates.a.running + gates.b.running + gates.a.queue.length + gates.b.queue.length, 0)
  return ended / count
}

test('services that call each other go on under a flood, as nested calls find a slot', () => {
  const unranked = playMutualCalls(false)
  const ranked = playMutualCalls(true)
  // The three reserved slots alone serve 600 of the 2,700 a second.
  assert.ok(ranked > 0.2 && unranked < 0.05, `${ranked} ${unranked}`)
})

const operation = fc.oneof(
  fc.record({ type: fc.constant('offer' as const), inProgress: fc.boolean(), rank: fc.integer({ min: 0, max: 3 }), needsCalls: fc.boolean(), workspace: fc.constantFrom('a', 'b'), deadline: fc.integer({ min: 1, max: 3000 }) }),
  fc.record({ type: fc.constant('finish' as const), position: fc.nat() }),
  fc.record({ type: fc.constant('call' as const), isStart: fc.boolean() }),
  fc.record({ type: fc.constant('tick' as const), ms: fc.integer({ min: 0, max: 400 }) }),
  fc.record({ type: fc.constant('cancel' as const), position: fc.nat() })
)

/** A target whose requests each start or are shed once, with those that run. */
function createCheckedTarget (admission: Admission) {
  const settled = new Set<string>()
  const running: string[] = []
  return {
    settled,
    running,
    apply ({ started, shed }: AdmissionDecision) {
      for (const id of [...started, ...shed.map((item) => item.id)]) {
        assert.equal(settled.has(id), false, `${id} was settled twice`)
        settled.add(id)
      }
      running.push(...started)
      assert.equal(admission.running, running.length)
      assert.ok(running.length <= Math.floor(admission.limit.value))
      assert.ok(admission.queue.length === 0 || running.length > 0, 'requests wait while nothing runs')
    }
  }
}

test('every request is started, shed or cancelled once, never beyond the slots, and none waits at an idle target', () => {
  fc.assert(fc.property(fc.array(operation, { maxLength: 300, size: 'max' }), fc.integer({ min: 1, max: 24 }), (steps, slots) => {
    const admission = createAdmission(slots, 0, false, true)
    const { settled, running, apply } = createCheckedTarget(admission)
    let now = 0
    let offered = 0
    const end = (position: number) => apply(finish(admission, undefined, now, running.splice(position, 1)[0]))
    for (const step of steps) {
      if (step.type === 'offer') apply(offer(admission, { ...step, id: `r${offered++}`, kind: 'k', priority: step.inProgress ? -1 : step.rank, weight: 1, arrivedAt: now, deadlineAt: now + step.deadline }, now))
      if (step.type === 'finish' && running.length > 0) end(step.position % running.length)
      if (step.type === 'call' && admission.ranked !== undefined) admission.ranked.held.callsUnderWay = Math.max(0, admission.ranked.held.callsUnderWay + (step.isStart ? 1 : -1))
      if (step.type === 'tick') apply(sweepAdmission(admission, now += step.ms))
      if (step.type === 'cancel' && admission.queue.length > 0) {
        const { id } = admission.queue[step.position % admission.queue.length]
        settled.add(id)
        assert.equal(removeWaiting(admission, id), true)
      }
    }
    assert.equal(settled.size + admission.queue.length, offered)
    while (running.length > 0) end(0)
    assert.equal(admission.queue.length, 0)
    assert.equal(admission.ranked && waitingSlots(admission.ranked.held), 0)
  }), { seed: 5, numRuns: 300 })
})

test('long direct requests beside short calls get a quarter of the time of the slots, not of the starts', () => {
  const admission = createAdmission(1, 0, false, true)
  admission.typicalMs.set('direct', 360).set('call', 20)
  const started: string[] = []
  const offerOne = (kind: string, index: number, priority: number) => {
    const entry = { id: `${kind}${index}`, kind, priority, rank: 1, workspace: '', weight: 1, arrivedAt: 0, deadlineAt: 1e6, maxWaitMs: 1e6 }
    started.push(...offer(admission, entry, 0).started)
  }
  admission.limit.value = 100
  admission.running = 100
  for (let index = 0; index < 120; index++) offerOne('call', index, -1)
  for (let index = 0; index < 4; index++) offerOne('direct', index, 1)
  for (let count = 0; count < 112; count++) started.push(...finish(admission, undefined, 0).started)
  const direct = started.filter((id) => id.startsWith('direct')).length
  assert.equal(direct, 2, started.join())
})
