import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { Pool } from 'undici'
import { createConnector } from '../../src/core/http/index.ts'
import { sendExchange } from '../../src/core/node/exchange.ts'

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Time for which a receiver pauses; the connection ends meanwhile. */
const pauseMs = 60

interface Received {
  status: number
  text: string
  end: string
}

/** Sends one request to a raw target and pauses the answer at each of its pieces. */
async function receiveSlowly (pool: Pool, origin: string, timeoutMs = 2000): Promise<Received> {
  const received: Received = { status: 0, text: '', end: '' }
  return await new Promise((resolve) => {
    const finish = (end: string) => resolve({ ...received, end })
    sendExchange(pool, { origin, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), timeoutMs }, {
      head (status) {
        received.status = status
        return true
      },
      data (chunk, resume) {
        received.text += chunk.toString()
        setTimeout(resume, pauseMs)
        return false
      },
      end: () => finish('end'),
      error: ({ cause }) => finish(cause)
    })
  })
}

async function withRawTarget (answer: (socket: Socket) => void, use: (pool: Pool, origin: string) => Promise<void>): Promise<void> {
  const sockets: Socket[] = []
  const raw = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      if (chunk.includes('GET')) answer(socket)
    })
  })
  await new Promise<void>((resolve) => raw.listen(0, '127.0.0.1', resolve))
  const origin = `http://127.0.0.1:${(raw.address() as AddressInfo).port}`
  const pool = new Pool(origin, { connections: 1, pipelining: 1, connect: createConnector(1000) })
  try {
    await use(pool, origin)
    await pause(20)
    assert.deepEqual(sockets.map((socket) => socket.readableEnded || socket.destroyed), sockets.map(() => true), 'every connection that the target ended was closed')
  } finally {
    await pool.destroy()
    raw.close()
  }
}

const closingHead = 'HTTP/1.1 200 OK\r\nConnection: close\r\n'

for (const [name, text, end] of [
  ['without a length', 'HTTP/1.1 200 OK\r\n\r\nwhole', 'end'],
  ['with a length', `${closingHead}Content-Length: 5\r\n\r\nwhole`, 'end'],
  ['in chunks', `${closingHead}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`, 'end'],
  ['shorter than its length', `${closingHead}Content-Length: 6\r\n\r\nwhole`, 'broken'],
  ['with a length on a kept connection', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', 'end'],
  ['without its last chunk', `${closingHead}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n`, 'broken'],
  ['shorter than its length on a kept connection', 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole', 'broken']
]) {
  test(`an answer ${name} whose connection ends while its receiver pauses`, () => withRawTarget((socket) => socket.end(text), async (pool, origin) => {
    for (const count of [1, 2]) assert.deepEqual(await receiveSlowly(pool, origin), { status: 200, text: 'whole', end }, `answer ${count}`)
  }))
}

test('an answer without a length that is reset while its receiver pauses is broken', () => withRawTarget((socket) => {
  socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
  setTimeout(() => socket.resetAndDestroy(), pauseMs / 3)
}, async (pool, origin) => {
  assert.equal((await receiveSlowly(pool, origin)).end, 'broken')
}))

test('an answer that ended while its receiver pauses is given up at the deadline, and the next one is received', () => withRawTarget((socket) => {
  socket.end('HTTP/1.1 200 OK\r\n\r\nwhole')
}, async (pool, origin) => {
  assert.equal((await receiveSlowly(pool, origin, pauseMs / 2)).end, 'timeout')
  assert.equal((await receiveSlowly(pool, origin)).end, 'end')
}))
