import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Entry, Snapshot } from '../../src/core/consensus/index.ts'
import { createDisk, lockFolder, openLogStore } from '../../src/core/storage/index.ts'
import { createMemoryDisk } from '../support/memory-disk.ts'

const initial: Snapshot = { index: 0, term: 0, members: [], state: null }
const hardState = { term: 1, votedFor: 'a' }

function createEntry (index: number, term = 1): Entry {
  return { index, term, id: `e${index}`, payload: { type: 'command', command: 'x'.repeat(index % 50) } }
}

function openStore (disk: ReturnType<typeof createMemoryDisk>) {
  const opened = openLogStore(disk, 'data', initial)
  assert.ok(opened.ok, opened.ok ? '' : opened.message)
  return opened.value
}

function createFilledDisk (count: number) {
  const disk = createMemoryDisk()
  const { store } = openStore(disk)
  for (let index = 1; index <= count; index++) store.save(index === 1 ? hardState : undefined, [createEntry(index)])
  return disk
}

test('synced entries survive a crash', () => {
  const disk = createFilledDisk(20)
  disk.crash(0)
  const { stored } = openStore(disk)
  assert.equal(stored.entries.length, 20)
  assert.deepEqual(stored.hardState, hardState)
})

test('later entries replace earlier ones from their index on', () => {
  const disk = createFilledDisk(5)
  openStore(disk).store.save({ term: 2, votedFor: null }, [createEntry(3, 2)])
  const { stored } = openStore(disk)
  assert.deepEqual(stored.entries.map(({ index, term }) => [index, term]), [[1, 1], [2, 1], [3, 2]])
})

test('a torn tail of any length is removed and the rest is kept', () => {
  fc.assert(fc.property(fc.double({ min: 0, max: 0.999, noNaN: true }), (keep) => {
    const disk = createFilledDisk(6)
    disk.faults = { skipSync: true }
    openStore(disk).store.save(undefined, [createEntry(7)])
    disk.crash(keep)
    disk.faults = {}
    const { store, stored } = openStore(disk)
    assert.equal(stored.entries.length, 6)
    store.save(undefined, [createEntry(7)])
    assert.equal(openStore(disk).stored.entries.length, 7)
  }), { seed: 5, numRuns: 100 })
})

test('a changed byte anywhere is reported with file and offset', () => {
  const whole = Buffer.from(createFilledDisk(6).contents('data/log') ?? [])
  fc.assert(fc.property(fc.integer({ min: 0, max: whole.length - 1 }), fc.integer({ min: 1, max: 255 }), (offset, mask) => {
    const disk = createMemoryDisk()
    const damaged = Buffer.from(whole)
    damaged[offset] ^= mask
    disk.overwrite('data/log', damaged)
    const opened = openLogStore(disk, 'data', initial)
    assert.equal(opened.ok, false)
    assert.match(opened.ok ? '' : opened.message, /^data\/log is corrupt at byte \d+/)
  }), { seed: 5, numRuns: 300 })
})

test('a full disk makes the save throw and loses nothing saved before', () => {
  const disk = createFilledDisk(6)
  const { store } = openStore(disk)
  disk.faults = { failAfterBytes: 9 }
  assert.throws(() => store.save(undefined, [createEntry(7)]), /ENOSPC/)
  disk.crash(1)
  disk.faults = {}
  assert.equal(openStore(disk).stored.entries.length, 6)
})

test('what a refused write leaves behind is removed before the write is repeated', () => {
  const write = fc.record({ entries: fc.integer({ min: 1, max: 3 }), failures: fc.array(fc.integer({ min: 0, max: 200 }), { maxLength: 3 }), snapshot: fc.boolean(), keep: fc.double({ min: 0, max: 1, noNaN: true }) })
  fc.assert(fc.property(fc.array(write, { minLength: 1, maxLength: 12 }), (writes) => {
    const disk = createMemoryDisk()
    const { store } = openStore(disk)
    let index = 0
    for (const { entries, failures, snapshot, keep } of writes) {
      const added = Array.from({ length: entries }, () => createEntry(++index))
      const save = () => snapshot ? store.saveSnapshot({ index: index - 1, term: 1, members: [], state: 's' }, hardState, [createEntry(index)]) : store.save(hardState, added)
      for (const failAfterBytes of failures) {
        disk.faults = { failAfterBytes }
        assert.throws(save, /ENOSPC/)
      }
      disk.faults = {}
      save()
      disk.crash(keep)
      const { stored } = openStore(disk)
      assert.equal(stored.entries.at(-1)?.index, index)
      assert.deepEqual(stored.entries.map((entry) => entry.index), Array.from({ length: stored.entries.length }, (_, position) => stored.snapshot.index + 1 + position))
    }
  }), { seed: 5, numRuns: 300 })
})

// Guards against a member that answers for an entry which its earlier process wrote and did not sync, so that a loss of power can still take it.
test('entries that a killed process wrote and did not sync survive a loss of power once the store is open', () => {
  const disk = createFilledDisk(3)
  const { store } = openStore(disk)
  disk.faults = { skipSync: true }
  store.save(undefined, [createEntry(4)])
  disk.faults = {}
  assert.equal(openStore(disk).stored.entries.length, 4)
  disk.crash(0)
  assert.equal(openStore(disk).stored.entries.length, 4)
})

test('a snapshot removes the entries that it covers from the log', () => {
  const disk = createFilledDisk(10)
  const snapshot: Snapshot = { index: 8, term: 1, members: [], state: 's' }
  openStore(disk).store.saveSnapshot(snapshot, hardState, [createEntry(9), createEntry(10)])
  const { stored } = openStore(disk)
  assert.deepEqual(stored.snapshot, snapshot)
  assert.deepEqual(stored.entries.map(({ index }) => index), [9, 10])
})

test('an incomplete snapshot fails the opening', () => {
  const disk = createFilledDisk(3)
  openStore(disk).store.saveSnapshot({ index: 2, term: 1, members: [], state: 'long enough' }, hardState, [createEntry(3)])
  disk.overwrite('data/snapshot', (disk.contents('data/snapshot') ?? new Uint8Array()).subarray(0, 20))
  const opened = openLogStore(disk, 'data', initial)
  assert.equal(opened.ok, false)
})

test('a snapshot cut at any byte, emptied or followed by garbage is never taken for whole or for none, also with a cut log', () => {
  const disk = createFilledDisk(3)
  openStore(disk).store.saveSnapshot({ index: 3, term: 1, members: [], state: 'long enough' }, hardState, [])
  const whole = Buffer.from(disk.contents('data/snapshot') ?? [])
  const log = Buffer.from(disk.contents('data/log') ?? [])
  const garbage = [Buffer.alloc(1), Buffer.alloc(4096), Buffer.alloc(4096, 0xff), whole]
  const damaged = [...Array(whole.length).keys()].flatMap((size) => [whole.subarray(0, size), Buffer.concat([whole.subarray(0, size), Buffer.alloc(whole.length - size)])])
  for (const snapshot of [...damaged, ...garbage.map((rest) => Buffer.concat([whole, rest]))]) {
    for (const logSize of [log.length, log.length - 1, 0]) {
      disk.overwrite('data/snapshot', snapshot)
      disk.overwrite('data/log', log.subarray(0, logSize))
      assert.equal(openLogStore(disk, 'data', initial).ok, false, `${snapshot.length} bytes of a snapshot, ${logSize} of a log`)
    }
  }
})

test('entries replaced before a snapshot do not come back when power fails between its file and the log', () => {
  const disk = createFilledDisk(10)
  const { store } = openStore(disk)
  for (const index of [5, 6, 7]) store.save({ term: 2, votedFor: null }, [createEntry(index, 2)])
  const log = disk.contents('data/log') ?? new Uint8Array()
  store.saveSnapshot({ index: 7, term: 2, members: [], state: 's' }, { term: 2, votedFor: null }, [])
  disk.overwrite('data/log', log)
  assert.deepEqual(openStore(disk).stored.entries, [])
})

test('entries of an older term do not follow a received snapshot when power fails between its file and the log', () => {
  const disk = createFilledDisk(10)
  const { store } = openStore(disk)
  const log = disk.contents('data/log') ?? new Uint8Array()
  store.saveSnapshot({ index: 7, term: 2, members: [], state: 's' }, { term: 2, votedFor: null }, [])
  disk.overwrite('data/log', log)
  assert.deepEqual(openStore(disk).stored.entries, [])
  openStore(disk).store.save({ term: 2, votedFor: null }, [createEntry(8, 2)])
  assert.deepEqual(openStore(disk).stored.entries.map(({ index, term }) => [index, term]), [[8, 2]])
})

test('entries that follow a gap fail the opening', () => {
  const disk = createFilledDisk(2)
  openStore(disk).store.save(undefined, [createEntry(5)])
  assert.equal(openLogStore(disk, 'data', initial).ok, false)
})

test('the file system keeps saved entries and snapshots', () => {
  const folder = mkdtempSync(join(tmpdir(), 'log-store-'))
  const opened = openLogStore(createDisk(), folder, initial)
  assert.ok(opened.ok)
  opened.value.store.save(hardState, [createEntry(1), createEntry(2)])
  opened.value.store.saveSnapshot({ index: 1, term: 1, members: [], state: 's' }, hardState, [createEntry(2)])
  opened.value.store.save(undefined, [createEntry(3)])
  const again = openLogStore(createDisk(), folder, initial)
  assert.ok(again.ok)
  assert.deepEqual(again.value.stored.entries.map(({ index }) => index), [2, 3])
  rmSync(folder, { recursive: true })
})

test('a folder cannot be locked twice, and a stale lock of an ended process is replaced', () => {
  const folder = mkdtempSync(join(tmpdir(), 'lock-'))
  const first = lockFolder(folder)
  assert.ok(first.ok)
  assert.equal(lockFolder(folder).ok, false)
  first.value()
  writeFileSync(join(folder, 'lock'), '999999 1\n')
  assert.equal(lockFolder(folder).ok, true)
  rmSync(folder, { recursive: true })
})
