import { pick } from '../../src/core/random/index.ts'
import type { Random } from '../../src/core/random/index.ts'
import type { Day, Entry } from './day.ts'
import { between, chance, createSpreadRandom } from './draw.ts'

/** Length of every day of changes in seconds. */
export const changeDayLengthS = 30

const changeHows = ['route', 'route', 'weights', 'timeout', 'tenant', 'quota'] as const
const badHows = ['', 'cut_short', 'unknown_service', 'same_place', 'no_weight', 'no_timeout', 'old_version', 'same_version', 'stale_match', 'shared_key'] as const
const cutHows = ['all', 'all', 'servers', 'one_way', 'reset'] as const
const cores = ['core_cut', 'replace_core', 'after_ack_wipe', 'after_ack_kill', 'disk_slow', 'disk_stall', 'roll_term'] as const
const closings = [undefined, { kind: 'power_off_all', downS: 2 }, { kind: 'wipe_after_ack', how: 'aimed all synced', downS: 2 }, { kind: 'kill_all', downS: 2 }] as const

/** Draws a day on which the configuration changes every one to three seconds, mostly just after processes have fallen silent. The same seed gives the same day. */
export function drawChangeDay (seed: number): Day {
  const random = createSpreadRandom(seed)
  const faults: Entry[] = []
  const plan: Entry[] = []
  for (let at = 2; at < changeDayLengthS - 5; at = Math.round((at + between(random, 1, 3)) * 100) / 100) {
    plan.push({ at, kind: 'config_change', how: pick(random, changeHows) })
    if (chance(random, 0.6)) faults.push(drawSilence(random, Math.max(1, Math.round((at - between(random, 0, 0.3)) * 100) / 100)))
  }
  plan.push(...drawOrders(random))
  if (chance(random, 0.5)) faults.push(drawCoreFault(random))
  const inOrder = (entries: Entry[]) => entries.sort((one, other) => one.at - other.at)
  return { name: `changes-${seed}`, family: 'changes', faults: inOrder(faults), plan: inOrder(plan), lengthS: changeDayLengthS, closing: pick(random, closings) }
}

/** Draws processes that stand still, lose power, are slow or are cut off. */
function drawSilence (random: Random, at: number): Entry {
  const forS = between(random, 1, 4)
  const share = between(random, 0.1, 0.3)
  const entries: Entry[] = [
    { at, kind: 'node_freeze', share, forS },
    { at, kind: 'node_kill', share, how: 'power', forS },
    { at, kind: 'node_cut', share, how: pick(random, cutHows), forS },
    { at, kind: 'node_slow', share, x: between(random, 3, 8), forS },
    { at, kind: 'lossy', x: between(random, 0.02, 0.1), forS }
  ]
  return pick(random, entries) ?? entries[0]
}

/** Draws orders of the operator that must not be accepted, races, storms, keys that are taken away, many routes and lost acknowledgements. */
function drawOrders (random: Random): Entry[] {
  const at = () => between(random, 3, changeDayLengthS - 8)
  const entries: Entry[] = [
    { at: at(), kind: 'bad_config', count: 1 + random.below(4), gapS: 0.4, how: pick(random, badHows) },
    { at: at(), kind: 'config_race', count: 1 + random.below(3), gapS: 0.5 },
    { at: at(), kind: 'config_storm', gapS: between(random, 0.2, 0.5), forS: between(random, 2, 5) },
    { at: at(), kind: 'revoke', count: 1, gapS: 1, how: 'last' },
    { at: at(), kind: 'big_config', count: 100 + random.below(300) },
    { at: at(), kind: 'ack_lost', x: 0.7, forS: between(random, 3, 8) }
  ]
  return entries.filter(() => chance(random, 0.4))
}

function drawCoreFault (random: Random): Entry {
  const kind = pick(random, cores) ?? 'core_cut'
  const at = between(random, 5, changeDayLengthS - 12)
  if (kind === 'roll_term') return { at, kind, how: 'leader', count: 1 }
  if (kind === 'replace_core') return { at, kind, x: between(random, 0.5, 2) }
  return { at, kind, count: 1, forS: between(random, 2, 4) }
}
