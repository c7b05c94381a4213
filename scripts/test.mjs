// Builds the binary if it is outdated, then runs every test file below test/ with Node's test runner through tsx.
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'

const build = spawnSync(process.execPath, ['scripts/build.mjs', '--if-stale'], { stdio: ['ignore', 'inherit', 'ignore'] })
if (build.status !== 0) process.exit(1)
const files = readdirSync('test', { recursive: true })
  .filter((file) => file.endsWith('.test.ts'))
  .map((file) => join('test', file))
  .sort()
const result = spawnSync(process.execPath, [
  '--import', 'tsx', '--test', '--test-reporter=spec', '--test-concurrency=3', ...process.argv.slice(2), ...files
], { stdio: 'inherit' })
process.exit(result.status ?? 1)
