import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { fail } from '../../src/core/errors/index.ts'
import { createFreshness } from '../../src/core/freshness/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createLocalHandler } from '../../src/core/node/local.ts'
import { createOwnTarget } from '../../src/core/node/target.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

type Put = (body: string | Buffer) => Promise<{ status: number, text: string }>

/** Runs `use` with the announcement interface of a node and the target that it announces to. */
async function withLocal (use: (put: Put, target: OwnTarget, metrics: ReturnType<typeof createMetrics>) => Promise<void>): Promise<void> {
  const metrics = createMetrics()
  const environment = { clock, random: createRandom(1), log: silentLog, metrics }
  const peers = { setTarget () {}, self: () => ({}), freshness: createFreshness() } as unknown as Peers
  const target = createOwnTarget(peers, environment, { drainMs: 1000, adaptiveLimit: false })
  const server = createServer(createLocalHandler(peers, target, environment, () => fail('noDeployment')))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/.dogwoodspring/target`
  try {
    await use(async (body) => {
      const response = await fetch(url, { method: 'PUT', body, signal: AbortSignal.timeout(1000) })
      return { status: response.status, text: await response.text() }
    }, target, metrics)
  } finally {
    server.closeAllConnections()
    server.close()
    await target.close()
  }
}

const good = { service: 's', address: '127.0.0.1:9', slots: 4 }
const addresses = ['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:99999999', '127.0.0.1:-1', '127.0.0.1', '....:80', '300.0.0.1:80', '1.2.3:80', '[::1]:80', '']
const nested = (depth: number) => '['.repeat(depth) + ']'.repeat(depth)
const bodies: Array<string | Buffer> = [
  ...addresses.map((address) => JSON.stringify({ ...good, address })),
  ...['1e308', '1e400', '-1', '-0', '0', '0.5', '9007199254740993', '"4"', 'null', nested(1_000_00)].map((slots) => `{"service":"s","address":"127.0.0.1:9","slots":${slots}}`),
  JSON.stringify({ ...good, state: 'resting' }), JSON.stringify({ ...good, ['x'.repeat(50_000)]: 1 }),
  nested(1000), nested(100_000), '{"a":'.repeat(20_000), 'NaN', 'null', '', '7', Buffer.of(0xff, 0xfe, 0x00, 0x7b), 'x'.repeat(5_000_000)
]

test('an odd announcement is refused within a second with a short reason, and the known target stays in use', () => withLocal(async (put, target, metrics) => {
  assert.equal((await put(JSON.stringify(good))).status, 200)
  const pool = target.pool()
  for (const body of bodies) {
    const { status, text } = await put(body)
    const shown = body.toString('latin1' as 'utf8').slice(0, 80)
    assert.ok(status === 400, `${status} for ${shown}`)
    assert.ok(text.length < 1000, `${text.length} characters for ${shown}`)
    assert.deepEqual([target.pool() === pool, pool?.closed, target.origin(), target.acceptsRequests()], [true, false, 'http://127.0.0.1:9', true], shown)
  }
  assert.equal(metrics.value('announcements_refused_total'), bodies.length)
  assert.equal((await put(JSON.stringify({ ...good, slots: 5 }))).status, 200)
  assert.equal(target.current()?.slots, 5)
}))

test('an announcement that no pool can serve changes nothing', () => withLocal(async (_, target) => {
  target.announce({ service: 's', address: '127.0.0.1:9', slots: 4, connections: 4, state: 'up' })
  const pool = target.pool()
  for (const [address, connections] of [['127.0.0.1:99999', 4], ['', 4], ['127.0.0.1:9', Infinity], ['127.0.0.1:9', -1]] as const) {
    assert.throws(() => target.announce({ service: 's', address, slots: 9, connections, state: 'up' }))
    assert.equal(target.current()?.slots, 4)
  }
  assert.deepEqual([target.pool() === pool, pool?.closed], [true, false])
}))
