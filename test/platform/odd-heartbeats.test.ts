import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { createInstanceServer } from '../../platform/instances.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Announcement } from '../../src/core/node/index.ts'
import { createOwnTarget } from '../../src/core/node/target.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

type Call = (call: string, instance: string, body: string | Buffer) => Promise<{ status: number, text: string }>

async function withServer (use: (call: Call, target: OwnTarget, metrics: ReturnType<typeof createMetrics>) => Promise<void>): Promise<void> {
  const metrics = createMetrics()
  const environment = { clock, random: createRandom(1), log: silentLog, metrics }
  const target = createOwnTarget({ setTarget () {} } as unknown as Peers, environment, { drainMs: 1000, adaptiveLimit: false })
  const node = {
    announce: async (announcement: Announcement) => target.announce(announcement) ? 'taken' as const : 'outdated' as const,
    withdraw: async (instance: string, bornAt: number | undefined) => target.withdraw(instance, bornAt) ? 'taken' as const : 'outdated' as const
  }
  const server = createInstanceServer(node, { service: 's', serverAddress: '127.0.0.1:9' }, environment)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/-/rpc`
  try {
    await use(async (call, instance, body) => {
      const response = await fetch(`${url}?call=${call}&of=${encodeURIComponent(instance)}`, { method: 'POST', body, signal: AbortSignal.timeout(1000) })
      return { status: response.status, text: await response.text() }
    }, target, metrics)
  } finally {
    server.closeAllConnections()
    server.close()
    await target.close()
  }
}

const good = { service: 's', address: '127.0.0.1:9', zone: 'z', version: 'v1', slots: 98, state: 'ready', coldLeft: '0ms', sequence: 4, born: 1_700_000_000_000 }
const nested = (depth: number) => '['.repeat(depth) + ']'.repeat(depth)

/** Returns the good heartbeat with one field replaced by JSON text. */
function changed (field: string, json: string): string {
  return JSON.stringify({ ...good, sequence: 5, [field]: '@' }).replace('"@"', json)
}

const numbers = ['1e308', '1e400', '9007199254740992', '9007199254740993', '-1', '0.5', '1e-7', '"4"', 'null', '[]', '{}', nested(100_000)]
const oddBodies: Array<string | Buffer> = [
  ...['slots', 'sequence', 'born'].flatMap((field) => numbers.map((json) => changed(field, json))),
  changed('slots', '0'), changed('slots', '-0'), changed('slots', '100001'),
  ...['"127.0.0.1:0"', '"127.0.0.1:65536"', '"127.0.0.1:99999999"', '"127.0.0.1:-1"', '"127.0.0.1"', '"[::1]:9"', `"${'9'.repeat(50_000)}"`, 'null', nested(1000)]
    .map((json) => changed('address', json)),
  ...['"gone"', '"READY"', '1', 'null', nested(1000)].map((json) => changed('state', json)),
  ...['"t"', `"${'s'.repeat(50_000)}"`, '7', 'null'].map((json) => changed('service', json)),
  ...['slots', 'state', 'sequence', 'born', 'service', 'address'].map((field) => JSON.stringify({ ...good, [field]: undefined })),
  '', '7', 'null', '[]', 'NaN', '{"', nested(1000), nested(30_000), '{"a":'.repeat(10_000), Buffer.of(0xff, 0xfe, 0x00), 'x'.repeat(5_000_000)
]

test('an odd heartbeat is refused within a second with a short reason, and the server stays in use', () => withServer(async (call, target, metrics) => {
  assert.equal((await call('instances.heartbeat', 'i-1', JSON.stringify(good))).status, 200)
  const known = structuredClone(target.current())
  for (const body of oddBodies) {
    const shown = body.toString('latin1' as 'utf8').slice(0, 200)
    const { status, text } = await call('instances.heartbeat', 'i-1', body)
    assert.deepEqual([status, text.length < 1000], [400, true], shown)
    assert.deepEqual([target.current(), target.acceptsRequests()], [known, true], shown)
  }
  assert.equal(metrics.value('heartbeats_refused_total'), oddBodies.length)
  assert.equal((await call('instances.heartbeat', 'i-1', changed('slots', '99'))).status, 200)
  assert.equal(target.current()?.slots, 99)
}))

test('unknown fields of a heartbeat may be nested to any depth', () => withServer(async (call, target) => {
  assert.equal((await call('instances.heartbeat', 'i-1', changed('extra', nested(20_000)))).status, 200)
  assert.equal((await call('instances.heartbeat', 'i-1', changed('coldLeft', '1e400').replace('"sequence":5', '"sequence":6'))).status, 200)
  assert.equal(target.current()?.slots, 98)
}))

test('an id that no header can hold names no server', () => withServer(async (call, target) => {
  for (const instance of ['', '\n', 'i 1', 'é', '\u{1f600}', 'i-1\r\nx: y', 'i'.repeat(257)]) {
    assert.equal((await call('instances.heartbeat', instance, JSON.stringify(good))).status, 400, JSON.stringify(instance))
  }
  assert.equal(target.current(), undefined)
}))

test('an odd deregistration is refused and counted', () => withServer(async (call, target, metrics) => {
  await call('instances.heartbeat', 'i-1', JSON.stringify(good))
  const bodies = ['[]', '{"born":1e308}', '{"born":"1"}', '{"born":1e400}', '7', 'null', '{', nested(30_000), Buffer.of(0xff), 'x'.repeat(100_000)]
  for (const body of bodies) assert.equal((await call('instances.deregister', 'i-1', body)).status, 400, body.toString().slice(0, 80))
  assert.equal(metrics.value('deregistrations_refused_total'), bodies.length)
  assert.equal(target.current()?.state, 'up')
}))
