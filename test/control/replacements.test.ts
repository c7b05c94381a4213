import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createSimulatedReplacements } from './simulated-replacements.ts'
import type { Disruption } from './simulated-replacements.ts'

const seed = Number(process.env.FUZZ_SEED ?? 52)
const numRuns = Number(process.env.FUZZ_RUNS ?? 300)

const disruption: fc.Arbitrary<Disruption> = fc.record({
  kind: fc.constantFrom('replace', 'replace', 'replace-planned', 'lose-disk', 'freeze'),
  victim: fc.nat(11),
  among: fc.constantFrom('voters', 'others', 'all'),
  afterMs: fc.integer({ min: 10, max: 20 }).map((tenths) => tenths * 100),
  hasStorm: fc.boolean(),
  pauseMs: fc.constantFrom(0, 500, 3000, 20_000)
})

/** A machine freezes for up to 7.2 s. */
const freeze: fc.Arbitrary<Disruption> = disruption.map((drawn) => ({ ...drawn, kind: 'freeze', afterMs: 3600 + 20 * (drawn.afterMs - 1000) / 10 }))

/** After each disruption, the loss of any one running machine must leave a quorum of running voters, and an acknowledged change on enough disks. */
function checkSeries (size: number, faultTolerance: number, series: readonly Disruption[]): void {
  const group = createSimulatedReplacements(size, faultTolerance)
  group.run(8000)
  for (const [position, next] of series.entries()) {
    group.play(next)
    assert.equal(group.weakness(), undefined, `after disruption ${position + 1}: ${group.describe()}`)
    const voters = group.members().filter(({ voter }) => voter).length
    assert.ok(Math.floor(voters / 2) >= faultTolerance, `an acknowledged change is on too few disks: ${group.describe()}`)
  }
}

const replace: Disruption = { kind: 'replace', victim: 0, among: 'others', afterMs: 1000, hasStorm: true, pauseMs: 3500 }

// Guards against review/7: voters that are gone kept three of five votes, so that the loss of one more machine left no leader for good.
test('four machines replaced one after the other leave a group that bears the loss of one more', () => {
  checkSeries(4, 1, [replace, replace, { ...replace, among: 'voters', hasStorm: false }, { ...replace, among: 'voters', hasStorm: false }])
})

// Guards against a second loss that may come 5 s after the first, while the group still counted on the voter that was gone.
test('a voter is replaced by the time its successor counts as caught up', () => {
  for (const kind of ['replace', 'replace-planned', 'lose-disk'] as const) checkSeries(4, 1, [{ ...replace, kind, among: 'voters', hasStorm: false, pauseMs: 0 }])
})

for (const [size, faultTolerance] of [[3, 1], [4, 1], [6, 1], [7, 2], [12, 2]]) {
  test(`any series of replacements and freezes leaves ${size} machines that bear the loss of one`, () => {
    fc.assert(fc.property(fc.array(fc.oneof(disruption, freeze), { minLength: 1, maxLength: 14 }), (series) => checkSeries(size, faultTolerance, series)), { seed, numRuns })
  })
}
