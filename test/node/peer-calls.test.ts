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
import { decodeReply, encodeOpening } from '../../src/core/node/call-codec.ts'
import { createTraffic } from '../../src/core/peers/index.ts'
import { createBodyBudget } from '../../src/core/node/body-budget.ts'
import { servePeerCalls } from '../../src/core/node/peer-calls.ts'
import type { TrackCall } from '../../src/core/node/peer-calls.ts'
import type { CallServer } from '../../src/core/node/serve.ts'
import { emptyReport } from '../../src/core/node/types.ts'
import type { CallContext } from '../../src/core/node/types.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const sealer = createSealer(['secret-of-the-test-cluster'])
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

const answerAtOnce: CallServer['serve'] = async (_call, sink) => {
  sink.head(200, [], emptyReport)
  sink.end()
  return { type: 'answered', status: 200, report: emptyReport }
}

/** What a caller received, and the functions that give its calls up. */
interface Received {
  ends: string[]
  messages: unknown[]
  giveUp: Array<() => void>
}

/** Opens an upload to a node. `use` gets the stream, the number of tracked calls, and the ends that the caller received. */
async function upload (use: (stream: Stream, active: () => number, ends: string[], received: Received) => Promise<void>, serve = answerAtOnce, budget = createBodyBudget(1024 * 1024)): Promise<void> {
  const http = createServer()
  let active = 0
  const peers = { sealer, traffic: createTraffic('', createMetrics()), onUpgrade: (handler: (request: IncomingMessage, socket: Socket, head: Buffer) => void) => void http.on('upgrade', handler) } as unknown as Peers
  const received: Received = { ends: [], messages: [], giveUp: [] }
  const { ends } = received
  const track: TrackCall = (_headers, work, giveUp) => {
    active++
    received.giveUp.push(giveUp)
    void work.then(() => active--)
  }
  const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  const sessions = servePeerCalls(peers, { serve, running: () => 0 }, track, budget, environment)
  await new Promise<void>((resolve) => http.listen(0, '127.0.0.1', resolve))
  const dialer = createDialer({ sealer, clock, metrics: createMetrics(), onConnectionFailed () {}, onSent () {} })
  const context = { attempt: 'a', chain: 'a', lineage: 'a', remainingMs: 3000 } as CallContext
  const stream = dialer.open(`127.0.0.1:${(http.address() as AddressInfo).port}`, encodeOpening({ context, method: 'POST', path: '/', headers: [], bodyBytes: 4 }), false, {
    ...noopListener, message: (value) => void received.messages.push(decodeReply(value)), end: () => void ends.push('end'), reset: () => void ends.push('reset')
  })
  try {
    for (const until = clock.now() + 5000; received.giveUp.length === 0 && clock.now() < until;) await pause(5)
    await use(stream, () => active, ends, received)
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

test('a call that is given up is reported to its node at once, and a late answer changes nothing', () => {
  let answer = () => {}
  return upload(async (stream, _active, ends, { giveUp, messages }) => {
    stream.bytes(Buffer.from('body'))
    stream.end()
    await pause(50)
    giveUp[0]()
    await pause(50)
    assert.deepEqual(ends, ['end'])
    assert.match(JSON.stringify(messages), /"failed".*unknown_outcome/)
    answer()
    await pause(50)
    assert.equal(messages.length, 1)
  }, (_call, sink) => new Promise((resolve) => {
    answer = () => {
      sink.head(200, [], emptyReport)
      sink.end()
      resolve({ type: 'answered', status: 200, report: emptyReport })
    }
  }))
})

test('a call whose body is still arriving when a stop ends is refused as not run, and does not run when it has arrived', () => {
  let served = 0
  return upload(async (stream, active, _ends, { giveUp, messages }) => {
    giveUp[0]()
    await pause(50)
    stream.bytes(Buffer.from('body'))
    stream.end()
    await pause(50)
    assert.match(JSON.stringify(messages), /"refused".*leaving/)
    assert.deepEqual([served, active(), messages.length], [0, 0, 1])
  }, async (call, sink) => {
    served++
    return await answerAtOnce(call, sink)
  })
})

test('a call for whose body there is no room is refused as not run, and its node sends no more of it', () => {
  const budget = createBodyBudget(1024 * 1024)
  for (let count = 0; count < 32; count++) budget.reserve(1024 * 1024, 0)
  return upload(async (stream, active, ends, { messages }) => {
    const isSent = stream.bytes(Buffer.alloc(1024 * 1024))
    await pause(900)
    assert.match(JSON.stringify(messages), /"refused".*no room/)
    assert.deepEqual([isSent, active(), ends], [false, 0, ['end', 'reset']])
  }, answerAtOnce, budget)
})
