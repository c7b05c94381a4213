import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { Packr } from 'msgpackr/pack'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMembership, encodeMember, encodePacket, liveMembers, maxIncarnation, step, supersedes } from '../../src/core/membership/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createPeers } from '../../src/core/peers/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { isAddress } from '../../src/core/address/index.ts'

const secret = 'secret-of-the-test-cluster'
const sealer = createSealer([secret])
const codec = new Packr({ useRecords: false })
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

function member (id: string, changes: Partial<Member> = {}): Member {
  return { id, startedAt: 1000, boot: `${id}-1`, incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: '127.0.0.1:9', ...changes }
}

async function withPeers (seeds: string[], use: (peers: Peers, metrics: ReturnType<typeof createMetrics>) => Promise<void>): Promise<void> {
  const metrics = createMetrics()
  const environment = { clock, random: createRandom(1), log: silentLog, metrics }
  const peers = await createPeers({ id: 'own', boot: 'own-1', role: 'node', domain: 'd', address: '127.0.0.1:0', seeds, secrets: [secret] }, environment)
  try {
    await use(peers, metrics)
  } finally {
    await peers.close()
  }
}

/** Sends gossip as another process of the cluster does. */
async function gossip (peers: Peers, packet: unknown, beacon: unknown): Promise<void> {
  const body = codec.pack({ jsonrpc: '2.0', method: 'gossip', params: [packet, beacon] })
  const signature = sealer.seal(body, clock.date())
  const socket = createSocket('udp4')
  socket.send(Buffer.concat([Buffer.of(signature.length), Buffer.from(signature, 'latin1'), body]), Number(peers.address.split(':')[1]), '127.0.0.1')
  await pause(50)
  socket.close()
}

const push = (...updates: Member[]) => encodePacket({ type: 'push', from: member('other'), updates, digest: 0 })
const ids = (peers: Peers) => peers.members().map(({ id }) => id).sort()

test('an odd member in gossip keeps no other from being taken and is not passed on', () => withPeers([], async (peers, metrics) => {
  const target = { service: 's', slots: 1e308, connections: 4, state: 'up' as const, startedAt: 1 }
  await gossip(peers, push(member('odd-1', { address: '127.0.0.1:99999' }), member('good-1')), null)
  await gossip(peers, push(member('good-2'), member('odd-2', { target })), null)
  assert.deepEqual(ids(peers), ['good-1', 'good-2', 'other', 'own'])
  assert.equal(metrics.value('member_records_refused_total'), 2)
  await pause(900)
  assert.equal(metrics.value('datagrams_unsendable_total'), 0)
}))

test('an odd record leaves the known one of the same member in use', () => withPeers([], async (peers) => {
  const target = { service: 's', slots: 4, connections: 4, state: 'up' as const, startedAt: 1 }
  await gossip(peers, push(member('a', { target })), null)
  await gossip(peers, push(member('a', { incarnation: 1, target: { ...target, slots: -1 } })), null)
  await gossip(peers, push(member('a', { startedAt: 1e308 })), null)
  assert.equal(peers.members().find(({ id }) => id === 'a')?.target?.slots, 4)
  await gossip(peers, push(member('a', { incarnation: 2, target: { ...target, slots: 5 } })), null)
  assert.equal(peers.members().find(({ id }) => id === 'a')?.target?.slots, 5)
}))

test('an odd beacon blocks no later one and keeps no member from being taken', () => withPeers([], async (peers, metrics) => {
  const issuedAt = Date.now()
  const odd = [null, 7, [], [[], 0], [['x', 1, 0, issuedAt, 'c', '127.0.0.1:9'], 0], [[1e308, 1, 0, issuedAt, 'c', '127.0.0.1:9'], 0], [[9, 9, 0, issuedAt, 'c', '127.0.0.1:0'], 0],
    [[9, 9, 0, 1e308, 'c', '127.0.0.1:9'], 0], [[9, 9, 0, issuedAt, 'c', '127.0.0.1:9'], -1e308]]
  for (const [index, beacon] of odd.entries()) await gossip(peers, push(member(`m-${index}`)), beacon)
  await gossip(peers, push(), [[1, 1, 0, issuedAt, 'c', '127.0.0.1:9'], 0])
  assert.equal(peers.freshness.newest?.term, 1)
  assert.equal(ids(peers).length, odd.length + 2)
  assert.equal(metrics.value('beacons_refused_total'), odd.length - 1)
}))

const nestedText = (depth: number) => '['.repeat(depth) + ']'.repeat(depth)
const good = JSON.stringify(encodeMember(member('good')))
const oddAnswers: Record<string, string> = {
  null: 'null',
  'a number': '1e400',
  'no lists': '{"domain":"d"}',
  'odd entries': `{"domain":"d","newer":[null,7,${good}],"wanted":[]}`,
  'entries nested 100000 deep': `{"domain":"d","newer":[${nestedText(100_000)},${good}],"wanted":[]}`,
  'ids that are no text': '{"domain":"d","newer":[],"wanted":[null,{}]}'
}
for (const [name, result] of Object.entries(oddAnswers)) {
  test(`a sync that is answered with ${name} ends no process`, async () => {
    const server = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk: Buffer) => { text += chunk.toString() })
      request.on('end', () => response.end(`{"jsonrpc":"2.0","id":${(JSON.parse(text) as { id: number }).id},"result":${result}}`))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    await withPeers([`127.0.0.1:${(server.address() as AddressInfo).port}`], async (peers, metrics) => {
      await pause(500)
      assert.ok(metrics.value('member_records_refused_total') > 0)
      assert.deepEqual(ids(peers), result.includes('good') ? ['good', 'own'] : ['own'])
    })
    server.close()
  })
}

test('a configuration answered in another form ends no process and stops no later fetch', async () => {
  let asked = 0
  const server = createServer((request, response) => {
    let text = ''
    request.on('data', (chunk: Buffer) => { text += chunk.toString() })
    request.on('end', () => {
      const { id, method } = JSON.parse(text) as { id: number, method: string }
      const odd = ['null', '{"deltas":[null]}', '{"full":{"revision":1e308}}', '{"full":{"revision":3}}', `{"full":${nestedText(10_000)}}`]
      const full = '{"full":{"revision":3,"templates":{},"workspaces":{"prototype":{}},"keys":{},"slots":{},"bans":{},"deployments":{}}}'
      response.end(`{"jsonrpc":"2.0","id":${id},"result":${method === 'config.fetch' ? odd[asked++] ?? full : 'null'}}`)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await withPeers([], async (peers) => {
    await gossip(peers, encodePacket({ type: 'push', from: member('other', { address }), updates: [], digest: 0 }), [[1, 1, 3, Date.now(), 'other', address], 0])
    for (let waited = 0; waited < 3000 && peers.configuration().revision < 3; waited += 50) await pause(50)
    assert.equal(peers.configuration().revision, 3)
    assert.deepEqual(Object.keys(peers.configuration().workspaces), ['prototype'])
  })
  server.close()
})

test('a forged record with the largest incarnation is refuted', () => {
  const state = createMembership(member('own'), [], 0)
  const forged = member('own', { incarnation: maxIncarnation, status: 'dead' })
  step(state, { type: 'merge', members: [forged], domain: 'd' }, 0, createRandom(1))
  assert.ok(supersedes(state.self, forged))
  assert.ok(state.self.incarnation <= maxIncarnation)
  assert.equal(liveMembers(state).length, 1)
})

test('only an IPv4 address with a port from 1 to 65535 is used', () => {
  assert.deepEqual(['10.0.0.1:1', '10.0.0.1:65535'].map(isAddress), [true, true])
  for (const text of ['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:0x50', '10.0.0.1: 80', '10.0.0:80', '10.0.0.1', '256.0.0.1:80', '::1:80', 'x:80', '1:2:3', '١.0.0.1:80']) {
    assert.equal(isAddress(text), false, text)
  }
})
