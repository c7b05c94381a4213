/**
 * Plants a fault in a copy of the program and runs the soak there, seed by seed, until it finds the fault. `npm run soak:plant -- NAME`;
 * without a name, all faults. Exits with 1 if one is not found among the first ten seeds.
 */
import { execFileSync, spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { parseArgs } from 'node:util'
import { plants } from '../../test/soak/plants.ts'
import type { Plant } from '../../test/soak/plants.ts'

const maxSeeds = 10
const copied = ['src', 'scripts', 'test/soak', 'package.json', 'tsconfig.json']

const { values, positionals } = parseArgs({ allowPositionals: true, options: { minutes: { type: 'string', default: '0.5' } } })

/** Copies the program to a folder below `target/`, with the fault in it, and builds it there. */
function preparePlant ({ name, file, find, replace }: Plant): string {
  const folder = resolve('target', `plant-${name}`)
  rmSync(folder, { recursive: true, force: true })
  mkdirSync(folder, { recursive: true })
  for (const path of copied) cpSync(path, join(folder, path), { recursive: true })
  symlinkSync(resolve('node_modules'), join(folder, 'node_modules'))
  const source = readFileSync(join(folder, file), 'utf8')
  writeFileSync(join(folder, file), source.replace(find, () => replace))
  execFileSync(process.execPath, ['scripts/build.mjs'], { cwd: folder, stdio: 'ignore' })
  return folder
}

/** Returns the first seed with which the soak finds the fault, and what it reports; undefined if none does. */
function findPlant (plant: Plant): { seed: number, violation: string } | undefined {
  const folder = preparePlant(plant)
  for (let seed = 1; seed <= maxSeeds; seed++) {
    const { stderr } = spawnSync(process.execPath, ['--import', 'tsx', 'scripts/soak/index.ts', '--seed', String(seed), '--minutes', values.minutes], { cwd: folder, encoding: 'utf8' })
    const violation = /broken: (.*)/.exec(stderr)?.[1]
    if (violation !== undefined) return { seed, violation }
  }
  return undefined
}

let missed = 0
for (const plant of plants.filter(({ name }) => positionals.length === 0 || positionals.includes(name))) {
  const found = findPlant(plant)
  if (found === undefined) missed++
  process.stdout.write(found === undefined ? `${plant.name}: not found by ${maxSeeds} seeds\n` : `${plant.name}: found by seed ${found.seed}: ${found.violation.slice(0, 200)}\n`)
}
process.exit(missed === 0 ? 0 : 1)
