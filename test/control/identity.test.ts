import assert from 'node:assert/strict'
import { test } from 'node:test'
import { openIdentity } from '../../src/core/control/identity.ts'
import { createMemoryDisk } from '../support/memory-disk.ts'

const founders = ['a', 'b', 'c']

test('a founder keeps its name over restarts and lost power', () => {
  const disk = createMemoryDisk()
  assert.deepEqual(openIdentity(disk, '/d', { name: 'a', bootstrap: true, founders }), { ok: true, value: { id: 'a', joins: false } })
  disk.crash(0)
  assert.deepEqual(openIdentity(disk, '/d', { name: 'a', bootstrap: false, founders: [] }), { ok: true, value: { id: 'a', joins: false } })
})

test('an instance that lost its disk comes back as another that joins', () => {
  const disk = createMemoryDisk()
  openIdentity(disk, '/d', { name: 'a', bootstrap: true, founders })
  disk.wipe()
  const back = openIdentity(disk, '/d', { name: 'a', bootstrap: false, founders })
  assert.ok(back.ok && back.value.joins)
  assert.match(back.ok ? back.value.id : '', /^a-[0-9a-f]{8}$/)
  assert.deepEqual(openIdentity(disk, '/d', { name: 'a', bootstrap: false, founders }), back)
})

test('an instance that is no founder joins, also at the first start', () => {
  const identity = openIdentity(createMemoryDisk(), '/d', { name: 'd', bootstrap: true, founders })
  assert.ok(identity.ok && identity.value.joins)
})
