import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import type { TestContext } from 'node:test'
import { Packr } from 'msgpackr/pack'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { emptyConfiguration } from '../../src/core/config/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { encodePacket } from '../../src/core/membership/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createPeers } from '../../src/core/peers/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const secret = 'secret-of-the-test-cluster'
const sealer = createSealer([secret])
const codec = new Packr({ useRecords: false })
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))
const nodes = 6

/** A third of the shortest time within which a deployment wants a change in force, in ms. */
const boundMs = 2000 / 3

function start (context: TestContext, id: string, role: 'node' | 'control', seeds: string[], seed: number): Promise<Peers> {
  const environment = { clock, random: createRandom(seed), log: silentLog, metrics: createMetrics() }
  return createPeers({ id, boot: `${id}-1`, role, domain: 'd', address: '127.0.0.1:0', seeds, secrets: [secret] }, environment).then((peers) => {
    context.after(() => peers.close())
    return peers
  })
}

/** Starts a process of the cluster that answers as `respond` does, or not at all. */
async function startSilent (context: TestContext, respond: (response: ServerResponse) => void): Promise<{ server: Server, member: Member }> {
  const server = createServer((_request, response) => respond(response))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo
  return { server, member: { id: `silent-${port}`, startedAt: 1, boot: `silent-${port}`, incarnation: 0, status: 'alive', role: 'node', domain: 'd', address: `127.0.0.1:${port}` } }
}

/** Sends the last gossip of a process, with a beacon, before it falls silent. */
async function tell (from: Member, to: Peers, beacon: unknown): Promise<void> {
  const body = codec.pack({ jsonrpc: '2.0', method: 'gossip', params: [encodePacket({ type: 'push', from, updates: [], digest: 0 }), beacon] })
  const signature = sealer.seal(body, clock.date())
  const socket = createSocket('udp4')
  socket.bind(Number(from.address.split(':')[1]), '127.0.0.1')
  await once(socket, 'listening')
  await new Promise((resolve) => socket.send(Buffer.concat([Buffer.of(signature.length), Buffer.from(signature, 'latin1'), body]), Number(to.address.split(':')[1]), '127.0.0.1', resolve))
  socket.close()
}

const silences: Record<string, (response: ServerResponse) => void> = {
  'never answers': () => {},
  'stops within its answer': (response) => {
    response.writeHead(200, { 'content-length': 1000 })
    response.write('{')
  }
}

for (const [name, respond] of Object.entries(silences)) {
  for (const silentCount of [1, 3]) {
    test(`a change is in force in time at nodes that heard of it from a process that ${name}, ${silentCount} of them silent`, { timeout: 60_000 }, async (context) => {
      const control = await start(context, 'control', 'control', [], 1)
      const group = [control]
      for (let index = 0; index < nodes; index++) group.push(await start(context, `n-${index}`, 'node', [control.address], index + 2))
      const knowsAll = (count: number) => group.every((peers) => peers.members().length === count)
      for (let waited = 0; waited < 10_000 && !knowsAll(group.length); waited += 20) await pause(20)
      assert.ok(knowsAll(group.length), 'the group has formed')
      const silent = await Promise.all(Array.from({ length: silentCount }, () => startSilent(context, respond)))
      for (const { member } of silent) for (const peers of group) await tell(member, peers, null)
      const beacon = (sequence: number, revision: number) => [1, sequence, revision, Date.now(), 'control', control.address] as const

      const revision = 1
      control.installConfiguration({ ...emptyConfiguration(), revision }, [{ revision, differences: [] }])
      for (const peers of group.slice(1)) await tell(silent[0].member, peers, [beacon(1, revision), 0])
      const toldAt = clock.now()
      const [term, sequence, named, issuedAt, leader, address] = beacon(2, revision)
      control.publishBeacon({ term, sequence, revision: named, issuedAt, leader, address })
      const late = () => group.filter((peers) => peers.configuration().revision < revision)
      while (clock.now() - toldAt < boundMs && late().length > 0) await pause(5)
      assert.deepEqual(late().map((peers) => peers.self().id), [])
    })
  }
}
