import type { ClaimSlot, Holder } from '../config/index.ts'
import { claimSlots, claimWindowMs, clockMarginMs, holdersPerSlot } from './constants.ts'

/** Hash function for rendezvous placement. */
export type Hash = (text: string) => number

/** Names of all slots. */
export const slotNames = Array.from({ length: claimSlots }, (_, index) => `s${index}`)

/** Returns the slot of an Idempotency-Key in a workspace. */
export function slotOf (key: string, hash: Hash): string {
  return slotNames[hash(key) % claimSlots]
}

/** Returns the size of a majority of `count` holders. */
export function majority (count: number): number {
  return Math.floor(count / 2) + 1
}

/** Returns true when the view of `next` directly follows the view of the stored slot. */
export function isNextView (current: ClaimSlot | undefined, next: ClaimSlot): boolean {
  return next.view === (current?.view ?? 0) + 1
}

/**
 * Marks a member ready after it copied the claims. A ready member holds every claim granted
 * before its view, therefore any `copyQuorum` ready members together still hold all claims.
 */
export function applyReady (slot: ClaimSlot, boot: string): ClaimSlot | undefined {
  if (slot.ready.includes(boot) || !slot.members.some((member) => member.boot === boot)) return undefined
  const ready = [...slot.ready, boot]
  const quorum = majority(slot.members.length)
  return { ...slot, view: slot.view + 1, ready, copyQuorum: ready.length >= quorum ? quorum : slot.copyQuorum }
}

/** Processes that can hold claims, as the planner of placements knows them. */
export interface Fleet {
  /** Holders that are alive. */
  alive: readonly Holder[]
  /** Boot ids of processes that have certainly ended or have been unreachable long enough to be replaced. */
  lost: ReadonlySet<string>
  /** Boot ids of processes that are about to stop and hand over their claims. */
  leaving: ReadonlySet<string>
}

/** Returns the next placement of one slot, or undefined when it does not change. `now` is wall-clock time in ms. */
export function planSlot (name: string, current: ClaimSlot | undefined, fleet: Fleet, hash: Hash, now: number): ClaimSlot | undefined {
  if (current === undefined) return firstSlot(name, fleet, hash)
  const survivors = current.members.filter((member) => !fleet.lost.has(member.boot))
  const kept = withoutSharedDomain(current, withoutLeaving(current, survivors, fleet), fleet)
  if (kept.length >= holdersPerSlot || !isRepairComplete(current, fleet)) return unblock(current, now)
  const added = selectHolders(name, kept, fleet, hash)
  return added.length === 0 ? unblock(current, now) : nextView(current, [...kept, ...added], now)
}

function firstSlot (name: string, fleet: Fleet, hash: Hash): ClaimSlot | undefined {
  const members = selectHolders(name, [], fleet, hash)
  if (members.length === 0) return undefined
  return { view: 1, members, ready: members.map((member) => member.boot), copyQuorum: majority(members.length), blockedAt: 0 }
}

/** Returns true when every member that is not lost is ready. A repair must be complete before the next one starts. */
function isRepairComplete (slot: ClaimSlot, fleet: Fleet): boolean {
  return slot.members.every((member) => slot.ready.includes(member.boot) || fleet.lost.has(member.boot))
}

/** Removes one member that is about to stop, provided that every member is ready. */
function withoutLeaving (slot: ClaimSlot, survivors: Holder[], fleet: Fleet): Holder[] {
  if (survivors.length < slot.members.length || slot.ready.length < slot.members.length) return survivors
  const position = survivors.findIndex((member) => fleet.leaving.has(member.boot))
  return position < 0 ? survivors : survivors.filter((_, index) => index !== position)
}

/** Removes one member that shares its failure domain with another, provided that an unused domain exists. */
function withoutSharedDomain (slot: ClaimSlot, survivors: Holder[], fleet: Fleet): Holder[] {
  if (survivors.length < holdersPerSlot || slot.ready.length < slot.members.length) return survivors
  const used = new Set(survivors.map((member) => member.domain))
  const hasFreeDomain = fleet.alive.some((holder) => !used.has(holder.domain))
  if (!hasFreeDomain || used.size === survivors.length) return survivors
  const position = survivors.findIndex((member, index) => survivors.findIndex((other) => other.domain === member.domain) !== index)
  return survivors.filter((_, index) => index !== position)
}

function selectHolders (name: string, kept: readonly Holder[], fleet: Fleet, hash: Hash): Holder[] {
  const taken = new Set(kept.map((member) => member.node))
  const ranked = fleet.alive
    .filter((holder) => !taken.has(holder.node) && !fleet.leaving.has(holder.boot))
    .map((holder) => ({ holder, score: hash(`${name}/${holder.node}`) }))
    .sort((left, right) => right.score - left.score)
    .map(({ holder }) => holder)
  const selected: Holder[] = []
  const domains = new Set(kept.map((member) => member.domain))
  const missingCount = () => holdersPerSlot - kept.length - selected.length
  for (const holder of ranked) {
    if (missingCount() === 0) break
    if (domains.has(holder.domain)) continue
    domains.add(holder.domain)
    selected.push(holder)
  }
  for (const holder of ranked) {
    if (missingCount() === 0) break
    if (!selected.includes(holder)) selected.push(holder)
  }
  return selected
}

function nextView (current: ClaimSlot, members: Holder[], now: number): ClaimSlot {
  const boots = new Set(members.map((member) => member.boot))
  const ready = current.ready.filter((boot) => boots.has(boot))
  const blocked = ready.length < current.copyQuorum
  const blockedAt = blocked ? current.blockedAt || now : 0
  return { view: current.view + 1, members, ready, copyQuorum: current.copyQuorum, blockedAt }
}

/** Reopens a slot whose claims were lost, after the window of every one of them has passed. */
function unblock (current: ClaimSlot, now: number): ClaimSlot | undefined {
  if (current.blockedAt === 0 || now < current.blockedAt + claimWindowMs + clockMarginMs) return undefined
  const ready = current.members.map((member) => member.boot)
  return { ...current, view: current.view + 1, ready, copyQuorum: majority(ready.length), blockedAt: 0 }
}
