// Builds the binary if it is outdated, then runs every test file below test/ with Node's test runner through tsx. Those below test/crowds/, which fill
// the memory of processes, run one after the other once all others have ended.
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'

const build = spawnSync(process.execPath, ['scripts/build.mjs', '--if-stale'], { stdio: ['ignore', 'inherit', 'ignore'] })
if (build.status !== 0) process.exit(1)
const files = readdirSync('test', { recursive: true })
  .filter((file) => file.endsWith('.test.ts'))
  .map((file) => join('test', file))
  .sort()
const crowds = join('test', 'crowds')
const together = run(files.filter((file) => !file.startsWith(crowds)), 3)
const alone = run(files.filter((file) => file.startsWith(crowds)), 1)
process.exit(together === 0 ? alone : together)

/** Runs test files, `concurrency` at a time, and returns the exit code. */
function run (paths, concurrency) {
  const result = spawnSync(process.execPath, [
    '--import', 'tsx', '--test', '--test-reporter=spec', `--test-concurrency=${concurrency}`, ...process.argv.slice(2), ...paths
  ], { stdio: 'inherit' })
  return result.status ?? 1
}
