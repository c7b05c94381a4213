import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { test } from 'node:test'
import { Packr } from 'msgpackr/pack'
import { createSealer } from '../../src/core/auth/index.ts'
import { encodePacket } from '../../src/core/membership/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { configuration, createMachines, eventually, secret } from './machines.ts'

const codec = new Packr({ useRecords: false })

/** Signs a message as a process of the cluster does. */
function sealed (message: unknown): Buffer {
  const body = codec.pack(message)
  const signature = createSealer([secret]).seal(body, new Date())
  return Buffer.concat([Buffer.of(signature.length), Buffer.from(signature, 'latin1'), body])
}

function member (id: string, address: string, changes: Partial<Member> = {}): Member {
  return { id, startedAt: Date.now(), boot: `${id}-1`, incarnation: 1, status: 'alive', role: 'node', domain: 'zone-1', address, ...changes }
}

test('odd entries from other writers end no process and cost no request', async () => {
  const machines = await createMachines()
  const socket = createSocket('udp4')
  const names = ['core-1', 'core-2', 'core-3', 'sidecar-1', 'sidecar-2']
  try {
    for (const number of [1, 2, 3]) machines.startCore(number, true)
    const caller = await machines.startSidecar(1, 'other')
    const called = await machines.startSidecar(2, 'shop')
    await eventually(async () => await caller.sendHeartbeat('ready') === 200 && await called.sendHeartbeat('ready') === 200)
    await eventually(async () => (await machines.replaceConfiguration(1, '0', configuration(3, 'shop'))).status === 200)
    await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
    const target = { service: 'shop', slots: 1e308, connections: 4, state: 'up' as const, startedAt: 1 }
    const odd = [member('odd-1', `${machines.sidecarIp(1)}:99999`), member('odd-2', `${machines.sidecarIp(1)}:0`, { status: 'suspect' }), member('odd-3', `${machines.sidecarIp(9)}:7000`, { target })]
    const packets = [
      Buffer.concat([Buffer.of(38), Buffer.from(`${Date.now()}.n.${'\u00e9'.repeat(22)}`, 'latin1'), codec.pack({})]),
      ...[null, 1e308, { jsonrpc: '2.0', id: 1, error: null }].map(sealed),
      ...odd.map((entry) => sealed({ jsonrpc: '2.0', method: 'gossip', params: [encodePacket({ type: 'push', from: member('other', `${machines.sidecarIp(9)}:7000`), updates: [entry], digest: 0 }), ['x', 1]] }))
    ]
    const good = { service: 'shop', address: `${machines.sidecarIp(2)}:1`, slots: 4, state: 'ready', sequence: 1e6, born: 1_700_000_000_000 }
    const heartbeats = [JSON.stringify(good), JSON.stringify({ ...good, slots: 1e308 }), '{"slots":1e400}', '['.repeat(50_000), '{"a":'.repeat(10_000), 'x']
    const statuses: number[] = []
    for (let round = 0; round < 8; round++) {
      for (const host of [...[1, 2, 3].map(machines.coreIp), ...[1, 2].map(machines.sidecarIp)]) for (const packet of packets) socket.send(packet, machines.peerPort, host)
      for (const body of heartbeats) assert.equal((await machines.sendHeartbeatText(2, 'i-2', body)).status, 400)
      await caller.sendHeartbeat('ready')
      await called.sendHeartbeat('ready')
      statuses.push((await machines.send(1, '/p/x')).status)
      await new Promise((resolve) => setTimeout(resolve, 300))
    }
    assert.deepEqual(statuses, Array.from({ length: 8 }, () => 200))
    assert.deepEqual(names.filter((name) => !machines.isRunning(name)), [])
    assert.match(machines.logOf('sidecar-2'), /member_records_refused_total/)
    const lines = machines.logOf('sidecar-2').split('"message":"refused"').length - 1
    assert.ok(lines >= 3 && lines < 12, `${lines} lines about refusals`)
  } finally {
    socket.close()
    await machines.stop()
  }
})
