import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { lockFolder } from '../../src/core/storage/index.ts'

function folder (): string {
  return mkdtempSync(join(tmpdir(), 'lock-'))
}

test('a folder in use is refused, and free again after its release', () => {
  const path = folder()
  const first = lockFolder(path)
  assert.ok(first.ok)
  const second = lockFolder(path)
  assert.equal(second.ok ? '' : second.code, 'dataFolderLocked')
  first.value()
  assert.equal(lockFolder(path).ok, true)
})

test('a lock whose content was lost with the power does not hold', () => {
  for (const content of ['', '\0\0\0\0', '123', `${process.pid} `, `${process.pid} 1`]) {
    const path = folder()
    writeFileSync(join(path, 'lock'), content)
    assert.equal(lockFolder(path).ok, true, JSON.stringify(content))
  }
})
