import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { test } from 'node:test'

test('a long output into a pipe with a slow reader arrives whole, and the exit code is kept', async () => {
  const child = spawn(process.execPath, ['--import', 'tsx', join(import.meta.dirname, 'long-output.ts'), 'long'], { stdio: ['ignore', 'pipe', 'inherit'] })
  const ended = new Promise<number | null>((resolve) => child.once('close', resolve))
  let length = 0
  child.stdout.pause()
  setTimeout(() => child.stdout.resume(), 1500)
  child.stdout.on('data', (chunk: Buffer) => {
    length += chunk.length
  })
  child.stdout.pause()
  assert.equal(await ended, 3)
  assert.equal(length, 2_000_000)
})

test('a command ends although nobody reads its standard error', async () => {
  const child = spawn(process.execPath, ['--import', 'tsx', join(import.meta.dirname, 'long-output.ts'), 'log'], { stdio: ['ignore', 'ignore', 'pipe'] })
  const timeout = setTimeout(() => child.kill('SIGKILL'), 15_000)
  const code = await new Promise<number | null>((resolve) => child.once('exit', resolve))
  clearTimeout(timeout)
  child.stderr.destroy()
  assert.equal(code, 4)
})
