import assert from 'node:assert/strict'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { createSealer } from '../../src/core/auth/index.ts'
import { createDialer, createSessionServer, noopListener } from '../../src/core/channel/index.ts'
import type { StreamAcceptor, Dialer, Stream, StreamListener } from '../../src/core/channel/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'

const secret = 'secret-of-the-test-cluster'

/** A process that serves sessions, behind a relay whose connections the test can disturb. */
interface Served {
  address: string
  /** Pairs of sockets that the relay connects. */
  pairs: Array<[Socket, Socket]>
  /** Delay before the relay connects the sockets of a pair, in ms. */
  delayMs: number
  close: () => Promise<void>
}

async function listenOn (server: { listen: (port: number, host: string, done: () => void) => unknown, address: () => unknown }): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

async function serve (accept: StreamAcceptor, accepted = secret): Promise<Served> {
  const sessions = createSessionServer({ sealer: createSealer([accepted]), clock, accept, onSent () {} })
  const server = createHttpServer().on('upgrade', sessions.upgrade)
  const port = await listenOn(server)
  const pairs: Served['pairs'] = []
  const relay = createServer((near) => {
    const far = connect(port, '127.0.0.1')
    setTimeout(() => near.pipe(far).pipe(near), served.delayMs)
    near.on('error', () => far.destroy())
    far.on('error', () => near.destroy())
    pairs.push([near, far])
  })
  const relayPort = await listenOn(relay)
  const served: Served = {
    address: `127.0.0.1:${relayPort}`,
    pairs,
    delayMs: 0,
    async close () {
      sessions.close()
      for (const pair of pairs) for (const socket of pair) socket.destroy()
      server.closeAllConnections()
      await Promise.all([relay, server].map((each) => new Promise((resolve) => each.close(resolve))))
    }
  }
  return served
}

function dialer (onConnectionFailed = () => {}): Dialer {
  return createDialer({ sealer: createSealer([secret]), clock, metrics: createMetrics(), onConnectionFailed, onSent () {} })
}

/** Everything received on a stream until its end. */
interface Outcome {
  messages: unknown[]
  text: string
  end: 'end' | 'reset' | 'lost, sent' | 'lost, not sent'
}

function collect (open: (listener: StreamListener) => Stream): Promise<Outcome> {
  return new Promise((resolve) => {
    const messages: unknown[] = []
    const pieces: Uint8Array[] = []
    const finish = (end: Outcome['end']) => resolve({ messages, text: Buffer.concat(pieces).toString(), end })
    open({
      message: (value) => void messages.push(value),
      bytes (piece, consumed) {
        pieces.push(Buffer.from(piece))
        setImmediate(consumed)
      },
      end: () => finish('end'),
      reset: () => finish('reset'),
      dialerDisconnected () {},
      sessionEnded: (sent) => finish(sent ? 'lost, sent' : 'lost, not sent')
    })
  })
}

/** Answers each stream with its opening and the received bytes, after a pause. */
function echo (pauseMs: number): StreamAcceptor {
  return (opening, stream) => {
    const pieces: Uint8Array[] = []
    return {
      ...noopListener,
      bytes (piece, consumed) {
        pieces.push(Buffer.from(piece))
        consumed()
      },
      end: () => void setTimeout(() => {
        stream.message(opening)
        for (const piece of pieces) stream.bytes(piece)
        stream.end()
      }, pauseMs)
    }
  }
}

async function withServerAndDialer (accept: StreamAcceptor, use: (served: Served, clientDialer: Dialer) => Promise<void>): Promise<void> {
  const served = await serve(accept)
  const clientDialer = dialer()
  try {
    await use(served, clientDialer)
  } finally {
    clientDialer.close()
    await served.close()
  }
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

test('carries many streams over one connection without mixing their data', () => withServerAndDialer(echo(5), async (served, clientDialer) => {
  const outcomes = await Promise.all(Array.from({ length: 100 }, (_, number) => collect((listener) => {
    const stream = clientDialer.open(served.address, { number }, false, listener)
    stream.bytes(Buffer.from(`body ${number}`))
    stream.end()
    return stream
  })))
  for (const [number, outcome] of outcomes.entries()) assert.deepEqual(outcome, { messages: [{ number }], text: `body ${number}`, end: 'end' })
  assert.equal(served.pairs.length, 1)
}))

test('carries a body larger than the window while a small stream completes', () => withServerAndDialer(echo(0), async (served, clientDialer) => {
  const body = Buffer.alloc(2 * 1024 * 1024, 'abcdefg')
  let small: Promise<Outcome> | undefined
  const large = await collect((listener) => {
    const stream = clientDialer.open(served.address, 'large', false, listener)
    assert.equal(stream.bytes(body), false, 'the sender must wait for credit')
    stream.onDrain(() => stream.end())
    small = collect((other) => clientDialer.open(served.address, 'small', true, other))
    return stream
  })
  assert.equal(large.text, body.toString())
  assert.equal((await small)?.end, 'end')
}))

test('delivers each answer exactly once although the connection is reset repeatedly', () => withServerAndDialer(echo(60), async (served, clientDialer) => {
  const answers = Array.from({ length: 20 }, (_, number) => collect((listener) => clientDialer.open(served.address, number, true, listener)))
  for (let count = 0; count < 4; count++) {
    await pause(20)
    served.pairs.at(-1)?.[0].resetAndDestroy()
    served.pairs.at(-1)?.[1].resetAndDestroy()
  }
  for (const [number, outcome] of (await Promise.all(answers)).entries()) assert.deepEqual(outcome, { messages: [number], text: '', end: 'end' })
}))

test('replaces a silent connection and delivers the data in flight', () => withServerAndDialer(echo(100), async (served, clientDialer) => {
  await collect((listener) => clientDialer.open(served.address, 'first', true, listener))
  for (const [near, far] of served.pairs) {
    near.unpipe(far)
    far.unpipe(near)
    near.pause()
    far.pause()
  }
  const startedAt = performance.now()
  const outcome = await collect((listener) => clientDialer.open(served.address, 'second', true, listener))
  assert.deepEqual(outcome.messages, ['second'])
  assert.ok(performance.now() - startedAt < 1500)
  assert.equal(served.pairs.length, 2)
}))

test('delivers nothing twice when a silent connection resumes while a new one opens', () => withServerAndDialer((opening, stream) => echo(opening === 'long' ? 1500 : 50)(opening, stream), async (served, clientDialer) => {
  await collect((listener) => clientDialer.open(served.address, 'first', true, listener))
  const [[near, far]] = served.pairs
  const long = collect((listener) => clientDialer.open(served.address, 'long', true, listener))
  await pause(20)
  far.unpipe(near)
  far.pause()
  served.delayMs = 300
  const answers = Array.from({ length: 5 }, (_, number) => collect((listener) => {
    const stream = clientDialer.open(served.address, number, false, listener)
    stream.bytes(Buffer.from(`body ${number}`))
    stream.end()
    return stream
  }))
  while (served.pairs.length < 2) await pause(5)
  await pause(100)
  far.pipe(near)
  for (const [number, outcome] of (await Promise.all(answers)).entries()) assert.deepEqual(outcome, { messages: [number], text: `body ${number}`, end: 'end' })
  assert.deepEqual(await long, { messages: ['long'], text: '', end: 'end' })
}))

test('reports that nothing was sent when no process listens at the address', async () => {
  const clientDialer = dialer()
  assert.equal((await collect((listener) => clientDialer.open('127.0.0.1:1', 'x', true, listener))).end, 'lost, not sent')
  clientDialer.close()
})

test('sends nothing to a process with another secret', async () => {
  const served = await serve(echo(0), 'another-secret-of-a-cluster')
  const clientDialer = dialer()
  assert.equal((await collect((listener) => clientDialer.open(served.address, 'x', true, listener))).end, 'lost, not sent')
  clientDialer.close()
  await served.close()
})

test('reports streams as lost after the process has stopped', async () => {
  const served = await serve(() => noopListener)
  const clientDialer = dialer()
  const waiting = collect((listener) => clientDialer.open(served.address, 'x', true, listener))
  await pause(100)
  await served.close()
  assert.equal((await waiting).end, 'lost, sent')
  clientDialer.close()
})

test('notifies streams of a dialer that stays disconnected, but not of one that reconnects', async () => {
  const heard: string[] = []
  await withServerAndDialer((_opening, stream) => ({ ...noopListener, dialerDisconnected: () => void heard.push('left'), end: () => void setTimeout(stream.end, 700) }), async (served, clientDialer) => {
    const answer = collect((listener) => clientDialer.open(served.address, 'x', true, listener))
    await pause(50)
    served.pairs.at(-1)?.[0].resetAndDestroy()
    assert.equal((await answer).end, 'end')
    assert.deepEqual(heard, [])
    void collect((listener) => clientDialer.open(served.address, 'y', true, listener))
    await pause(50)
    clientDialer.close()
    await pause(600)
    assert.deepEqual(heard, ['left'])
  })
})

/** Waits until a condition is met, for at most 5 s. */
async function waitUntil (isMet: () => boolean): Promise<void> {
  for (let waitedMs = 0; !isMet() && waitedMs < 5000; waitedMs += 5) await pause(5)
}

test('a reset reaches the other side and affects no other stream', async () => {
  let resets = 0
  let hasArrived = false
  await withServerAndDialer((opening, stream) => {
    if (opening === 'keep') return echo(100)(opening, stream)
    hasArrived = true
    return { ...noopListener, reset: () => void resets++ }
  }, async (served, clientDialer) => {
    const kept = collect((listener) => clientDialer.open(served.address, 'keep', true, listener))
    const stream = clientDialer.open(served.address, 'break', true, noopListener)
    await waitUntil(() => hasArrived)
    stream.reset()
    assert.equal((await kept).end, 'end')
    await waitUntil(() => resets > 0)
    assert.equal(resets, 1)
  })
})

test('a connection that is opened while its server closes does not keep the server open', async () => {
  const sessions = createSessionServer({ sealer: createSealer([secret]), clock, accept: () => noopListener, onSent () {} })
  const server = createHttpServer()
  const opened: Socket[] = []
  server.on('upgrade', (request, socket: Socket, head) => {
    opened.push(socket)
    sessions.close()
    sessions.upgrade(request, socket, head)
  })
  const client = dialer()
  client.open(`127.0.0.1:${await listenOn(server)}`, 'call', true, noopListener)
  await new Promise((resolve) => server.once('upgrade', resolve))
  const closed = new Promise((resolve) => server.close(() => resolve('closed')))
  server.closeAllConnections()
  const state = await Promise.race([closed, new Promise((resolve) => setTimeout(() => resolve('still open'), 2000))])
  client.close()
  for (const socket of opened) socket.destroy()
  assert.equal(state, 'closed')
})

test('a stream that its server has not read when it ends as planned is reported as not sent', { timeout: 10_000 }, async () => {
  const accepted: unknown[] = []
  const accept: StreamAcceptor = (opening) => {
    accepted.push(opening)
    return noopListener
  }
  const sessions = createSessionServer({ sealer: createSealer([secret]), clock, accept, onSent () {} })
  const upgraded: Socket[] = []
  const server = createHttpServer().on('upgrade', sessions.upgrade).on('upgrade', (_request, socket: Socket) => void upgraded.push(socket))
  const address = `127.0.0.1:${await listenOn(server)}`
  const client = dialer()
  const send = (opening: string) => collect((listener) => client.open(address, opening, true, listener))
  const read = send('read')
  await waitUntil(() => accepted.length === 1)
  upgraded[0].pause()
  const unread = Array.from({ length: 3 }, (_, number) => send(`unread ${number}`))
  await pause(50)
  sessions.close()
  const ends = await Promise.all([read, ...unread].map(async (outcome) => (await outcome).end))
  client.close()
  server.closeAllConnections()
  await new Promise((resolve) => server.close(resolve))
  assert.deepEqual(accepted, ['read'])
  assert.deepEqual(ends, ['lost, sent', 'lost, not sent', 'lost, not sent', 'lost, not sent'])
})

test('an answer that is sent right before its server ends as planned arrives', async () => {
  const sessions = createSessionServer({
    sealer: createSealer([secret]),
    clock,
    onSent () {},
    accept (opening, stream) {
      setTimeout(() => {
        stream.message(opening)
        stream.end()
        sessions.close()
      }, 20)
      return noopListener
    }
  })
  const server = createHttpServer().on('upgrade', sessions.upgrade)
  const address = `127.0.0.1:${await listenOn(server)}`
  const client = dialer()
  const outcome = await collect((listener) => client.open(address, 'call', true, listener))
  client.close()
  await new Promise((resolve) => server.close(resolve))
  assert.deepEqual(outcome, { messages: ['call'], text: '', end: 'end' })
})

test('a dialer that does not read does not keep the connection of a session open that has ended', async () => {
  const upgraded: Socket[] = []
  const sessions = createSessionServer({ sealer: createSealer([secret]), clock, accept: () => noopListener, onSent () {} })
  const server = createHttpServer().on('upgrade', sessions.upgrade).on('upgrade', (_request, socket: Socket) => void upgraded.push(socket))
  const port = await listenOn(server)
  const relayed: Socket[] = []
  const relay = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    relayed.push(near, far)
    for (const socket of relayed) socket.on('error', () => {})
    near.pipe(far, { end: false })
    far.pipe(near, { end: false })
  })
  const client = dialer()
  client.open(`127.0.0.1:${await listenOn(relay)}`, 'call', true, noopListener)
  await waitUntil(() => upgraded.length === 1)
  sessions.close()
  const closed = new Promise((resolve) => server.close(() => resolve('closed')))
  const state = await Promise.race([closed, pause(1000).then(() => 'still open')])
  client.close()
  for (const socket of relayed) socket.destroy()
  relay.close()
  assert.equal(state, 'closed')
})

test('a server whose answer is taken slowly is not idle before its dialer has been sent all of it', { timeout: 10_000 }, async () => {
  const answer = Buffer.alloc(1024 * 1024, 'x')
  const sessions = createSessionServer({
    sealer: createSealer([secret]),
    clock,
    onSent () {},
    accept (_opening, stream) {
      stream.bytes(answer)
      stream.end()
      return noopListener
    }
  })
  const server = createHttpServer().on('upgrade', sessions.upgrade)
  const address = `127.0.0.1:${await listenOn(server)}`
  const client = dialer()
  const waiting: Array<() => void> = []
  let received = 0
  let takesPieces = false
  const ended = new Promise<void>((resolve) => client.open(address, 'large', true, {
    ...noopListener,
    bytes (piece, consumed) {
      received += piece.length
      if (takesPieces) setImmediate(consumed)
      else waiting.push(consumed)
    },
    end: resolve
  }))
  await waitUntil(() => received > 0)
  await pause(100)
  const isSendingBefore = sessions.isSending()
  takesPieces = true
  for (const consumed of waiting) consumed()
  await ended
  await waitUntil(() => !sessions.isSending())
  client.close()
  sessions.close()
  server.closeAllConnections()
  await new Promise((resolve) => server.close(resolve))
  assert.deepEqual([isSendingBefore, received], [true, answer.length])
})
