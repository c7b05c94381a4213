import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { lockFolder } from '../../src/core/storage/index.ts'

function createFolder (): string {
  return mkdtempSync(join(tmpdir(), 'lock-'))
}

test('a folder in use cannot be locked again until its release', () => {
  const path = createFolder()
  const first = lockFolder(path)
  assert.ok(first.ok)
  const second = lockFolder(path)
  assert.equal(second.ok ? '' : second.code, 'dataFolderLocked')
  first.value()
  assert.equal(lockFolder(path).ok, true)
})

test('a lock file without a running owner, or with content lost in a power failure, is replaced', () => {
  for (const content of ['', '\0\0\0\0', '123', `${process.pid} `, `${process.pid} 1`]) {
    const path = createFolder()
    writeFileSync(join(path, 'lock'), content)
    assert.equal(lockFolder(path).ok, true, JSON.stringify(content))
  }
})
