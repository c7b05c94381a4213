import { pick } from '../../src/core/random/index.ts'
import type { Random } from '../../src/core/random/index.ts'
import { between, chance, createSpreadRandom } from './draw.ts'

/** One disruption or piece of planned work in a day of the users' bench. */
export interface Entry {
  /** Seconds from the start of the traffic. */
  at: number
  kind: string
  how?: string
  share?: number
  count?: number
  x?: number
  gapS?: number
  forS?: number
}

/** What a day holds: stops and changed timeouts only, any planned work, planned work beside an unplanned fault, or changes of the configuration beside faults. */
export type Family = 'stagger' | 'planned' | 'mixed' | 'changes'

/** A day for the bench of the users. */
export interface Day {
  name: string
  family: Family
  faults: Entry[]
  plan: Entry[]
  lengthS: number
  /** What strikes at the end. */
  closing?: { kind: string, how?: string, downS: number }
}

/** Length of every day in seconds. */
export const lengthS = 24

/** Rounds of planned work begin in this time, in seconds, so that the stops of the last one end within the day. */
export const rounds = { earliestS: 3, latestS: 15 }

/** Kinds that this generator draws as planned work, and as unplanned faults. Clinging clients are no disruption of a machine. */
export const planKinds = [
  'roll_term', 'hup', 'config_storm', 'config_change', 'release', 'scale_in', 'scale_out', 'replace_with_reuse', 'seed_turnover'
] as const
export const faultKinds = ['disk_full', 'node_slow', 'srv_slow', 'replace_with_reuse'] as const

/** Consecutive seeds go through the families, so that three quarters of the days hold planned work only. */
const familiesBySeed: readonly Family[] = ['mixed', 'stagger', 'planned', 'stagger']

const rollHows = [
  undefined, undefined, 'busy', 'busy', 'busy', 'busy', 'drain', 'meet', 'busy drain', 'busy meet', 'starter', 'turn', 'seed', 'race'
] as const
const scaleInHows = [undefined, 'spot', 'spot', 'reclaim'] as const

/** Draws a day; the same seed gives the same day. */
export function drawDay (seed: number): Day {
  const random = createSpreadRandom(seed)
  const family = familiesBySeed[seed % familiesBySeed.length]
  const plan = drawStops(random)
  if (family !== 'stagger') plan.push(...drawOtherWork(random, family))
  plan.push(...drawChanges(random, family))
  const faults = chance(random, family === 'stagger' ? 0.8 : 0.6) ? [drawCling(random)] : []
  if (family === 'mixed') faults.push(...drawFaults(random))
  return { name: `drawn-${seed}`, family, faults: inOrder(faults), plan: inOrder(plan), lengthS }
}

function inOrder (entries: Entry[]): Entry[] {
  return entries.sort((one, other) => one.at - other.at)
}

function drawCling (random: Random): Entry {
  return { at: 1, kind: 'burst', how: 'cling', x: between(random, 1, 1.3), forS: lengthS }
}

/** Draws two to four rounds of stops; each begins five seconds after the one before it at most. */
function drawStops (random: Random): Entry[] {
  const stops: Entry[] = []
  let at = between(random, rounds.earliestS, rounds.earliestS + 2)
  for (let left = 2 + random.below(3); left > 0 && at <= rounds.latestS; left--) {
    stops.push({
      at,
      kind: 'roll_term',
      share: between(random, 0.4, 1),
      x: 1 + random.below(8),
      gapS: between(random, 0.2, 2),
      how: pick(random, rollHows)
    })
    at = Math.round((at + between(random, 0.5, 5)) * 100) / 100
  }
  return stops
}

function drawChanges (random: Random, family: Family): Entry[] {
  const changes: Entry[] = []
  if (chance(random, family === 'stagger' ? 0.7 : 0.4)) {
    const at = between(random, 3, 10)
    changes.push({ at, kind: 'config_storm', how: 'timeout', gapS: between(random, 0.2, 0.8), forS: between(random, 4, 12) })
  }
  if (chance(random, 0.4)) changes.push({ at: between(random, 3, 18), kind: 'config_change', how: 'timeout' })
  return changes
}

/** Draws one to three pieces of planned work beside the stops. */
function drawOtherWork (random: Random, family: Family): Entry[] {
  const drawers = [drawHup, drawRelease, family === 'mixed' ? drawLoss : drawScaleIn, drawScaleOut, drawReuse, drawSeeds]
  const work: Entry[] = []
  for (let left = 1 + random.below(3); left > 0; left--) {
    const drawer = pick(random, drawers)
    if (drawer !== undefined) work.push(drawer(random, between(random, rounds.earliestS, rounds.latestS)))
  }
  return work
}

function drawHup (random: Random, at: number): Entry {
  return { at, kind: 'hup', share: between(random, 0.3, 1), gapS: between(random, 0.2, 6) }
}

function drawRelease (random: Random, at: number): Entry {
  return { at, kind: 'release', share: between(random, 0.3, 0.7), x: 1 + random.below(3), gapS: between(random, 0.2, 1) }
}

function drawScaleIn (random: Random, at: number): Entry {
  return { at, kind: 'scale_in', share: between(random, 0.15, 0.35) }
}

/** Draws servers that leave or, as reports of the bench say, are lost by no plan: at short notice or reclaimed. */
function drawLoss (random: Random, at: number): Entry {
  const how = pick(random, scaleInHows)
  const entry = drawScaleIn(random, at)
  if (how === undefined) return entry
  if (how === 'reclaim') return { ...entry, how, x: between(random, 2, 3), forS: between(random, 2, 6) }
  return { ...entry, how, x: between(random, 1.5, 3) }
}

function drawScaleOut (random: Random, at: number): Entry {
  return { at, kind: 'scale_out', share: between(random, 0.2, 0.4), gapS: between(random, 0.2, 3) }
}

function drawReuse (random: Random, at: number): Entry {
  return { at, kind: 'replace_with_reuse', share: between(random, 0.15, 0.3), how: 'drain' }
}

function drawSeeds (_random: Random, at: number): Entry {
  return { at, kind: 'seed_turnover' }
}

/** Draws one or two unplanned faults. */
function drawFaults (random: Random): Entry[] {
  const faults: Entry[] = []
  for (let left = 1 + random.below(2); left > 0; left--) {
    const kind = pick(random, faultKinds) ?? 'node_slow'
    const at = between(random, 2, 14)
    const forS = between(random, 3, 10)
    if (kind === 'replace_with_reuse') faults.push({ at, kind, share: between(random, 0.15, 0.3), how: 'side' })
    else if (kind === 'disk_full') faults.push({ at, kind, count: 1, forS })
    else if (kind === 'node_slow') faults.push({ at, kind, share: between(random, 0.1, 0.5), x: between(random, 2, 6), forS })
    else faults.push({ at, kind, share: between(random, 0.15, 0.5), x: between(random, 2, 6), forS })
  }
  return faults
}
