import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { echo, pause, withServer } from './stopping.ts'
import type { Machines } from './machines.ts'

const piece = 'x'.repeat(64 * 1024)

/** What a faulty server sends: bytes at first, and bytes without end after them. */
const variants: Record<string, [first: string, endless: string]> = {
  garbage: ['', piece],
  'status-line': ['HTTP/1.1 200 O', piece],
  'header-line': ['HTTP/1.1 200 OK\r\nx-long: ', piece],
  'header-lines': ['HTTP/1.1 200 OK\r\n', 'x-many: one more\r\n'.repeat(1000)],
  'interim-answers': ['', 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'.repeat(1000)],
  'body-with-length': ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ID\r\ncontent-length: 999999999999\r\n\r\n', piece],
  'body-in-chunks': ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n', `10000\r\n${piece}\r\n`],
  'body-without-length': ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ID\r\n\r\n', piece],
  'body-of-another-request': ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: other\r\ncontent-length: 999999999999\r\n\r\n', piece],
  'body-of-a-refusal': ['HTTP/1.1 503 Busy\r\nx-dogwoodspring-request-id: ID\r\nx-dogwoodspring-not-executed: 1\r\ncontent-length: 999999999999\r\n\r\n', piece],
  'chunk-extension': ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n5;a=', piece],
  trailers: ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', 'x-trailer: one more\r\n'.repeat(1000)],
  'after-the-answer': ['HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ID\r\ncontent-length: 2\r\n\r\nok', piece]
}

/** Sends to a socket without end, as fast as the other side reads. */
function sendWithoutEnd (socket: Socket, first: string, endless: string): void {
  const go = () => {
    while (!socket.destroyed && socket.write(endless));
    socket.once('drain', go)
  }
  socket.on('error', () => {})
  if (first !== '') socket.write(first)
  go()
}

function residentMb (pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024
}

/** Sends a request and discards its answer, or does not read it at all. Resolves once the connection has closed. */
function sendAndDiscard (machines: Machines, path: string, id: string, reads: boolean, leave: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const headers = { host: 'a.example', 'x-dogwoodspring-request-id': id, 'x-dogwoodspring-deadline-ms': '3000', 'x-dogwoodspring-key': 'secret' }
    const outgoing = httpRequest({ host: machines.sidecarIp(1), port: machines.outboundPort, path, headers, agent: false, signal: leave }, (incoming) => {
      incoming.on('error', () => {})
      if (reads) incoming.resume()
    })
    outgoing.on('error', () => {})
    outgoing.once('close', resolve)
    outgoing.end()
  })
}

/** Memory by which one process may grow while three endless answers pass through it, in MB: a window for each, and garbage. */
const maxGrowthMb = 60

test('an answer without end fills the memory of no node, and the requests of others are answered', { timeout: 120_000 }, (context) => withServer(async ({ machines, server }) => {
  server.respondWith((request: IncomingMessage, response: ServerResponse) => {
    const variant = variants[request.url?.split('/')[2] ?? '']
    if (variant === undefined) {
      response.writeHead(200, echo(request)).end('whole answer')
      return
    }
    const id = String(request.headers['x-dogwoodspring-request-id'])
    if (response.socket !== null) sendWithoutEnd(response.socket, variant[0].replace('ID', id), variant[1])
  })
  const names = ['sidecar-1', 'sidecar-2']
  for (let count = 0; count < 20; count++) await machines.send(1, '/p/x', { 'x-dogwoodspring-request-id': `warm-${count}` })
  for (const name of Object.keys(variants)) {
    const before = names.map((sidecar) => residentMb(machines.pidOf(sidecar)))
    const peaks = [...before]
    const leave = new AbortController()
    const endless = [0, 1, 2].map((number) => sendAndDiscard(machines, `/p/${name}/`, `${name}-${number}`, number % 2 === 0, leave.signal))
    for (let count = 0; count < 12; count++) {
      const { status } = await machines.send(1, '/p/x', { 'x-dogwoodspring-request-id': `${name}-other-${count}` })
      assert.equal(status, 200, `${name}: a request of another client, ${machines.logOf('sidecar-1').slice(-500)}`)
      for (const [index, sidecar] of names.entries()) peaks[index] = Math.max(peaks[index], residentMb(machines.pidOf(sidecar)))
      await pause(100)
    }
    leave.abort()
    await Promise.all(endless)
    context.diagnostic(`${name}: largest growth ${Math.round(Math.max(...peaks.map((peak, index) => peak - before[index])))} MB`)
    for (const [index, sidecar] of names.entries()) {
      assert.ok(peaks[index] - before[index] < maxGrowthMb, `${name}: ${sidecar} grew from ${Math.round(before[index])} to ${Math.round(peaks[index])} MB`)
    }
  }
  assert.deepEqual(names.map((name) => machines.isRunning(name)), [true, true])
}))
