/** Runs the property tests and model checks with random seeds for the given number of minutes. */
import { spawnSync } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { parseArgs } from 'node:util'

const { values } = parseArgs({ options: { minutes: { type: 'string', default: '10' } } })
const endsAt = Date.now() + Number(values.minutes) * 60_000
const files = ['test/consensus/fuzz.test.ts', 'test/rate/rate.test.ts', 'test/claims/model.test.ts', 'test/consensus/model.test.ts']

for (let round = 1; Date.now() < endsAt; round++) {
  const seed = String(randomInt(2 ** 31))
  process.stdout.write(`round ${round}, seed ${seed}\n`)
  const env = { ...process.env, FUZZ_SEED: seed, FUZZ_RUNS: '1000', MODEL_STATES: '150000', MODEL_WALKS: '10000' }
  const result = spawnSync(process.execPath, ['--import', 'tsx', '--test', '--test-reporter=dot', ...files], { env, stdio: 'inherit' })
  if (result.status !== 0) {
    process.stdout.write(`failed; reproduce with FUZZ_SEED=${seed} FUZZ_RUNS=1000 MODEL_STATES=150000 MODEL_WALKS=10000\n`)
    process.exit(1)
  }
}
