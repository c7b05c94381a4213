import assert from 'node:assert/strict'
import { test } from 'node:test'
import { systemClock } from '../../src/core/clock/index.ts'
import { emptyConfiguration } from '../../src/core/config/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createRateClient } from '../../src/core/rate/client.ts'
import { createMeter, windowLeaseMs } from '../../src/core/rate/index.ts'

const windowMs = 500

test('a node that has returned its allowances lends nothing', async () => {
  const now = systemClock.now()
  const meter = createMeter(windowMs)
  meter.tryAdmit('w', now)
  meter.accept({ workspace: 'w', term: 1, sequence: 1, allowance: 100, nextMs: 0, leaseMs: windowLeaseMs }, now, now)
  let lend: (wanted: unknown) => unknown = () => []
  const sent: string[] = []
  const peers = {
    boot: 'a',
    configuration: emptyConfiguration,
    members: () => [],
    self: () => ({ id: 'n', domain: 'a' }),
    freshness: { newest: undefined },
    controlAddresses: () => ['control:1'],
    datagrams: {
      method: (name: string, handler: (wanted: unknown) => unknown) => void (lend = name === 'rate.borrow' ? handler : lend),
      notify: (_address: string, method: string) => void sent.push(method),
      request: async () => ({ ok: false, reason: 'timeout' })
    }
  } as unknown as Peers
  const client = createRateClient(peers, meter, { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() }, () => 0)
  await new Promise((resolve) => setTimeout(resolve, windowMs))
  assert.notDeepEqual(lend([['w', 1]]), [])
  client.close()
  assert.deepEqual(sent, ['rate.leave'])
  assert.deepEqual(lend([['w', 10]]), [])
})
