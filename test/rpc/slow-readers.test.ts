import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { maxHeldBytes, takeTimeoutMs } from '../../src/core/http/index.ts'
import { createRpcClient, createRpcServer, rpcPath } from '../../src/core/rpc/index.ts'

const sealer = createSealer(['secret-of-the-test-cluster'])
const answerBytes = 4 * 1024 * 1024
const readers = 60

/** Asks for the large answer and reads nothing of it. */
function askAndStop (port: number): Socket {
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'large', params: {} })
  const socket = connect(port, '127.0.0.1')
  socket.pause()
  socket.on('error', () => {})
  socket.write(`POST ${rpcPath} HTTP/1.1\r\nhost: a\r\nx-dogwoodspring-signature: ${sealer.seal(body, clock.date())}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  return socket
}

test('processes that ask for a configuration and stop reading fill no memory, and others are answered again', { timeout: 30_000 }, async () => {
  const rpcServer = createRpcServer(sealer, clock, () => {})
  rpcServer.method('large', () => 'x'.repeat(answerBytes))
  rpcServer.method('small', () => 'whole')
  const accepted: Socket[] = []
  const server = createServer(rpcServer.handle)
  server.on('connection', (socket) => accepted.push(socket))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const client = createRpcClient(sealer, clock, () => {})
  const call = (method: string) => client.call<string>(`127.0.0.1:${port}`, method, {}, 2000)
  const stopped: Socket[] = []
  let largestHeld = 0
  try {
    for (let count = 0; count < readers; count++) {
      stopped.push(askAndStop(port))
      await pause(10)
      largestHeld = Math.max(largestHeld, accepted.reduce((sum, socket) => sum + socket.writableLength, 0))
    }
    assert.ok(largestHeld <= maxHeldBytes + 2 * answerBytes, `${largestHeld} bytes were held`)
    assert.deepEqual(await call('small'), { ok: true, value: 'whole' })
    await pause(takeTimeoutMs)
    const answer = await call('large')
    assert.ok(answer.ok && answer.value.length === answerBytes, answer.ok ? 'cut' : answer.reason)
  } finally {
    for (const socket of stopped) socket.destroy()
    await client.close()
    server.closeAllConnections()
    server.close()
  }
})
