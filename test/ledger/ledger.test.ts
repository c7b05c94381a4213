import assert from 'node:assert/strict'
import { test } from 'node:test'
import { divide, spread, toMs, total, usedBetween } from '../../scripts/ledger/arithmetic.ts'
import { createLineGroups, groupOfFrame, groupOfModule, mergeTimes, splitByTimes, sumSamples } from '../../scripts/ledger/profile.ts'
import type { CallFrame, CpuProfile } from '../../scripts/ledger/profile.ts'
import { poissonArrivals } from '../../scripts/ledger/schedule.ts'
import { parseStat } from '../../scripts/support/processor.ts'
import { createRandom } from '../../src/core/random/index.ts'

const bundle = [
  '"use strict";',
  '// node_modules/undici/lib/core/util.js',
  'function a() {',
  '  // src/core/rate/index.ts is named here only',
  '}',
  '// src/core/node/entry.ts',
  'function b() {}',
  '// src/cli/index.ts',
  'b();'
].join('\n')

function frame (functionName: string, url: string, lineNumber = -1): CallFrame {
  return { functionName, url, lineNumber }
}

test('modules are grouped by area, library and the rest of the program', () => {
  assert.equal(groupOfModule('src/core/node/entry.ts'), 'src/core/node')
  assert.equal(groupOfModule('src/cli/node/index.ts'), 'src/cli')
  assert.equal(groupOfModule('platform/main.ts'), 'platform/main.ts')
  assert.equal(groupOfModule('node_modules/undici/lib/api/index.js'), 'undici')
  assert.equal(groupOfModule('node_modules/@scope/name/index.js'), '@scope/name')
})

test('a line of the bundle belongs to the module whose comment is above it', () => {
  const groupOfLine = createLineGroups(bundle)
  const groups = bundle.split('\n').map((_, line) => groupOfLine(line))
  assert.deepEqual(groups, ['bundle', 'undici', 'undici', 'undici', 'undici', 'src/core/node', 'src/core/node', 'src/cli', 'src/cli'])
  assert.equal(groupOfLine(99), 'bundle')
})

test('functions outside the bundle are node internals, native code or garbage collection; idle time has no group', () => {
  const groupOf = (callFrame: CallFrame) => groupOfFrame(callFrame, createLineGroups(bundle))
  assert.equal(groupOf(frame('(idle)', '')), undefined)
  assert.equal(groupOf(frame('(program)', '')), 'native')
  assert.equal(groupOf(frame('writev', '')), 'native')
  assert.equal(groupOf(frame('(garbage collector)', '')), 'gc')
  assert.equal(groupOf(frame('onread', 'node:internal/stream_base_commons', 160)), 'node internals')
  assert.equal(groupOf(frame('b', 'file:///dist/dogwoodspring.cjs', 6)), 'src/core/node')
})

test('samples are summed within the window only', () => {
  const profile: CpuProfile = {
    nodes: [{ id: 1, callFrame: frame('x', '') }, { id: 2, callFrame: frame('(idle)', '') }, { id: 3, callFrame: frame('y', '') }],
    startTime: 1000,
    samples: [1, 3, 2, 1, 1],
    timeDeltas: [10, 20, 30, 40, 50]
  }
  const times = sumSamples(profile, { from: 1020, to: 1150 }, ({ functionName }) => functionName === '(idle)' ? undefined : functionName)
  assert.deepEqual([...times], [['y', 20], ['x', 40]])
})

test('times of processes are added and a cost is split in proportion', () => {
  const times = mergeTimes([new Map([['a', 10], ['b', 20]]), new Map([['b', 10]])])
  assert.deepEqual([...times], [['a', 10], ['b', 30]])
  assert.deepEqual(splitByTimes(2, times), [['b', 1.5], ['a', 0.5]])
  assert.deepEqual(splitByTimes(2, new Map()), [])
})

test('processor time is read from the fields after the name, which may contain anything', () => {
  const stat = '17 (node (a) b) S 1 2 3 4 5 6 7 8 9 10 250 75 0 0 20'
  assert.deepEqual(parseStat(stat), { user: 2.5, system: 0.75 })
})

test('processor time is summed over processes and divided by calls', () => {
  const used = usedBetween([{ user: 1, system: 2 }, { user: 3, system: 4 }], [{ user: 2, system: 2.5 }, { user: 4, system: 4.5 }])
  assert.deepEqual(used, { user: 2, system: 1 })
  assert.deepEqual(toMs(divide(used, 4)), { user: 500, system: 250 })
  assert.equal(total(used), 3)
})

test('the spread is the largest distance from the mean', () => {
  assert.equal(spread([2, 2, 2]), 0)
  assert.equal(spread([1, 2, 3]), 0.5)
})

test('the same seed draws the same arrivals, in order, at the rate', () => {
  const arrivals = poissonArrivals(createRandom(3), 60, 100)
  assert.deepEqual(poissonArrivals(createRandom(3), 60, 100), arrivals)
  assert.notDeepEqual(poissonArrivals(createRandom(4), 60, 100), arrivals)
  assert.ok(Math.abs(arrivals.length - 6000) < 400, `${arrivals.length}`)
  assert.ok(arrivals.every((arrival, index) => arrival < 100_000 && (index === 0 || arrival >= arrivals[index - 1])))
})
