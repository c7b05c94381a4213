/**
 * Measures where processor time goes: seconds a start, milliseconds a second of an idle node, milliseconds a call over two nodes, each split by
 * module, beside bare proxies under the same schedule. Prints tables; --json writes the figures and the functions that cost most to a file.
 * Usage: npm run ledger [-- --seed 1 --build base=FOLDER --build changed=dist --no-profile --json FILE]
 */
import { writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { formatLedger } from './format.ts'
import { largestUnserved, measureLedger } from './measure.ts'
import type { Build } from './measure.ts'

/** Largest part of unserved calls with which a run counts. They cost less than whole ones. */
const maxUnserved = 0.01

const { values } = parseArgs({
  allowNegative: true,
  options: {
    seed: { type: 'string', default: '1' },
    build: { type: 'string', multiple: true, default: ['dist=dist'] },
    rate: { type: 'string', default: '60' },
    nodes: { type: 'string', default: '4' },
    idle: { type: 'string', default: '20' },
    cold: { type: 'string', default: '10' },
    warm: { type: 'string', default: '20' },
    profile: { type: 'boolean', default: true },
    json: { type: 'string' }
  }
})

function parseBuild (text: string): Build {
  const [name, folder] = text.split('=')
  return { name, folder: folder ?? name }
}

const ledger = await measureLedger({
  builds: values.build.map(parseBuild),
  seed: Number(values.seed),
  rate: Number(values.rate),
  nodeCount: Number(values.nodes),
  profile: values.profile,
  idleSeconds: Number(values.idle),
  coldSeconds: Number(values.cold),
  warmSeconds: Number(values.warm)
}, (text) => process.stderr.write(`${new Date().toISOString().slice(11, 19)} ${text}\n`))
if (values.json !== undefined) writeFileSync(values.json, JSON.stringify(ledger, null, 2) + '\n')
process.stdout.write(formatLedger(ledger))
const isValid = largestUnserved(ledger) <= maxUnserved
if (!isValid) process.stderr.write('too many calls were not served: the figures of calls are not comparable\n')
process.exit(isValid ? 0 : 1)
