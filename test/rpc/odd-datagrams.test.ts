import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { test } from 'node:test'
import { Packr } from 'msgpackr/pack'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { createDatagrams } from '../../src/core/rpc/index.ts'
import type { Datagrams } from '../../src/core/rpc/index.ts'

const sealer = createSealer(['secret-of-the-test-cluster'])
const codec = new Packr({ useRecords: false })
const timeouts = { retryMs: 1000, timeoutMs: 1000 }

function sealed (body: Buffer): Buffer {
  const signature = sealer.seal(body, systemClock.date())
  return Buffer.concat([Buffer.of(signature.length), Buffer.from(signature, 'latin1'), body])
}

/** Returns a packet whose signature has the right form and length, with characters that are not ASCII. */
function signedInLatin1 (): Buffer {
  const signature = Buffer.from(`${Date.now()}.nonce.${'\u00e9'.repeat(22)}`, 'latin1')
  return Buffer.concat([Buffer.of(signature.length), signature, codec.pack({})])
}

/** Returns an array nested `depth` deep around nil, as MessagePack. */
function nested (depth: number): Buffer {
  return Buffer.concat([Buffer.alloc(depth, 0x91), Buffer.of(0xc0)])
}

/** Returns a request whose id is nested `depth` deep. */
function requestWithNestedId (depth: number): Buffer {
  return Buffer.concat([Buffer.of(0x83), codec.pack('jsonrpc'), codec.pack('2.0'), codec.pack('method'), codec.pack('nowhere'), codec.pack('id'), nested(depth)])
}

async function withDatagrams (use: (datagrams: Datagrams, send: (packet: Buffer) => Promise<void>) => Promise<void>): Promise<string[]> {
  const refused: string[] = []
  const probe = createSocket('udp4')
  probe.bind(0, '127.0.0.1')
  await once(probe, 'listening')
  const { port } = probe.address()
  await new Promise<void>((resolve) => probe.close(resolve))
  const datagrams = await createDatagrams(`127.0.0.1:${port}`, sealer, systemClock, () => {}, (_, reason) => void refused.push(reason))
  const socket = createSocket('udp4')
  datagrams.method('echo', (value) => value)
  try {
    await use(datagrams, (packet) => new Promise((resolve) => socket.send(packet, port, '127.0.0.1', () => resolve())))
    assert.deepEqual(await datagrams.request(`127.0.0.1:${port}`, 'echo', ['still here'], timeouts), { ok: true, value: ['still here'] })
  } finally {
    socket.close()
    datagrams.close()
  }
  return refused
}

test('a signature that is not ASCII ends no process', async () => {
  assert.match(String(await withDatagrams((_, send) => send(signedInLatin1()))), /not signed/)
})

const messages: Record<string, [message: Buffer, refusal: RegExp]> = {
  'no object': [codec.pack(null), /no object/],
  'an answer with an error that is null': [codec.pack({ jsonrpc: '2.0', id: 1, error: null }), /^$/],
  'an answer with an error that is a number': [codec.pack({ jsonrpc: '2.0', id: 1, error: 1e308 }), /^$/],
  'a method that is no text': [codec.pack({ jsonrpc: '2.0', id: 1, method: { name: 'x' } }), /^$/],
  'an array in place of the object': [codec.pack([1e308]), /no JSON-RPC/],
  'bytes that are no MessagePack': [Buffer.of(0xc1, 0xdd, 0xff, 0xff, 0xff, 0xff), /no MessagePack/],
  'text that is no UTF-8': [Buffer.of(0xa2, 0xff, 0xfe), /no object/],
  'an id over 2^53': [codec.pack({ jsonrpc: '2.0', id: 2n ** 64n - 1n, method: 'nowhere' }), /its id/],
  'an id nested 1000 deep': [requestWithNestedId(1000), /its id/],
  'an id nested 60000 deep': [requestWithNestedId(60_000), /no MessagePack/],
  'an array nested 1000 deep': [nested(1000), /no JSON-RPC/],
  'an array nested 60000 deep': [nested(60_000), /no MessagePack/]
}
for (const [name, [message, refusal]] of Object.entries(messages)) {
  test(`a signed message with ${name} ends no process`, async () => {
    assert.match(String(await withDatagrams((_, send) => send(sealed(message)))), refusal)
  })
}

for (const address of ['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999999', '127.0.0.1:-1', '127.0.0.1', '127.0.0.1:1e3', '[::1]:7000', '', '1.2.3.4:5:6', '999.1.1.1:80']) {
  test(`a message to "${address}" ends no process`, async () => {
    const refused = await withDatagrams(async (datagrams) => {
      datagrams.notify(address, 'echo', [])
      assert.equal((await datagrams.request(address, 'echo', [], { retryMs: 20, timeoutMs: 50 })).ok, false)
    })
    assert.match(refused[0], /no message can be sent/)
  })
}
