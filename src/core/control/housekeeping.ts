import type { ClaimSlot, Holder } from '../config/index.ts'
import { planSlot, replaceAfterMs, slotNames } from '../claims/index.ts'
import type { Fleet, Hash } from '../claims/index.ts'
import type { Member } from '../membership/index.ts'

/** Time for which the set of holders must stay the same before a slot is first placed, in milliseconds. */
export const requiredStableMs = 2000

/** The leader's observations of the nodes, which distinguish lost holders from those that are only late. */
export interface HolderWatch {
  /** Monotonic time in ms since which a holder has been missing, by its boot id. */
  missingSince: Map<string, number>
  /** Sorted and joined boot ids of the nodes that are alive. */
  liveBoots: string
  /** Monotonic time in ms since which `liveBoots` has not changed. */
  unchangedSince: number
}

/** Creates a watch without observations. */
export function createHolderWatch (): HolderWatch {
  return { missingSince: new Map(), liveBoots: '', unchangedSince: -Infinity }
}

/** Records the members and returns which holders are alive, leaving or lost. */
export function observeFleet (watch: HolderWatch, members: readonly Member[], slots: Record<string, ClaimSlot>, now: number): Fleet {
  const alive: Holder[] = []
  const leaving = new Set<string>()
  for (const { id, boot, domain, role, leaving: isLeaving } of members) {
    if (role !== 'node') continue
    alive.push({ node: id, boot, domain })
    if (isLeaving === true) leaving.add(boot)
  }
  const liveBootIdSet = new Set(alive.map((holder) => holder.boot))
  const bootList = [...liveBootIdSet].sort().join()
  if (bootList !== watch.liveBoots) watch.unchangedSince = now
  watch.liveBoots = bootList
  return { alive, leaving, lost: findLostHolders(watch, alive, liveBootIdSet, slots, now) }
}

/** Returns the boot ids of lost holders. A holder is lost once its node runs again under a new boot id, or once it has been missing for `replaceAfterMs`. */
function findLostHolders (watch: HolderWatch, liveHolders: readonly Holder[], liveBootIds: ReadonlySet<string>, slots: Record<string, ClaimSlot>, now: number): Set<string> {
  const placedMembers = Object.values(slots).flatMap((slot) => slot.members)
  const placedBoots = new Set(placedMembers.map((member) => member.boot))
  const nodes = new Set(liveHolders.map((holder) => holder.node))
  const restarted = new Set(placedMembers.filter((member) => nodes.has(member.node)).map((member) => member.boot))
  for (const boot of watch.missingSince.keys()) {
    if (liveBootIds.has(boot) || !placedBoots.has(boot)) watch.missingSince.delete(boot)
  }
  const lost = new Set<string>()
  for (const boot of placedBoots) {
    if (liveBootIds.has(boot)) continue
    const since = watch.missingSince.get(boot) ?? now
    watch.missingSince.set(boot, since)
    if (restarted.has(boot) || now - since >= replaceAfterMs) lost.add(boot)
  }
  return lost
}

/** Plans every slot that has to change. `wallNow` is wall-clock time in ms. */
export function planSlots (watch: HolderWatch, fleet: Fleet, slots: Record<string, ClaimSlot>, hash: Hash, now: number, wallNow: number): Record<string, ClaimSlot> {
  const planned: Record<string, ClaimSlot> = {}
  const isStable = now - watch.unchangedSince >= requiredStableMs
  for (const name of slotNames) {
    if (slots[name] === undefined && !isStable) continue
    const next = planSlot(name, slots[name], fleet, hash, wallNow)
    if (next !== undefined) planned[name] = next
  }
  return planned
}
