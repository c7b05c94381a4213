/** Draws a day of overlapping planned stops from a seed and writes it as `drawn-SEED.toml` into a folder. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { drawDay } from './day.ts'
import { formatDay } from './toml.ts'

const { values } = parseArgs({ options: { seed: { type: 'string' }, out: { type: 'string' } } })
const seed = Number(values.seed)
if (values.out === undefined || !Number.isInteger(seed) || seed < 0 || seed >= 2 ** 31) {
  process.stderr.write('usage: npx tsx scripts/days/index.ts --seed N --out FOLDER\n')
  process.exit(2)
}

const day = drawDay(seed)
const file = join(values.out, `${day.name}.toml`)
mkdirSync(values.out, { recursive: true })
writeFileSync(file, formatDay(day))
process.stdout.write(`${file} (${day.family})\n`)
