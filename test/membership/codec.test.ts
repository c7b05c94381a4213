import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createMembership, decodeMembers, decodePacket, decodeVersions, encodeMember, encodePacket, step } from '../../src/core/membership/index.ts'
import type { Member, Packet } from '../../src/core/membership/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const count = fc.nat({ max: 2 ** 40 })
const capacity = fc.integer({ min: 1, max: 1_000_000 })
const address = fc.tuple(fc.ipV4(), fc.integer({ min: 1, max: 65_535 })).map(([host, port]) => `${host}:${port}`)
const target = fc.record({
  service: fc.string(), slots: capacity, connections: capacity, state: fc.constantFrom('up' as const, 'leaving' as const, 'down' as const), startedAt: count
}, { noNullPrototype: true })
const member: fc.Arbitrary<Member> = fc.record({
  id: fc.string({ minLength: 1 }),
  startedAt: count,
  boot: fc.string(),
  incarnation: count,
  status: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const, 'left' as const),
  role: fc.constantFrom('node' as const, 'control' as const),
  domain: fc.string(),
  address,
  target,
  leaving: fc.constant(true as const),
  stopMs: fc.nat(86_400_000)
}, { requiredKeys: ['id', 'startedAt', 'boot', 'incarnation', 'status', 'role', 'domain', 'address'], noNullPrototype: true })
const ignore = () => {}
const neverRefuse = (reason: string) => assert.fail(reason)
const plain = { noNullPrototype: true }
const common = { from: member, updates: fc.array(member, { maxLength: 4 }), digest: fc.integer() }
const packet: fc.Arbitrary<Packet> = fc.oneof(
  fc.record({ type: fc.constant('ping' as const), sequence: count, ...common }, plain),
  fc.record({ type: fc.constant('ack' as const), sequence: count, ...common }, plain),
  fc.record({ type: fc.constant('ping-request' as const), sequence: count, address, ...common }, plain),
  fc.record({ type: fc.constant('push' as const), ...common }, plain)
)

test('every packet arrives as it was sent', () => {
  fc.assert(fc.property(packet, (sent) => assert.deepEqual(decodePacket(encodePacket(sent), neverRefuse), sent)), { seed: 1 })
})

test('member records arrive as they were sent', () => {
  fc.assert(fc.property(fc.array(member), (sent) => assert.deepEqual(decodeMembers(sent.map(encodeMember), neverRefuse), sent)), { seed: 2 })
})

test('a record of a version that does not state the duration of stops is read', () => {
  fc.assert(fc.property(member, ({ stopMs, ...sent }) => assert.deepEqual(decodeMembers([encodeMember(sent).slice(0, -1)], neverRefuse), [sent])), { seed: 5 })
})

test('values that are no packet are refused', () => {
  fc.assert(fc.property(fc.anything(), (value) => assert.equal(decodePacket(value, ignore), undefined)), { seed: 3 })
})

test('a packet with one field replaced never throws', () => {
  fc.assert(fc.property(packet, fc.nat(5), fc.anything(), (sent, index, value) => {
    const encoded: unknown[] = encodePacket(sent)
    encoded[index] = value
    decodePacket(encoded, ignore)
  }), { seed: 4 })
})

const good = [encodeMember({ id: 'a', startedAt: 1, boot: 'b', incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: '10.0.0.1:7000' }),
  encodeMember({ id: 'c', startedAt: 1, boot: 'b', incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: '10.0.0.2:7000' })]

/** Returns an array nested `depth` deep. */
function nested (depth: number): unknown {
  let value: unknown = []
  for (let level = 1; level < depth; level++) value = [value]
  return value
}

const goodTarget = ['s', 4, 4, 0, 1]
const oddFields: Array<[field: number, value: unknown]> = [
  ...[null, '', 3, 'x'.repeat(10_000)].map((value) => [0, value] as [number, unknown]),
  ...[1e308, Infinity, 2 ** 53, -1, 0.5, NaN, '1', 2n ** 63n].flatMap((value) => [[1, value], [3, value]] as Array<[number, unknown]>),
  ...[4, -1, 'alive', null].map((value) => [4, value] as [number, unknown]),
  [5, 2], [6, null], [6, 'd'.repeat(10_000)],
  ...['10.0.0.9:0', '10.0.0.9:65536', '10.0.0.9:99999999', '10.0.0.9:-1', '10.0.0.9', '[::1]:7000', 'http://10.0.0.9:7000', '1.2.3.4:5:6', '10.0.0.300:70', '', null, 7]
    .map((value) => [7, value] as [number, unknown]),
  ...[0, -1, 1e308, 2 ** 53, 0.5, '4', null].flatMap((value) => [1, 2].map((at) => [8, goodTarget.with(at, value as number)] as [number, unknown])),
  [8, goodTarget.with(0, 5)], [8, goodTarget.with(3, 3)], [8, goodTarget.with(4, 1e308)], [8, goodTarget.slice(1)], [8, {}],
  ...[1000, 100_000, 1_000_000].flatMap((depth) => [0, 7, 8].map((at) => [at, nested(depth)] as [number, unknown])),
  [9, 'yes']
]

test('one odd record does not keep the others of its list from being taken', () => {
  for (const odd of [null, 7, [], {}, nested(100_000), ...oddFields.map(([at, value]) => (good[0] as unknown[]).with(at, value))]) {
    const reasons: string[] = []
    assert.deepEqual(decodeMembers([good[0], odd, good[1]], (reason) => void reasons.push(reason)).map(({ id }) => id), ['a', 'c'])
    const encoded = [0, good[0], [odd, good[1]], 0, 1, null]
    assert.deepEqual(decodePacket(encoded, (reason) => void reasons.push(reason))?.updates.map(({ id }) => id), ['c'])
    assert.equal(reasons.length, 2)
    assert.ok(reasons.every((reason) => reason.length < 1000), 'reasons are short')
  }
})

test('a request to ping an address out of range is refused', () => {
  for (const value of ['10.0.0.9:0', '10.0.0.9:65536', '', '10.0.0.9']) assert.equal(decodePacket([2, good[0], [], 0, 1, value], ignore), undefined)
})

test('one odd version does not keep the others from being compared', () => {
  const reasons: string[] = []
  assert.deepEqual(decodeVersions([['a', 1, 0, 0], null, ['c', 1e308, 0, 0], ['c', 1, 2 ** 53, 0], ['c', 1, 0, 9], ['c']], (reason) => void reasons.push(reason)), [['a', 1, 0, 0]])
  assert.match(String(reasons), /^5 versions/)
})

test('the record of a process that leaves is read whatever part of its time a stop takes', () => {
  for (const stopMs of [5500, 10_000 * 11 / 12, 1e12, Infinity]) {
    const state = createMembership(decodeMembers([good[0]], neverRefuse)[0], [], 0)
    step(state, { type: 'prepare-leave', stopMs }, 0, createRandom(1))
    const [read] = decodeMembers([encodeMember(state.self)], neverRefuse)
    assert.deepEqual([read.leaving, read.stopMs], [true, Math.min(86_400_000, Math.round(stopMs))])
  }
})
