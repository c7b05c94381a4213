import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { createPipeline, maxInProgress } from '../../src/core/node/pipeline.ts'
import { createTestClients } from '../http/clients.ts'

type Serve = (request: IncomingMessage, response: ServerResponse, readAt?: number) => void

/** A server with pipelines, and a client connection to it. */
interface Setting {
  socket: Socket
  /** Paths of the served requests. */
  served: string[]
  /** Paths of the requests whose response closed before it was finished. */
  cancelled: string[]
  received: () => string
  stop: () => void
  ended: Promise<unknown>
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

async function withServer (serve: Serve, use: (setting: Setting) => Promise<void>): Promise<void> {
  let stopping = false
  let received = ''
  const served: string[] = []
  const cancelled: string[] = []
  const clients = createTestClients()
  const pipeline = createPipeline({
    hasUnparsed: clients.hasUnparsed,
    now: () => performance.now(),
    isStopping: () => stopping,
    leaveUnserved: () => {},
    serve (request, response, readAt) {
      served.push(request.url ?? '')
      response.once('close', () => {
        if (!response.writableFinished) cancelled.push(request.url ?? '')
      })
      serve(request, response, readAt)
    }
  })
  const server = clients.createServer({}, pipeline.accept).on('clientError', pipeline.reject)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1')
  })
  const ended = new Promise((resolve) => socket.once('close', resolve))
  socket.on('error', () => {})
  try {
    await use({ socket, served, cancelled, received: () => received, stop: () => { stopping = true }, ended })
  } finally {
    socket.destroy()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
}

function get (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`
}

function bodies (text: string): string[] {
  return [...text.matchAll(/\r\n\r\n<([^>]*)>/g)].map(([, body]) => body)
}

async function until (isMet: () => boolean, withinMs = 5000): Promise<void> {
  for (const end = performance.now() + withinMs; performance.now() < end && !isMet();) await pause(5)
  assert.ok(isMet(), 'in time')
}

/** Waits for a promise for a time at most. */
async function within (promise: Promise<unknown>, ms: number): Promise<void> {
  assert.equal(await Promise.race([promise.then(() => 'done'), pause(ms)]), 'done', 'in time')
}

const answer: Serve = (request, response) => void response.end(`<${request.url ?? ''}>`)

test('answers follow the order of the requests when later ones are done first', () => withServer((request, response) => {
  setTimeout(() => answer(request, response), request.url === '/0' ? 80 : 5)
}, async ({ socket, received }) => {
  socket.write(['/0', '/1', '/2'].map(get).join(''))
  await until(() => bodies(received()).length === 3)
  assert.deepEqual(bodies(received()), ['/0', '/1', '/2'])
}))

test('1,000 requests in one write are all answered, with few in progress at once', () => {
  let inProgress = 0
  let most = 0
  return withServer((request, response) => {
    most = Math.max(most, ++inProgress)
    setImmediate(() => {
      inProgress--
      answer(request, response)
    })
  }, async ({ socket, received }) => {
    const paths = Array.from({ length: 1000 }, (_, index) => `/${index}`)
    socket.write(paths.map(get).join(''))
    await until(() => bodies(received()).length === 1000)
    assert.deepEqual(bodies(received()), paths)
    assert.ok(most <= maxInProgress, `${most}`)
  })
})

test('a stop leaves no request unanswered that was read before the closing answer', () => withServer((request, response) => {
  setTimeout(() => answer(request, response), request.url === '/4' ? 300 : 60)
}, async ({ socket, served, received, stop, ended }) => {
  socket.write(get('/0') + get('/1'))
  await until(() => served.length === 2)
  stop()
  socket.write(get('/2') + get('/3'))
  await until(() => served.length === 4)
  socket.write(get('/4'))
  await ended
  assert.deepEqual(bodies(received()), ['/0', '/1', '/2', '/3', '/4'])
  assert.equal(received().match(/connection: close/gi)?.length, 1)
  assert.match(received().slice(received().indexOf('</3>')), /connection: close/i)
}))

test('a stop serves nothing behind the closing answer', () => withServer((request, response) => {
  response.write('x')
  setTimeout(() => response.end(`<${request.url ?? ''}>`), 60)
}, async ({ socket, served, received, stop, ended }) => {
  stop()
  socket.write(get('/0'))
  await until(() => received().includes('connection: close') || received().includes('Connection: close'))
  socket.write(get('/1') + get('/2'))
  await ended
  assert.deepEqual(served, ['/0'])
  assert.match(received(), /<\/0>/)
}))

test('a stop with requests that wait for their turn answers all of them', () => withServer((request, response) => {
  setTimeout(() => answer(request, response), 40)
}, async ({ socket, served, received, stop, ended }) => {
  const paths = Array.from({ length: maxInProgress + 5 }, (_, index) => `/${index}`)
  socket.write(paths.map(get).join(''))
  await until(() => served.length === maxInProgress)
  stop()
  await ended
  assert.deepEqual(bodies(received()), paths)
  assert.equal(received().match(/connection: close/gi)?.length, 1)
}))

test('a stop answers every request that was received with it, however many', () => withServer((request, response) => {
  setImmediate(() => answer(request, response))
}, async ({ socket, received, stop, ended }) => {
  stop()
  const paths = Array.from({ length: 300 }, (_, index) => `/${index}`)
  socket.write(paths.map(get).join(''))
  await within(ended, 3000)
  assert.deepEqual(bodies(received()), paths)
  assert.equal(received().match(/connection: close/gi)?.length, 1)
}))

test('nothing behind a request that closes the connection is served', () => withServer(answer, async ({ socket, served, received, ended }) => {
  socket.write('GET /0 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n' + get('/1'))
  await ended
  assert.deepEqual(served, ['/0'])
  assert.deepEqual(bodies(received()), ['/0'])
}))

test('a malformed head is refused after the answers before it', () => withServer((request, response) => {
  setTimeout(() => answer(request, response), 40)
}, async ({ socket, received, ended }) => {
  socket.write(get('/0') + get('/1') + 'no request\r\n\r\n')
  await ended
  assert.deepEqual(bodies(received()), ['/0', '/1'])
  assert.ok(received().indexOf('400 Bad Request') > received().indexOf('</1>'))
}))

test('a client that leaves cancels all of its requests', () => withServer(() => {}, async ({ socket, served, cancelled }) => {
  socket.write(Array.from({ length: maxInProgress + 3 }, (_, index) => get(`/${index}`)).join(''))
  await until(() => served.length === maxInProgress)
  socket.destroy()
  await until(() => cancelled.length === maxInProgress)
  await pause(30)
  assert.equal(served.length, maxInProgress)
}))

test('a refused request stands between two served ones', () => withServer((request, response) => {
  if (request.url === '/1') return void response.writeHead(503, { 'content-length': '9' }).end('<refused>')
  setTimeout(() => answer(request, response), 20)
}, async ({ socket, received }) => {
  socket.write(['/0', '/1', '/2'].map(get).join(''))
  await until(() => bodies(received()).length === 3)
  assert.deepEqual(bodies(received()), ['/0', 'refused', '/2'])
}))

test('a slow reader gets every answer, and little is held for it', () => {
  const size = 200_000
  let held = 0
  let most = 0
  return withServer((_request, response) => {
    let left = size
    const write = () => {
      while (left > 0) {
        left -= 10_000
        held += 10_000
        most = Math.max(most, held)
        const flushed = response.write('x'.repeat(10_000), () => { held -= 10_000 })
        if (!flushed) return void response.once('drain', write)
      }
      response.end()
    }
    write()
  }, async ({ socket, received }) => {
    socket.pause()
    socket.write(Array.from({ length: 40 }, (_, index) => get(`/${index}`)).join(''))
    await pause(200)
    assert.ok(most < 20 * size, `${most}`)
    socket.resume()
    await until(() => received().length > 40 * size, 10_000)
  })
})

/** Answers once the body has been read. */
const answerAfterBody: Serve = (request, response) => {
  request.resume()
  request.on('end', () => answer(request, response))
}

const lengthRequest = 'POST /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf'

for (const [name, request, ends] of [
  ['body that its client cuts short', lengthRequest, true],
  ['body in chunks that its client cuts short', 'POST /cut HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', true],
  ['body with a malformed chunk', 'POST /cut HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nz\r\n', false]
] as const) {
  test(`a ${name} is refused once, after the answers before it, and its request ends`, () => withServer((incoming, response) => {
    if (incoming.url === '/slow') setTimeout(() => answer(incoming, response), 60)
    else answerAfterBody(incoming, response)
  }, async ({ socket, received, cancelled, ended }) => {
    socket.write(get('/slow') + request)
    if (ends) socket.end()
    await within(ended, 3000)
    assert.deepEqual(bodies(received()), ['/slow'])
    assert.deepEqual([...received().matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => status), ['200', '400'])
    assert.deepEqual(cancelled, ['/cut'])
  }))
}

test('a cut body behind requests that fill the connection is refused once', () => withServer((request, response) => {
  if (request.url === '/cut') answerAfterBody(request, response)
  else setTimeout(() => answer(request, response), 30)
}, async ({ socket, received, served, ended }) => {
  const paths = Array.from({ length: maxInProgress + 2 }, (_, index) => `/${index}`)
  socket.end(paths.map(get).join('') + lengthRequest)
  await within(ended, 3000)
  assert.deepEqual(bodies(received()), paths)
  assert.deepEqual(received().match(/HTTP\/1.1 400/g), ['HTTP/1.1 400'])
  assert.equal(served.includes('/cut'), false)
}))

test('the time of a request counts from when it was read, not from its turn on the connection', () => {
  const readAt: number[] = []
  let finish = () => {}
  const serve: Serve = (_request, response, time = Infinity) => {
    readAt.push(time)
    if (readAt.length === 1) finish = () => response.end('first')
    else response.end('later')
  }
  return withServer(serve, async ({ socket, served }) => {
    socket.write(Array.from({ length: maxInProgress + 1 }, (_, index) => get(`/${index}`)).join(''))
    await pause(200)
    const sentBy = performance.now()
    finish()
    await pause(50)
    assert.equal(served.length, maxInProgress + 1)
    assert.ok(readAt[maxInProgress] < sentBy - 100, `${readAt[maxInProgress]} ${sentBy}`)
  })
})
