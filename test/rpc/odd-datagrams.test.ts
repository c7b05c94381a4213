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

/** Returns a packet whose signature has the right form and length, with characters that are not ASCII. */
function signedInLatin1 (): Buffer {
  const signature = Buffer.from(`${Date.now()}.nonce.${'\u00e9'.repeat(22)}`, 'latin1')
  return Buffer.concat([Buffer.of(signature.length), signature, codec.pack({})])
}

async function withDatagrams (use: (datagrams: Datagrams, send: (packet: Buffer) => Promise<void>) => Promise<void>): Promise<void> {
  const probe = createSocket('udp4')
  probe.bind(0, '127.0.0.1')
  await once(probe, 'listening')
  const { port } = probe.address()
  await new Promise<void>((resolve) => probe.close(resolve))
  const datagrams = await createDatagrams(`127.0.0.1:${port}`, sealer, systemClock, () => {})
  const socket = createSocket('udp4')
  datagrams.method('echo', (value) => value)
  try {
    await use(datagrams, (packet) => new Promise((resolve) => socket.send(packet, port, '127.0.0.1', () => resolve())))
    assert.deepEqual(await datagrams.request(`127.0.0.1:${port}`, 'echo', ['still here'], timeouts), { ok: true, value: ['still here'] })
  } finally {
    socket.close()
    datagrams.close()
  }
}

test('a signature that is not ASCII ends no process', () => withDatagrams((_, send) => send(signedInLatin1())))
