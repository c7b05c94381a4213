import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { Worker } from 'node:worker_threads'
import { closeServer } from '../../src/core/http/index.ts'

/** Time for which the event loop of the server reads nothing, in ms. */
const blockedMs = 400

/** A client in a thread of its own: it connects, sends and tells what it received, while the event loop of the server is blocked. */
const clientProgram = `
const { connect } = require('node:net')
const { parentPort } = require('node:worker_threads')
const clients = new Map()
const request = 'GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
const open = (name, port, sendsAtOnce) => {
  const socket = connect(port, '127.0.0.1')
  const client = { socket, text: '', error: null }
  clients.set(name, client)
  socket.on('connect', () => sendsAtOnce ? socket.write(request) : parentPort.postMessage({ name, event: 'connected' }))
  socket.on('data', (chunk) => {
    client.text += chunk
    parentPort.postMessage({ name, event: 'received' })
  })
  socket.on('error', ({ code }) => { client.error = code })
  socket.on('close', () => parentPort.postMessage({ name, event: 'closed', answers: client.text.split('HTTP/1.1 ').slice(1).map((part) => part.slice(0, 3)), error: client.error }))
}
parentPort.on('message', ({ type, name, port, delayMs }) => {
  if (type === 'open') setTimeout(open, delayMs, name, port, true)
  if (type === 'connect') open(name, port, false)
  if (type === 'send') setTimeout(() => clients.get(name).socket.write(request), delayMs)
})
parentPort.postMessage({ name: '', event: 'started' })
`

interface ClientEvent {
  name: string
  event: 'started' | 'connected' | 'received' | 'closed'
  /** Status codes of the answers. */
  answers?: string[]
  error?: string | null
}

interface Setting {
  server: Server
  port: number
  tell: (message: { type: 'open' | 'connect' | 'send', name: string, delayMs?: number }) => void
  until: (name: string, event: ClientEvent['event']) => Promise<ClientEvent>
}

/** Keeps the event loop from reading, as a long turn does. */
function block (ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Starts a server that answers its first request with 200 and, as a stop does, the others with a refusal that closes their connection. */
async function withClient (use: (setting: Setting) => Promise<void>): Promise<void> {
  let answered = 0
  const server = createServer((_request, response) => {
    const isFirst = answered++ === 0
    response.writeHead(isFirst ? 200 : 503, { 'content-length': 0, connection: isFirst ? 'keep-alive' : 'close' }).end()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const worker = new Worker(clientProgram, { eval: true })
  const events: ClientEvent[] = []
  worker.on('message', (event: ClientEvent) => void events.push(event))
  const until: Setting['until'] = async (name, event) => {
    for (const end = performance.now() + 5000; performance.now() < end; await pause(5)) {
      const found = events.find((each) => each.name === name && each.event === event)
      if (found !== undefined) return found
    }
    throw new Error(`${name} not ${event}: ${JSON.stringify(events)}`)
  }
  try {
    await until('', 'started')
    await use({ server, port, until, tell: (message) => worker.postMessage({ port, ...message }) })
  } finally {
    await worker.terminate()
    server.closeAllConnections()
    server.close()
  }
}

test('a request that lies unread on an idle connection when its server closes is answered', () => withClient(async ({ server, until, tell }) => {
  tell({ type: 'connect', name: 'kept' })
  await until('kept', 'connected')
  tell({ type: 'send', name: 'kept' })
  await until('kept', 'received')
  await pause(20)
  tell({ type: 'send', name: 'kept' })
  block(blockedMs)
  await closeServer(server)
  const { answers, error } = await until('kept', 'closed')
  assert.deepEqual({ answers, error }, { answers: ['200', '503'], error: null })
}))

test('requests on connections that were not accepted yet when their server closes are answered', () => withClient(async ({ server, until, tell }) => {
  const names = Array.from({ length: 12 }, (_, number) => `new ${number}`)
  for (const name of names) tell({ type: 'open', name })
  block(blockedMs)
  await closeServer(server)
  const ends = await Promise.all(names.map((name) => until(name, 'closed')))
  assert.deepEqual(ends.map(({ answers, error }) => ({ count: answers?.length, error })), names.map(() => ({ count: 1, error: null })))
}))

test('a request that lies unread when the last connections of a closed server are cut is answered', () => withClient(async ({ server, until, tell }) => {
  tell({ type: 'connect', name: 'unused' })
  await until('unused', 'connected')
  await pause(20)
  const closed = closeServer(server)
  await pause(100)
  tell({ type: 'send', name: 'unused' })
  await new Promise((resolve) => setImmediate(resolve)) // The timers that are due come before the next poll.
  block(blockedMs)
  await closed
  const { answers, error } = await until('unused', 'closed')
  assert.deepEqual({ answers, error }, { answers: ['200'], error: null })
}))

test('a client that sends nothing does not keep its server from closing', () => withClient(async ({ server, until, tell }) => {
  tell({ type: 'connect', name: 'unused' })
  await until('unused', 'connected')
  const startedAt = performance.now()
  await closeServer(server)
  assert.ok(performance.now() - startedAt < 1000)
}))

test('clients that connect without end do not keep their server from closing', () => withClient(async ({ server, until, tell }) => {
  for (let number = 0; number < 1000; number++) tell({ type: 'open', name: `late ${number}`, delayMs: number })
  await until('late 50', 'closed')
  const startedAt = performance.now()
  await closeServer(server)
  assert.ok(performance.now() - startedAt < 1000, `${performance.now() - startedAt} ms`)
}))
