import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { Duplex, PassThrough } from 'node:stream'
import { test } from 'node:test'
import { pack, unpack } from 'msgpackr'
import { createDecoder, encodeFrame } from '../../src/core/channel/codec.ts'
import { createSession } from '../../src/core/channel/session.ts'
import { frameKind, noopListener } from '../../src/core/channel/types.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'

/** Creates a connection of which the test reads what is written to it. */
function createConnection (): Socket {
  return Object.assign(new PassThrough(), { setNoDelay () {}, destroySoon () {} }) as unknown as Socket
}

function open (stream: number): Buffer {
  return encodeFrame({ kind: frameKind.open, stream, opening: `call ${stream}`, ended: true })
}

test('a stream whose reset has already arrived is not begun, and both frames are counted', () => {
  const accepted: unknown[] = []
  const accept = (opening: unknown) => {
    accepted.push(opening)
    return noopListener
  }
  const session = createSession(clock, { sent () {}, disconnected () {}, ended () {}, accept }, 1000)
  const connection = createConnection()
  const arrived = Buffer.concat([open(1), open(3), encodeFrame({ kind: frameKind.reset, stream: 1 }), open(5)])
  session.attach(connection, arrived, 0)
  assert.deepEqual(accepted, ['call 3', 'call 5'])
  assert.equal(session.size(), 2)
  assert.equal(session.pauseReading(), 4)
  session.close()
})

test('frames that arrive behind each other are decoded together', () => {
  const frames = createDecoder().read(Buffer.concat([open(1), open(3)]))
  assert.deepEqual(frames?.map(({ kind }) => kind), [frameKind.open, frameKind.open])
})

/** Creates a connection whose other side the test plays. */
function createSilentConnection (): Socket {
  const silent = new Duplex({ read () {}, write: (_chunk, _encoding, done) => done() })
  return Object.assign(silent, { setNoDelay () {}, destroySoon () {} }) as unknown as Socket
}

/** Creates a dialer's session with two streams whose opening was sent. Returns how they end, and how often the other side has ended the session. */
function createDialed () {
  const ends: Array<[stream: number, sent: boolean]> = []
  const heard = { ended: 0, disconnected: 0 }
  const session = createSession(clock, { sent () {}, disconnected: () => void heard.disconnected++, ended: () => void heard.ended++, accept: () => noopListener }, 1000)
  const connection = createSilentConnection()
  session.attach(connection, Buffer.alloc(0), 0)
  for (const stream of [1, 3]) session.open(`call ${stream}`, true, { ...noopListener, sessionEnded: (sent) => void ends.push([stream, sent]) })
  return { session, connection, ends, heard }
}

const nextTurn = () => new Promise((resolve) => setImmediate(resolve))

test('a stream that the other side has not received when it ends is reported as not sent', async () => {
  const { session, connection, ends, heard } = createDialed()
  await nextTurn()
  connection.emit('data', encodeFrame({ kind: frameKind.acknowledge, received: 1, final: true }))
  assert.equal(heard.ended, 1)
  session.close()
  assert.deepEqual(ends, [[1, true], [3, false]])
})

test('a connection that breaks leaves it open whether a stream was received', async () => {
  const { session, connection, ends, heard } = createDialed()
  await nextTurn()
  connection.emit('data', encodeFrame({ kind: frameKind.acknowledge, received: 1, final: false }))
  connection.emit('end')
  assert.deepEqual(heard, { ended: 0, disconnected: 1 })
  session.close()
  assert.deepEqual(ends, [[1, true], [3, true]])
})

test('an end with a count of more frames than were sent leaves it open whether a stream was received', async () => {
  const { session, connection, ends, heard } = createDialed()
  await nextTurn()
  connection.emit('data', encodeFrame({ kind: frameKind.acknowledge, received: 9, final: true }))
  assert.equal(heard.ended, 0)
  session.close()
  assert.deepEqual(ends, [[1, true], [3, true]])
})

test('nothing that follows the end of a session is begun', () => {
  const accepted: unknown[] = []
  const accept = (opening: unknown) => {
    accepted.push(opening)
    session.close()
    return noopListener
  }
  const session = createSession(clock, { sent () {}, disconnected () {}, ended () {}, accept }, 1000)
  session.attach(createSilentConnection(), Buffer.concat([open(1), open(3)]), 0)
  assert.deepEqual(accepted, ['call 1'])
})

test('the end of a session is an acknowledgement to earlier versions, and theirs is none', () => {
  const [frame] = createDecoder().read(encodeFrame({ kind: frameKind.acknowledge, received: 5, final: true })) ?? []
  assert.deepEqual(frame, { kind: frameKind.acknowledge, received: 5, final: true })
  const lengthBytes = 4
  const encoded = encodeFrame({ kind: frameKind.acknowledge, received: 5, final: true }).subarray(lengthBytes)
  assert.deepEqual(unpack(encoded), [0, 5, true], 'earlier versions read the first two fields')
  const earlier = pack([0, 5])
  const withLength = Buffer.concat([Buffer.from([0, 0, 0, earlier.length]), earlier])
  assert.deepEqual(createDecoder().read(withLength), [{ kind: frameKind.acknowledge, received: 5, final: false }])
})
