import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { createRpcClient } from '../../src/core/rpc/client.ts'
import type { CallProgress, RpcResult } from '../../src/core/rpc/client.ts'

const sealer = createSealer(['secret-of-the-test-cluster'])
const timeoutMs = 2000

/** Calls a raw server that answers each request with the next text and closes the connection. */
async function callRaw (texts: string[], isReset: boolean, progress?: CallProgress): Promise<Array<RpcResult<unknown>>> {
  const left = [...texts]
  const raw = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      if (!chunk.includes('POST')) return
      socket.write(left.shift() ?? '')
      if (isReset) socket.resetAndDestroy()
      else socket.end()
    })
  })
  await new Promise<void>((resolve) => raw.listen(0, '127.0.0.1', resolve))
  const client = createRpcClient(sealer, clock, () => {})
  const results: Array<RpcResult<unknown>> = []
  try {
    for (let count = 0; count < texts.length; count++) results.push(await client.call(`127.0.0.1:${(raw.address() as AddressInfo).port}`, 'm', {}, timeoutMs, progress))
  } finally {
    await client.close()
    raw.close()
  }
  return results
}

function answer (result: unknown, isFramed: boolean): string {
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, result })
  return `HTTP/1.1 200 OK\r\n${isFramed ? `Content-Length: ${body.length}\r\n` : ''}Connection: close\r\n\r\n${body}`
}

const followed: CallProgress = { signal: new AbortController().signal, onArrival () {} }

for (const isFramed of [true, false]) {
  for (const [isReset, progress] of [[false, undefined], [true, undefined], [false, followed], [true, followed]] as const) {
    const what = `${isFramed ? 'with' : 'without'} a length that is ${isReset ? 'reset' : 'closed'}${progress === undefined ? '' : ' while its parts are followed'}`
    test(`an answer ${what} after any byte is no result`, async () => {
      const text = answer(1700, isFramed)
      const results = await callRaw(Array.from({ length: text.length }, (_, cut) => text.slice(0, cut)), isReset, progress)
      assert.deepEqual(results.filter(({ ok }) => ok), [])
    })
  }
  test(`a large answer ${isFramed ? 'with' : 'without'} a length whose connection ends at once is read as a whole`, async () => {
    const large = 'x'.repeat(3_000_000)
    const texts = Array.from({ length: 20 }, () => answer(large, isFramed))
    const results = await callRaw(texts, false)
    assert.deepEqual(results.filter((result) => !result.ok || result.value !== large).map((result) => result.ok ? 'other' : result.reason), [])
  })
}
