import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { acknowledge, createDelivery, enqueue, oldestUnacknowledgedAge, resumeDelivery, takeUnsent, withdrawUnsent } from '../../src/core/channel/delivery.ts'
import type { Delivery, QueuedFrame } from '../../src/core/channel/delivery.ts'

const seed = 7

function frame (stream: number, opensStream = false): QueuedFrame {
  return { stream, opensStream, encoded: Buffer.from(String(stream)) }
}

/** One side of a session, with the frames in flight from it on the current connection. */
interface Side {
  delivery: Delivery
  inFlight: QueuedFrame[]
  delivered: number[]
}

const step = fc.oneof(
  fc.record({ type: fc.constant('send' as const), side: fc.nat(1) }),
  fc.record({ type: fc.constant('arrive' as const), side: fc.nat(1), count: fc.nat(4) }),
  fc.record({ type: fc.constant('acknowledge' as const), side: fc.nat(1) }),
  fc.record({ type: fc.constant('break' as const), side: fc.constant(0) })
)

test('frames arrive in order and exactly once over connections that break at any time', () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
    const sides: Side[] = [0, 1].map(() => ({ delivery: createDelivery(), inFlight: [], delivered: [] }))
    let sent = 0
    const reconnect = () => {
      for (const [index, side] of sides.entries()) {
        const retransmitted = resumeDelivery(side.delivery, sides[1 - index].delivery.received)
        assert.ok(retransmitted !== undefined)
        side.inFlight = [...retransmitted, ...takeUnsent(side.delivery, 0)]
      }
    }
    const arrive = (index: number, count: number) => {
      const other = sides[1 - index]
      for (const { stream } of sides[index].inFlight.splice(0, count)) {
        other.delivery.received++
        other.delivered.push(stream)
      }
    }
    for (const { type, side, ...rest } of steps) {
      const { delivery, inFlight } = sides[side]
      if (type === 'send') {
        enqueue(delivery, frame(sent++))
        inFlight.push(...takeUnsent(delivery, 0))
      }
      if (type === 'arrive') arrive(side, 'count' in rest ? rest.count : 0)
      if (type === 'acknowledge') assert.ok(acknowledge(delivery, sides[1 - side].delivery.received))
      if (type === 'break') reconnect()
    }
    reconnect()
    for (const index of [0, 1]) arrive(index, Infinity)
    const all = [...sides[0].delivered, ...sides[1].delivered]
    assert.equal(all.length, sent)
    for (const { delivered } of sides) assert.deepEqual(delivered, [...delivered].sort((left, right) => left - right))
  }), { seed, numRuns: 500 })
})

test('rejects a count that does not match the session', () => {
  const delivery = createDelivery()
  for (const stream of [1, 3]) enqueue(delivery, frame(stream))
  takeUnsent(delivery, 0)
  assert.ok(acknowledge(delivery, 1))
  assert.equal(resumeDelivery(delivery, 0), undefined, 'acknowledged frames are no longer kept')
  assert.equal(resumeDelivery(delivery, 3), undefined, 'the count exceeds the frames sent')
  assert.equal(resumeDelivery(delivery, 1)?.length, 1)
})

test('withdraws a stream only if its opening frame was not sent', () => {
  const delivery = createDelivery()
  enqueue(delivery, frame(1, true))
  takeUnsent(delivery, 0)
  enqueue(delivery, frame(1))
  enqueue(delivery, frame(3, true))
  enqueue(delivery, frame(3))
  assert.equal(withdrawUnsent(delivery, 1), false)
  assert.equal(withdrawUnsent(delivery, 3), true)
  assert.deepEqual(delivery.unsent.map(({ stream }) => stream), [1])
})

test('measures the age of an unacknowledged frame from its first transmission', () => {
  const delivery = createDelivery()
  assert.equal(oldestUnacknowledgedAge(delivery, 50), 0)
  enqueue(delivery, frame(1))
  takeUnsent(delivery, 10)
  resumeDelivery(delivery, 0)
  assert.equal(oldestUnacknowledgedAge(delivery, 50), 40)
})
