import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'node:test'
import fc from 'fast-check'
import { systemClock } from '../../src/core/clock/index.ts'
import { emptyConfiguration } from '../../src/core/config/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createRateClient } from '../../src/core/rate/client.ts'
import { borrowTtlMs, createMeter, windowLeaseMs } from '../../src/core/rate/index.ts'
import type { Meter } from '../../src/core/rate/index.ts'
import { chooseLenders, lend } from '../../src/core/rate/lending.ts'
import type { RequestCounts } from '../../src/core/rate/lending.ts'

const windowMs = 5000

/** Creates a meter that may admit `allowance` requests of workspace `w` in a window from `now`. */
function createGrantedMeter (allowance: number, now: number): Meter {
  const meter = createMeter(windowMs)
  meter.tryAdmit('w', now)
  meter.accept({ workspace: 'w', term: 1, sequence: 1, allowance, nextMs: 0, leaseMs: windowLeaseMs }, now, now)
  return meter
}

function countAdmissions (meter: Meter, now: number): number {
  let count = 0
  while (meter.tryAdmit('w', now)) count++
  return count
}

function createMember (id: string, domain: string, role: Member['role'] = 'node'): Member {
  return { id, startedAt: 0, boot: id, incarnation: 0, status: 'alive', role, domain, address: `${id}:1` }
}

/** Returns the requests that a meter reports as admitted in the window before `now`. */
function countReported (meter: Meter, now: number): number {
  const [demand] = meter.demands(now, true)
  return demand !== undefined && 'admitted' in demand ? demand.admitted : 0
}

test('at most half of what is admissible is lent, and what is lent counts as admitted', () => {
  const meter = createGrantedMeter(100, 0)
  const now = 2 * windowMs
  const [[, count]] = lend(meter, [['w', 500]], now)
  const left = countAdmissions(meter, now)
  assert.ok(count > 0)
  assert.ok(count <= Math.ceil((left + count) / 2), `${count} lent, ${left} left`)
  assert.equal(countReported(meter, now), count + left)
})

test('a loan leaves the window of the lender no earlier than an admission for it leaves that of the borrower', () => {
  const meter = createGrantedMeter(10, 0)
  const lentAt = 2 * windowMs
  const [[, count]] = lend(meter, [['w', 500]], lentAt)
  assert.equal(countReported(meter, lentAt + borrowTtlMs + windowMs - 1), count)
  assert.equal(countReported(meter, lentAt + borrowTtlMs + 1.1 * windowMs), 0)
})

test('nothing is lent while own requests wait, for an unknown workspace, or by token buckets', () => {
  const meter = createGrantedMeter(4, 0)
  countAdmissions(meter, windowMs)
  assert.deepEqual(lend(meter, [['w', 1]], windowMs), [])
  assert.deepEqual(lend(createMeter(windowMs), [['w', 1]], 0), [])
  assert.deepEqual(lend(createMeter(0), [['w', 1]], 0), [])
})

test('a malformed request for a loan gets nothing', () => {
  for (const wanted of [null, 'w', { w: 1 }, [['w']], [['w', 0]], [['w', -1]], [['w', 1.5]], [['w', '3']], [['w', 1e9]], [[3, 1]]]) {
    assert.deepEqual(lend(createGrantedMeter(100, 0), wanted, windowMs), [])
  }
  fc.assert(fc.property(fc.anything(), (wanted) => lend(createGrantedMeter(100, 0), wanted, windowMs).length === 0))
})

test('nodes of the own failure domain are asked first, control instances and the node itself never', () => {
  const members = [...Array(9).keys()].flatMap((index) => [createMember(`a${index}`, 'a'), createMember(`b${index}`, 'b'), createMember(`c${index}`, 'a', 'control')])
  const lenders = chooseLenders(members[0], members, createRandom(1))
  assert.deepEqual(lenders.map(({ domain }) => domain), ['a', 'a', 'a', 'a', 'b', 'b'])
  assert.ok(lenders.every(({ id, role }) => role === 'node' && id !== members[0].id))
})

/** Creates a rate client without a leader. `answer` decides what the only other node lends. */
function createBorrower (answer: (wanted: RequestCounts) => unknown) {
  const meter = createMeter(windowMs)
  const self = createMember('a', 'a')
  const peers = {
    boot: 'a',
    freshness: { newest: undefined },
    self: () => self,
    configuration: emptyConfiguration,
    members: () => [self, createMember('b', 'a')],
    controlAddresses: () => ['control:1'],
    datagrams: {
      method () {},
      notify () {},
      request: async (_address: string, method: string, params: RequestCounts) => method === 'rate.borrow' ? { ok: true, value: await answer(params) } : { ok: false, reason: 'timeout' }
    }
  } as unknown as Peers
  return createRateClient(peers, meter, { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() }, () => 0)
}

test('a node that no leader answers admits what another node lends, and no more', async () => {
  let left = 2
  const client = createBorrower(([[workspace, asked]]) => {
    const given = Math.min(asked, left)
    left -= given
    return given > 0 ? [[workspace, given]] : []
  })
  const admissions = await Promise.all([1, 2, 3].map(() => client.admit('w')))
  client.close()
  assert.deepEqual(admissions, ['borrowed', 'borrowed', 'refused'])
})

test('a loan that arrives too late, or is malformed, admits nothing', async () => {
  const late = createBorrower(async ([[workspace, asked]]) => {
    await sleep(borrowTtlMs + 20)
    return [[workspace, asked]]
  })
  const malformed = createBorrower(() => ({ w: 'all' }))
  assert.equal(await late.admit('w'), 'refused')
  assert.equal(await malformed.admit('w'), 'refused')
  late.close()
  malformed.close()
})
