import assert from 'node:assert/strict'
import { createServer, request as httpRequest } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { digest } from '../../src/core/auth/index.ts'
import { createBodyBudget } from '../../src/core/node/body-budget.ts'
import type { BodyBudget, Release } from '../../src/core/node/body-budget.ts'
import { readBody } from '../../src/core/node/body.ts'
import type { ReadBody } from '../../src/core/node/body.ts'

const mebibyte = 1024 * 1024
const maxBytes = 16 * mebibyte
const waitMs = 2000

/** Takes room that is free. */
function take (budget: BodyBudget, bytes: number): Release {
  const release = budget.reserve(bytes, 0)
  assert.ok(typeof release === 'function')
  return release
}

test('a small body does not wait behind a large one', () => {
  const budget = createBodyBudget(maxBytes)
  take(budget, maxBytes)
  void budget.reserve(maxBytes, 100)
  assert.equal(typeof budget.reserve(mebibyte, 0), 'function')
})

test('room is granted in the order of the calls, and no later call overtakes a larger one that waits', async () => {
  const budget = createBodyBudget(maxBytes)
  const first = take(budget, 10 * mebibyte)
  const order: string[] = []
  const large = Promise.resolve(budget.reserve(maxBytes, waitMs)).then((release) => {
    order.push('large')
    return release
  })
  const later = Promise.resolve(budget.reserve(2 * mebibyte, waitMs)).then(() => order.push('later'))
  first()
  first()
  const release = await large
  assert.deepEqual([order, budget.usedBytes()], [['large'], maxBytes])
  release?.()
  await later
  assert.deepEqual(order, ['large', 'later'])
})

test('a body that gets no room in time is refused and holds up none after it', async () => {
  const budget = createBodyBudget(maxBytes)
  const first = take(budget, 10 * mebibyte)
  assert.equal(await budget.reserve(maxBytes, 20), undefined)
  first()
  assert.equal(budget.reserve(maxBytes + 1, waitMs), undefined)
  take(budget, maxBytes)
})

test('memory of bodies that are done is collected before more than the room is in use', () => {
  let collections = 0
  const budget = createBodyBudget(maxBytes, () => void collections++)
  for (let count = 0; count < 8; count++) take(budget, 4 * mebibyte)()
  assert.equal(collections, 1)
})

/** Runs `use` with a function that uploads a body and resolves with the status. Bodies that were read are kept until their room is released. */
async function withUploads (budget: BodyBudget, use: (upload: (body: Buffer, chunked: boolean) => Promise<number>, sockets: Socket[], read: ReadBody[]) => Promise<void>, room = waitMs): Promise<void> {
  const sockets: Socket[] = []
  const read: ReadBody[] = []
  const server = createServer(async (incoming, response) => {
    const body = await readBody(incoming, { maxBytes, budget, waitMs: room, timeLeftMs: () => 60_000 })
    if (body.ok) read.push(body.value)
    response.writeHead(body.ok ? 200 : body.status).end()
  })
  server.on('connection', (socket) => sockets.push(socket))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const upload = (body: Buffer, chunked: boolean) => new Promise<number>((resolve, reject) => {
    const headers = chunked ? {} : { 'content-length': body.length }
    const outgoing = httpRequest({ host: '127.0.0.1', port, method: 'POST', path: '/u', agent: false, headers }, (incoming) => {
      incoming.resume()
      resolve(incoming.statusCode ?? 0)
    })
    outgoing.on('error', reject)
    for (let offset = 0; offset < body.length; offset += mebibyte) outgoing.write(body.subarray(offset, offset + mebibyte))
    outgoing.end()
  })
  try {
    await use(upload, sockets, read)
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

const large = Buffer.alloc(10 * mebibyte, 'x')

test('a large upload is not read before there is room for it', () => withUploads(createBodyBudget(maxBytes), async (upload, sockets, read) => {
  const statuses = [upload(large, false), upload(large, false)]
  assert.equal(await Promise.race(statuses), 200)
  await pause(100)
  const [least] = sockets.map((socket) => socket.bytesRead).sort((left, right) => left - right)
  assert.ok(least < mebibyte, `${least} bytes were read`)
  assert.equal(read[0].digest, digest(Buffer.concat([Buffer.from('POST /u\n'), large])))
  read[0].release()
  assert.deepEqual(await Promise.all(statuses), [200, 200])
}))

test('a large upload that gets no room is refused, and its connection takes no more of the memory', async () => {
  const budget = createBodyBudget(maxBytes)
  take(budget, maxBytes)
  await withUploads(budget, async (upload) => {
    assert.deepEqual(await Promise.all([upload(large, false), upload(large, true), upload(Buffer.from('small'), false)]), [503, 503, 200])
    assert.equal(budget.usedBytes(), maxBytes + 'small'.length)
  }, 50)
})

test('a body of unknown length arrives whole and holds no more room than it needs by much', () => withUploads(createBodyBudget(maxBytes), async (upload, _sockets, read) => {
  for (const size of [0, 1, 64 * 1024, 64 * 1024 + 1, 3 * mebibyte, 10 * mebibyte]) {
    const body = large.subarray(0, size)
    assert.equal(await upload(body, true), 200)
    const received = read.pop()
    assert.ok(received !== undefined && received.bytes.equals(body))
    assert.equal(received.digest, digest(Buffer.concat([Buffer.from('POST /u\n'), body])))
    received.release()
  }
}))
