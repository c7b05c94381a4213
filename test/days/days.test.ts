import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { drawChangeDay } from '../../scripts/days/changes.ts'
import { drawDay, faultKinds, lengthS, planKinds, rounds } from '../../scripts/days/day.ts'
import type { Day, Entry } from '../../scripts/days/day.ts'
import { formatDay } from '../../scripts/days/toml.ts'

const seeds = Array.from({ length: 400 }, (_, index) => index)
const days = seeds.map((seed) => drawDay(seed))

function assertWithin (value: number | undefined, low: number, high: number, of: Entry): void {
  if (value !== undefined) assert.ok(value >= low && value <= high, JSON.stringify(of))
}

test('the same seed gives the same day, other seeds other days', () => {
  assert.deepEqual(seeds.map((seed) => drawDay(seed)), days)
  assert.equal(new Set(days.map((day) => formatDay({ ...day, name: '' }))).size, days.length)
})

test('neighbouring seeds draw the first round over its whole range', () => {
  for (let start = 0; start + 20 <= days.length; start += 20) {
    const starts = days.slice(start, start + 20).map(({ plan }) => Math.min(...plan.filter(({ kind }) => kind === 'roll_term').map(({ at }) => at)))
    assert.ok(Math.max(...starts) - Math.min(...starts) > 1, starts.join(' '))
  }
})

test('fields of drawn days lie within their ranges', () => {
  for (const { faults, plan } of days) {
    for (const entry of [...faults, ...plan]) {
      assertWithin(entry.at, 1, 18, entry)
      assertWithin(entry.share, 0.1, 1, entry)
      assertWithin(entry.count, 1, 1, entry)
      assertWithin(entry.x, 1, 8, entry)
      assertWithin(entry.gapS, 0.2, 6, entry)
      assertWithin(entry.forS, 2, lengthS, entry)
      if (entry.kind === 'roll_term') assertWithin(entry.gapS, 0.2, 2, entry)
    }
    for (const entry of plan) assert.ok((planKinds as readonly string[]).includes(entry.kind), entry.kind)
    for (const entry of faults) assert.ok(['burst', ...faultKinds].includes(entry.kind), entry.kind)
  }
})

test('every day has two to four rounds of stops, in order, each five seconds after the one before it at most', () => {
  for (const { name, plan } of days) {
    const starts = plan.filter(({ kind }) => kind === 'roll_term').map(({ at }) => at)
    assert.ok(starts.length >= 2 && starts.length <= 4, name)
    for (const [index, at] of starts.entries()) {
      assertWithin(at, rounds.earliestS, rounds.latestS, plan[0])
      if (index > 0) assertWithin(at - starts[index - 1], 0.499, 5.001, plan[0])
    }
  }
})

test('at least half of any eight consecutive days hold planned work only, and each family comes', () => {
  const isPlannedOnly = ({ faults, plan }: Day) => faults.every(({ kind }) => kind === 'burst') &&
    plan.every(({ kind, how }) => kind !== 'scale_in' || how === undefined)
  for (let start = 0; start + 8 <= days.length; start++) {
    const group = days.slice(start, start + 8)
    assert.ok(group.filter(isPlannedOnly).length >= 4)
    assert.deepEqual(new Set(group.map(({ family }) => family)), new Set(['stagger', 'planned', 'mixed']))
  }
  for (const day of days) {
    if (day.family !== 'mixed') assert.ok(isPlannedOnly(day), day.name)
    if (day.family === 'stagger') {
      assert.ok(day.plan.every(({ kind }) => ['roll_term', 'config_storm', 'config_change'].includes(kind)), day.name)
    }
  }
})

test('every kind of planned work and every fault is drawn', () => {
  const drawn = new Set(days.flatMap(({ faults, plan }) => [...faults, ...plan]).map(({ kind }) => kind))
  assert.deepEqual(drawn, new Set([...planKinds, ...faultKinds, 'burst']))
})

test('a day is written as TOML: one key a line, entries as inline tables, numbers with a point but for count', () => {
  const field = '(?:kind = "[a-z_]+"|how = "[a-z ]+"|count = \\d+|(?:at|share|x|gap_s|for_s) = \\d+\\.\\d+)'
  const entry = `  \\{ ${field}(?:, ${field})* \\},\\n`
  const list = `(?:\\[\\]|\\[\\n(?:${entry})+\\])`
  const file = new RegExp(`^name = "drawn-\\d+"\\nslot = "trouble"\\nfaults = ${list}\\nplan = ${list}\\nlength_s = \\d+\\.\\d+\\n$`)
  for (const day of days) {
    const text = formatDay(day)
    assert.match(text, file)
    for (const line of text.split('\n').filter((line) => line.startsWith('  '))) {
      const keys = [...line.matchAll(/(\w+) = /g)].map(([, key]) => key)
      assert.equal(new Set(keys).size, keys.length, line)
      assert.ok(keys.includes('at') && keys.includes('kind'), line)
    }
  }
})

test('the command writes the day of its seed, and refuses a seed that is none', () => {
  const folder = mkdtempSync(join(tmpdir(), 'days-'))
  const run = (...options: string[]) => spawnSync(process.execPath, ['--import', 'tsx', 'scripts/days/index.ts', ...options])
  try {
    assert.equal(run('--seed', '7', '--out', folder).status, 0)
    assert.equal(readFileSync(join(folder, 'drawn-7.toml'), 'utf8'), formatDay(days[7]))
    assert.equal(run('--seed', 'x', '--out', folder).status, 2)
    assert.equal(run('--seed', '7').status, 2)
  } finally {
    rmSync(folder, { recursive: true })
  }
})

test('a day of changes is the same for a seed, and most have a process that falls silent just before a change', () => {
  const changeDays = seeds.map((seed) => drawChangeDay(seed))
  assert.deepEqual(seeds.map((seed) => drawChangeDay(seed)), changeDays)
  for (const { plan, lengthS: length } of changeDays) {
    assert.ok(plan.filter(({ kind }) => kind === 'config_change').length >= 7)
    for (const { at } of plan) assert.ok(at >= 2 && at < length - 5)
  }
  const silent = changeDays.filter(({ faults, plan }) => plan.some((change) => faults.some(({ at }) => change.at - at >= 0 && change.at - at <= 0.3)))
  assert.ok(silent.length > 0.9 * changeDays.length, `${silent.length}`)
})

test('the end of a day is written with its fault', () => {
  const day = { ...days[0], closing: { kind: 'wipe_after_ack', how: 'timed', downS: 2 } }
  assert.match(formatDay(day), /^closing = \{ kind = "wipe_after_ack", how = "timed", down_s = 2\.0 \}$/m)
})
