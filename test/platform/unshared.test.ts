import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { createInstanceServer } from '../../platform/instances.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { AnnouncementOutcome } from '../../src/core/node/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

/** Returns the statuses of a heartbeat and of a deregistration at a node with this outcome. */
async function statusesOf (outcome: AnnouncementOutcome): Promise<number[]> {
  const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  const node = { announce: async () => outcome, withdraw: async () => outcome }
  const server = createInstanceServer(node, { service: 's', serverAddress: '127.0.0.1:9' }, environment)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const send = async (call: string, document: unknown) => {
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/-/rpc?call=${call}&of=i-1`
    return (await fetch(url, { method: 'POST', body: JSON.stringify(document), signal: AbortSignal.timeout(1000) })).status
  }
  const heartbeat = { service: 's', address: '127.0.0.1:9', zone: 'z', version: 'v1', slots: 9, state: 'draining', coldLeft: '0ms', sequence: 4, born: 1_700_000_000_000 }
  try {
    return [await send('instances.heartbeat', heartbeat), await send('instances.deregister', { born: 1_700_000_000_000 })]
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

// Guards against an acknowledgement that is forgotten with the process that gave it.
test('what a server says of its end is not acknowledged while no other process has it', async () => {
  assert.deepEqual(await statusesOf('taken'), [200, 200])
  assert.deepEqual(await statusesOf('outdated'), [200, 200])
  assert.deepEqual(await statusesOf('unshared'), [503, 503])
})
