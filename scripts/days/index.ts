/** Draws a day of overlapping planned stops, or of changes of the configuration beside faults, from a seed and writes it into a folder. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { drawChangeDay } from './changes.ts'
import { drawDay } from './day.ts'
import { formatDay } from './toml.ts'

const { values } = parseArgs({ options: { seed: { type: 'string' }, out: { type: 'string' }, of: { type: 'string', default: 'stops' } } })
const drawers: Record<string, typeof drawDay | undefined> = { stops: drawDay, changes: drawChangeDay }
const draw = drawers[values.of]
const seed = Number(values.seed)
if (draw === undefined || values.out === undefined || !Number.isInteger(seed) || seed < 0 || seed >= 2 ** 31) {
  process.stderr.write('usage: npx tsx scripts/days/index.ts --seed N --out FOLDER [--of stops|changes]\n')
  process.exit(2)
}

const day = draw(seed)
const file = join(values.out, `${day.name}.toml`)
mkdirSync(values.out, { recursive: true })
writeFileSync(file, formatDay(day))
process.stdout.write(`${file} (${day.family})\n`)
