import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSealer } from '../../src/core/auth/index.ts'
import { createDialer, noopListener } from '../../src/core/channel/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'

for (const address of ['127.0.0.1:65536', '127.0.0.1:99999999', '127.0.0.1', '', 'x:-1']) {
  test(`a stream to "${address}" ends no process`, { timeout: 2000 }, async () => {
    const dialer = createDialer({ sealer: createSealer(['secret-of-the-test-cluster']), clock, metrics: createMetrics(), onConnectionFailed () {}, onSent () {} })
    const sent = await new Promise((resolve) => dialer.open(address, [], true, { ...noopListener, sessionEnded: resolve }))
    assert.equal(sent, false)
    dialer.close()
  })
}
