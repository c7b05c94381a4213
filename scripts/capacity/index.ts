/**
 * Measures how costs grow with size, and writes docs/capacity.json and the tables of docs/CAPACITY.md.
 * With --only, prints the tables and writes no file.
 * Usage: npm run capacity [-- --only slopes|binary]
 */
import { spawnSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { parseArgs } from 'node:util'
import { measureBinary } from './binary.ts'
import { measureSlopes } from './slopes.ts'
import { formatSlope } from './units.ts'
import type { Slope } from './units.ts'

const { values } = parseArgs({ options: { only: { type: 'string', default: 'all' } } })
const pageFile = 'docs/CAPACITY.md'
const figuresFile = 'docs/capacity.json'
const beginMarker = '<!-- measured tables: begin -->'
const endMarker = '<!-- measured tables: end -->'

function logProgress (text: string): void {
  process.stderr.write(`${new Date().toISOString().slice(11, 19)} ${text}\n`)
}

if (globalThis.gc === undefined) {
  const child = spawnSync(process.execPath, ['--expose-gc', '--import', 'tsx', ...process.argv.slice(1)], { stdio: 'inherit' })
  process.exit(child.status ?? 1)
}
const slopes: Slope[] = []
if (values.only !== 'binary') slopes.push(...measureSlopes(logProgress))
if (values.only !== 'slopes') slopes.push(...await measureBinary(logProgress))
const machine = { cores: cpus().length, processor: cpus()[0].model, node: process.version, measuredAt: new Date().toISOString() }
if (values.only === 'all') {
  writeFileSync(figuresFile, JSON.stringify({ machine, slopes }, null, 2) + '\n')
  const text = readFileSync(pageFile, 'utf8')
  const tables = [beginMarker, `Measured ${machine.measuredAt.slice(0, 10)} on ${machine.cores} shared cores, Node.js ${machine.node}.`, '', ...slopes.map(formatSlope), endMarker].join('\n')
  writeFileSync(pageFile, text.slice(0, text.indexOf(beginMarker)) + tables + text.slice(text.indexOf(endMarker) + endMarker.length))
}
for (const slope of slopes) process.stdout.write(formatSlope(slope) + '\n')
process.exit()
