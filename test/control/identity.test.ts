import assert from 'node:assert/strict'
import { test } from 'node:test'
import { openIdentity } from '../../src/core/control/identity.ts'
import { createMemoryDisk } from '../support/memory-disk.ts'

const initialMembers = ['a', 'b', 'c']

test('an initial member keeps its name across restarts and power loss', () => {
  const disk = createMemoryDisk()
  assert.deepEqual(openIdentity(disk, '/d', { name: 'a', bootstrap: true, initialMembers }), { ok: true, value: { id: 'a', joins: false } })
  disk.crash(0)
  assert.deepEqual(openIdentity(disk, '/d', { name: 'a', bootstrap: false, initialMembers: [] }), { ok: true, value: { id: 'a', joins: false } })
})

test('an instance that lost its disk joins under a new id', () => {
  const disk = createMemoryDisk()
  openIdentity(disk, '/d', { name: 'a', bootstrap: true, initialMembers })
  disk.wipe()
  const rejoined = openIdentity(disk, '/d', { name: 'a', bootstrap: false, initialMembers })
  assert.ok(rejoined.ok && rejoined.value.joins)
  assert.match(rejoined.ok ? rejoined.value.id : '', /^a-[0-9a-f]{8}$/)
  assert.deepEqual(openIdentity(disk, '/d', { name: 'a', bootstrap: false, initialMembers }), rejoined)
})

test('an instance that is not an initial member joins, also at the first start', () => {
  const identity = openIdentity(createMemoryDisk(), '/d', { name: 'd', bootstrap: true, initialMembers })
  assert.ok(identity.ok && identity.value.joins)
})
