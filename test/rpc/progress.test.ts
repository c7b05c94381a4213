import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { createRpcClient, createRpcServer } from '../../src/core/rpc/index.ts'
import type { RpcClient } from '../../src/core/rpc/index.ts'

const sealer = createSealer(['secret-of-the-test-cluster'])

async function withClient (use: (client: RpcClient, address: string) => Promise<void>): Promise<void> {
  const rpcServer = createRpcServer(sealer, clock, () => {})
  rpcServer.method('echo', (value: unknown) => value)
  rpcServer.method('refuse', () => { throw new Error('no room now') })
  rpcServer.method('never', () => new Promise(() => {}))
  const server = createServer(rpcServer.handle).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = createRpcClient(sealer, clock, () => {})
  try {
    await use(client, `127.0.0.1:${(server.address() as AddressInfo).port}`)
  } finally {
    await client.close()
    server.closeAllConnections()
    server.close()
  }
}

test('a call whose time left is no whole number of milliseconds is made', () => withClient(async (client, address) => {
  assert.deepEqual(await client.call(address, 'echo', { value: 1 }, 3999.92), { ok: true, value: { value: 1 } })
  const progress = { signal: new AbortController().signal, onArrival () {} }
  assert.deepEqual(await client.call(address, 'echo', { value: 1 }, 3999.92, progress), { ok: true, value: { value: 1 } })
}))

test('a cancelled call ends at once, and an answer that arrives is reported', () => withClient(async (client, address) => {
  let arrivals = 0
  const cancellation = new AbortController()
  const progress = { signal: cancellation.signal, onArrival: () => void arrivals++ }
  assert.equal((await client.call(address, 'echo', { value: 1 }, 4000, progress)).ok, true)
  assert.ok(arrivals > 0)
  const startedAt = clock.now()
  setTimeout(() => cancellation.abort(new Error('not needed any more')), 50)
  assert.deepEqual(await client.call(address, 'never', {}, 4000, progress), { ok: false, reason: 'not needed any more' })
  assert.ok(clock.now() - startedAt < 2000)
}))

test('a process that answers with an error is told apart from one that does not answer', () => withClient(async (client, address) => {
  assert.deepEqual(await client.call(address, 'refuse', {}, 4000), { ok: false, reason: 'no room now', refused: true })
  assert.deepEqual(await client.call(address, 'never', {}, 50), { ok: false, reason: 'The operation was aborted due to timeout' })
}))
