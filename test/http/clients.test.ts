import assert from 'node:assert/strict'
import type { RequestListener, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { findLargest, findSurplus, readableRequests, shareOfBound } from '../../src/core/http/client-bounds.ts'
import type { ClientBounds, Holding } from '../../src/core/http/client-bounds.ts'
import { endOfPiece } from '../../src/core/http/pieces.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { createProcessClients } from '../../src/core/http/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Metrics } from '../../src/core/metrics/index.ts'
import { createTestClients } from './clients.ts'

const bounds: ClientBounds = { clientConnections: 100, clientRequests: 50, connectionRequests: 10, clientBytes: 1_000_000, clientHeadBytes: 10_000, connectionBytes: 16_384 }

function holding (changes: Partial<Holding>): Holding {
  return { requests: 0, answerBytes: 0, unparsedBytes: 0, headBytes: 0, readAt: 0, ...changes }
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`

test('a connection without a request may be read whatever others hold', () => {
  assert.equal(readableRequests(holding({}), 1000, bounds), 1)
  assert.equal(readableRequests(holding({ requests: 1 }), 1000, bounds), 0)
  assert.equal(readableRequests(holding({ requests: 4 }), 48, bounds), 2)
  assert.equal(readableRequests(holding({ requests: 7 }), 10, bounds), 3)
  assert.equal(readableRequests(holding({ requests: 10 }), 10, bounds), 0)
})

test('groups hold no more than a bound together, and each is sure of half of it', () => {
  assert.equal(shareOfBound(100, 0), 100)
  assert.equal(shareOfBound(100, 30), 70)
  assert.equal(shareOfBound(100, 90), 50)
})

test('what one group holds takes from what the other one may, for as long as it holds it', async () => {
  const clients = createProcessClients({ ...bounds, clientRequests: 20, connectionRequests: 20 }, { clock: systemClock, log: silentLog, metrics: createMetrics() })
  const held = { callers: 0, peers: 0 }
  const servers = (['callers', 'peers'] as const).map((group) => clients[group].createServer({}, () => void held[group]++))
  await Promise.all(servers.map((server) => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))))
  const sockets = servers.map((server) => connect((server.address() as AddressInfo).port, '127.0.0.1'))
  sockets[0].write(get('/').repeat(20))
  await new Promise((resolve) => setTimeout(resolve, 100))
  sockets[1].write(get('/').repeat(20))
  await new Promise((resolve) => setTimeout(resolve, 100))
  assert.equal(clients.callers.held().requests, 20)
  assert.equal(clients.peers.held().requests, 10)
  for (const socket of sockets) socket.destroy()
  for (const server of servers) server.close()
})

test('the largest holding counts requests, answers and heads', () => {
  const [requests, answers, head] = [holding({ requests: 3 }), holding({ answerBytes: 30_000 }), holding({ headBytes: 4000 })]
  assert.equal(findLargest([requests, answers, head]), head)
  assert.equal(findLargest([requests, answers]), answers)
  assert.equal(findLargest([holding({})]), undefined)
})

test('one connection too many closes the one with much, then the longest idle, and none that serves a few requests', () => {
  const [busy, idle, longIdle, greedy] = [holding({ requests: 8 }), holding({ readAt: 9 }), holding({ readAt: 3 }), holding({ requests: 40 })]
  assert.equal(findSurplus([busy, idle, greedy, longIdle]), greedy)
  assert.equal(findSurplus([busy, idle, longIdle]), longIdle)
  assert.equal(findSurplus([busy]), undefined)
})

test('pieces hold few requests, end before a line and lose nothing', () => {
  const text = Array.from({ length: 100 }, (_, index) => get(`/${index}`)).join('')
  const pieces: string[] = []
  for (let rest = Buffer.from(text); rest.length > 0;) {
    const end = endOfPiece(rest, 8)
    pieces.push(rest.subarray(0, end).toString())
    rest = rest.subarray(end)
  }
  assert.equal(pieces.join(''), text)
  assert.equal(pieces.length, Math.ceil(100 / 8))
  for (const piece of pieces) assert.ok(piece.startsWith('GET ') && piece.endsWith('\r\n\r\n'))
})

test('a body that looks like requests is cut, also without lines', () => {
  const body = Buffer.from('HTTP/'.repeat(100))
  assert.equal(endOfPiece(body, 8), 5 * 8)
  assert.equal(endOfPiece(Buffer.alloc(64 * 1024, 'x'), 8), 64 * 1024)
})

interface Setting {
  port: number
  metrics: Metrics
  gauge: (name: string) => number
}

async function withClients (changes: Partial<ClientBounds>, listener: RequestListener, use: (setting: Setting) => Promise<void>): Promise<void> {
  const metrics = createMetrics()
  const server = createTestClients(changes, metrics).createServer({}, listener)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const gauge = (name: string) => Number(new RegExp(`dogwoodspring_${name}\\{group="callers"\\} (\\d+)`).exec(metrics.expose())?.[1])
  try {
    await use({ port: (server.address() as AddressInfo).port, metrics, gauge })
  } finally {
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
}

async function open (port: number): Promise<{ socket: Socket, text: () => string, isClosed: () => boolean }> {
  const socket = connect(port, '127.0.0.1')
  let received = ''
  let closed = false
  socket.on('error', () => {})
  socket.on('data', (chunk: Buffer) => void (received += chunk.toString('latin1')))
  socket.on('close', () => void (closed = true))
  await new Promise((resolve) => socket.once('connect', resolve))
  return { socket, text: () => received, isClosed: () => closed }
}

async function until (isMet: () => boolean, withinMs = 5000): Promise<void> {
  for (const end = performance.now() + withinMs; performance.now() < end && !isMet();) await new Promise((resolve) => setTimeout(resolve, 5))
  assert.ok(isMet(), String(isMet))
}

test('a connection is read no further than its requests, and goes on when they are answered', () => {
  const waiting: ServerResponse[] = []
  let most = 0
  return withClients({ connectionRequests: 10 }, (_request, response) => {
    most = Math.max(most, waiting.push(response))
  }, async ({ port, gauge }) => {
    const { socket, text } = await open(port)
    socket.write(get('/').repeat(500))
    await until(() => waiting.length >= 10)
    await new Promise((resolve) => setTimeout(resolve, 50))
    assert.ok(most <= 10, `${most}`)
    const answering = setInterval(() => {
      for (const response of waiting.splice(0)) response.end('x')
    }, 1)
    await until(() => (text().match(/HTTP\/1.1 200/g)?.length ?? 0) === 500)
    clearInterval(answering)
    await until(() => gauge('client_requests') === 0)
    assert.ok(most <= 10, `${most}`)
    socket.destroy()
  })
})

test('a client is served while others hold all requests', () => withClients({ clientRequests: 16 }, (request, response) => {
  if (request.url === '/one') response.end('served')
}, async ({ port, metrics }) => {
  const crowd = await Promise.all([0, 1, 2].map(() => open(port)))
  for (const { socket } of crowd) socket.write(get('/').repeat(40))
  await until(() => metrics.value('client_reads_held_total{group="callers",bound="clientRequests"}') > 0)
  const { socket, text } = await open(port)
  socket.write(get('/one'))
  await until(() => text().includes('served'))
  for (const each of [socket, ...crowd.map((one) => one.socket)]) each.destroy()
}))

test('a body of several pieces arrives whole while its connection is full', () => withClients({ connectionRequests: 1 }, (request, response) => {
  let bytes = 0
  request.on('data', (chunk: Buffer) => void (bytes += chunk.length))
  request.on('end', () => response.end(`<${bytes}>`))
}, async ({ port }) => {
  const { socket, text } = await open(port)
  const body = 'HTTP/1.1\r\n'.repeat(50_000)
  socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}${get('/')}`)
  await until(() => text().includes(`<${body.length}>`) && text().includes('<0>'))
  socket.destroy()
}))

test('heads without their end are closed, largest first, before they fill the bound', () => withClients({ clientHeadBytes: 25_000 }, (_request, response) => response.end('served'), async ({ port, metrics, gauge }) => {
  const crowd = await Promise.all(Array.from({ length: 10 }, () => open(port)))
  for (const { socket } of crowd) socket.write(`GET / HTTP/1.1\r\n${'a: b\r\n'.repeat(1000)}`)
  await until(() => metrics.value('client_connections_closed_total{group="callers",bound="clientHeadBytes"}') > 0 && gauge('client_head_bytes') <= 25_000)
  const { socket, text } = await open(port)
  socket.write(get('/'))
  await until(() => text().includes('served'))
  for (const each of [socket, ...crowd.map((one) => one.socket)]) each.destroy()
}))

test('one connection too many closes an idle one', () => withClients({ clientConnections: 2 }, (_request, response) => response.end('served'), async ({ port, metrics }) => {
  const first = await open(port)
  const second = await open(port)
  first.socket.write(get('/'))
  await until(() => first.text().includes('served'))
  const third = await open(port)
  await until(() => second.isClosed())
  third.socket.write(get('/'))
  await until(() => third.text().includes('served'))
  assert.equal(first.isClosed(), false)
  assert.equal(metrics.value('client_connections_closed_total{group="callers",bound="clientConnections"}'), 1)
  for (const { socket } of [first, third]) socket.destroy()
}))

test('answers that nobody takes close the connection that holds most', () => withClients({ clientBytes: 4_000_000 }, (_request, response) => {
  response.end(Buffer.alloc(9_000_000))
}, async ({ port, metrics }) => {
  const { socket, isClosed } = await open(port)
  socket.pause()
  socket.write(get('/'))
  await until(() => metrics.value('client_connections_closed_total{group="callers",bound="clientBytes"}') === 1)
  socket.resume()
  await until(isClosed)
}))
