import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { IncomingMessage } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { createSealer } from '../../src/core/auth/index.ts'
import { createDialer, noopListener } from '../../src/core/channel/index.ts'
import type { Stream } from '../../src/core/channel/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { encodeOpening } from '../../src/core/node/call-codec.ts'
import { createTraffic } from '../../src/core/peers/index.ts'
import { servePeerCalls } from '../../src/core/node/peer-calls.ts'
import { emptyReport } from '../../src/core/node/types.ts'
import type { CallContext } from '../../src/core/node/types.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const sealer = createSealer(['secret-of-the-test-cluster'])
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Opens an upload to a node. `use` gets the stream, the number of tracked calls, and the ends that the caller received. */
async function upload (use: (stream: Stream, active: () => number, ends: string[]) => Promise<void>): Promise<void> {
  const http = createServer()
  let active = 0
  const peers = { sealer, traffic: createTraffic('', createMetrics()), onUpgrade: (handler: (request: IncomingMessage, socket: Socket, head: Buffer) => void) => void http.on('upgrade', handler) } as unknown as Peers
  const track = (_headers: readonly string[], work: Promise<void>) => {
    active++
    void work.then(() => active--)
  }
  const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  const sessions = servePeerCalls(peers, {
    async serve (_call, sink) {
      sink.head(200, [], emptyReport)
      sink.end()
      return { type: 'answered', status: 200, report: emptyReport }
    },
    running: () => 0
  }, track, environment)
  await new Promise<void>((resolve) => http.listen(0, '127.0.0.1', resolve))
  const dialer = createDialer({ sealer, clock, metrics: createMetrics(), onConnectionFailed () {}, onSent () {} })
  const ends: string[] = []
  const context = { attempt: 'a', chain: 'a', lineage: 'a', remainingMs: 3000 } as CallContext
  const stream = dialer.open(`127.0.0.1:${(http.address() as AddressInfo).port}`, encodeOpening({ context, method: 'POST', path: '/', headers: [], bodyBytes: 4 }), false, {
    ...noopListener, end: () => void ends.push('end'), reset: () => void ends.push('reset')
  })
  try {
    await pause(100)
    await use(stream, () => active, ends)
  } finally {
    dialer.close()
    sessions.close()
    await new Promise((resolve) => http.close(resolve))
  }
}

test('a call is tracked while its body is arriving', () => upload(async (stream, active, ends) => {
  assert.equal(active(), 1)
  stream.bytes(Buffer.from('body'))
  stream.end()
  await pause(50)
  assert.deepEqual([active(), ends], [0, ['end']])
}))

test('a call that is reset before its body arrived is no longer tracked', () => upload(async (stream, active) => {
  stream.reset()
  await pause(50)
  assert.equal(active(), 0)
}))

test('a body shorter than announced resets the call', () => upload(async (stream, active, ends) => {
  stream.bytes(Buffer.from('b'))
  stream.end()
  await pause(50)
  assert.deepEqual([active(), ends], [0, ['reset']])
}))
