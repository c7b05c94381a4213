import assert from 'node:assert/strict'
import { request } from 'node:http'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { createSealer } from '../../src/core/auth/index.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { emptyConfiguration } from '../../src/core/config/index.ts'
import type { Collection, Configuration, Delta } from '../../src/core/config/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createPeers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { rpcPath } from '../../src/core/rpc/index.ts'

const secret = 'secret-of-the-test-cluster'
const sealer = createSealer([secret])
const itemBytes = 100_000
const revisions = 40
const askers = 300

/** Time that an asker waits before it asks again, as a node does, in ms. */
const retryMs = 60

interface FetchedReply {
  result?: { full?: Configuration, deltas?: Delta[] }
}

/** Asks for everything since the empty configuration, as a node that has just started. */
function fetchConfiguration (address: string): Promise<{ bytes: number, reply: FetchedReply }> {
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'config.fetch', params: { since: 0 } })
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${address}${rpcPath}`, { method: 'POST', agent: false, headers: { 'x-dogwoodspring-signature': sealer.seal(body, clock.date()) } }, (incoming) => {
      const pieces: Buffer[] = []
      incoming.on('data', (piece: Buffer) => pieces.push(piece))
      incoming.on('end', () => {
        const text = Buffer.concat(pieces).toString()
        resolve({ bytes: text.length, reply: JSON.parse(text) as FetchedReply })
      })
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

for (const [collection, name] of [['deployments', 'current'], ['templates', 't']] as Array<[Collection, string]>) {
  test(`hundreds of nodes in a storm of changes of ${collection} are each sent the newest only, and all get it`, { timeout: 60_000 }, async () => {
    const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
    const peers = await createPeers({ id: 'own', boot: 'own-1', role: 'node', domain: 'd', address: '127.0.0.1:0', seeds: [], secrets: [secret] }, environment)
    let largest = 0
    const change = (revision: number) => {
      const value = String(revision).padEnd(itemBytes, 'x')
      peers.installConfiguration({ ...emptyConfiguration(), revision, [collection]: { [name]: value } }, [{ revision, differences: [{ collection, name, value }] }])
    }
    const ask = async () => {
      for (let attempt = 0; attempt < 200; attempt++) {
        const { bytes, reply: { result } } = await fetchConfiguration(peers.address)
        largest = Math.max(largest, bytes)
        if (bytes >= 2 * itemBytes) return false
        if ((result?.full?.revision ?? result?.deltas?.at(-1)?.revision ?? 0) >= revisions) return true
        await pause(retryMs)
      }
      return false
    }
    try {
      for (let revision = 1; revision < revisions; revision++) change(revision)
      const asking = Promise.all(Array.from({ length: askers }, ask))
      await pause(100)
      change(revisions)
      const served = await asking
      assert.ok(largest < 2 * itemBytes, `a node was sent ${largest} bytes`)
      assert.ok(served.every(Boolean))
    } finally {
      await peers.close()
    }
  })
}
