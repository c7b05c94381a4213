import assert from 'node:assert/strict'
import { execFile, execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { promisify } from 'node:util'
import { binary } from '../../scripts/support/cluster.ts'

const run = promisify(execFile)
const folder = join(import.meta.dirname, '../../dist')
const otherFlags = '--max-old-space-size=90'
const { version } = JSON.parse(readFileSync(join(folder, '../package.json'), 'utf8')) as { version: string }

/** Creates a script of the bundle, followed by `suffix`, with the compiled code in a process with these flags. Returns whether V8 rejects the code. */
function isRejected (suffix: string, ...flags: string[]): boolean {
  const program = `
    const { readFileSync } = require('node:fs')
    const { Script } = require('node:vm')
    const source = require('node:module').wrap(readFileSync('dogwoodspring.cjs', 'utf8') + ${JSON.stringify(suffix)})
    console.log(new Script(source, { cachedData: readFileSync('dogwoodspring.code') }).cachedDataRejected)`
  return execFileSync(process.execPath, [...flags, '-e', program], { cwd: folder, encoding: 'utf8' }).trim() === 'true'
}

test('the compiled code belongs to the bundle', () => {
  assert.equal(isRejected(''), false)
  assert.equal(isRejected(' '), true)
})

test('the binary runs with flags for which its code was not compiled', async () => {
  assert.equal(isRejected('', otherFlags), true)
  const { stdout } = await run(binary, ['--version'], { env: { ...process.env, NODE_OPTIONS: otherFlags } })
  assert.equal(stdout.trim(), version)
})
