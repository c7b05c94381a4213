import type { Member } from '../consensus/index.ts'

/** Number of voters in a group with fewer than `largeGroupInstances` instances, and in a larger one. */
const smallGroupVoters = 3
const largeGroupVoters = 5

/** Number of instances from which a group has `largeGroupVoters` voters. */
const largeGroupInstances = 6

/** Largest number of members in a group, and the number of learners for which there is room beside more voters. */
const maxMembers = 7
const spareMembers = 2

/**
 * Time for which a member must be missing before a live instance takes its place, in milliseconds. With the 3 s until gossip reports it as dead, it is replaced
 * within the 5 s after which the next instance may be lost.
 */
export const replaceAfterMs = 1500

/** Time for which a learner (a member without a vote) must be missing before it is removed though nobody needs its place, in milliseconds. */
export const removeLearnerAfterMs = 60_000

/** A control instance that gossip reports as alive. */
export interface LiveInstance {
  id: string
  address: string
  /** Wall-clock start time in ms. Of two processes at one address, the one that started later owns it. */
  startedAt: number
}

/** State of the group and of the live instances at the leader. */
export interface GroupView {
  /** Id of the leader, which is never removed. */
  self: string
  members: readonly Member[]
  liveInstances: readonly LiveInstance[]
  /** Monotonic time in ms since which a member has been missing from the live instances, by id. */
  missingSince: ReadonlyMap<string, number>
  /** Returns true for a member whose log has nearly all entries. */
  isCaughtUp: (id: string) => boolean
  /** Number of disks that the deployment may lose at once. */
  faultTolerance: number
}

function without (members: readonly Member[], id: string): Member[] {
  return members.filter((member) => member.id !== id)
}

/** Returns the id of the process that started last at each address. */
function latestIdByAddress (liveInstances: readonly LiveInstance[]): Map<string, string> {
  const byStart = [...liveInstances].sort((left, right) => left.startedAt - right.startedAt)
  return new Map(byStart.map(({ id, address }) => [address, id]))
}

/**
 * Returns the number of voters that the group should have. It follows from the instances that live, so that members that are gone for good don't
 * add to it, and never falls below what `faultTolerance` needs. A group that has become large stays large while missing members may come back.
 */
function wantedVoters ({ members, liveInstances, faultTolerance }: GroupView, missingFor: (id: string) => number): number {
  const needed = Math.max(smallGroupVoters, 2 * faultTolerance + 1)
  const isLarge = members.filter(({ voter }) => voter).length >= largeGroupVoters
  const liveIds = new Set(liveInstances.map(({ id }) => id))
  const missingLately = members.filter(({ id }) => !liveIds.has(id) && missingFor(id) < removeLearnerAfterMs).length
  const instances = liveInstances.length + (isLarge ? missingLately : 0)
  return instances >= largeGroupInstances ? Math.max(largeGroupVoters, needed) : needed
}

/**
 * Plans the next change of the member list. Returns undefined when none is needed. Each step changes at most one voter.
 *
 * Once every live instance has had its time to catch up, the loss of any one of them leaves a quorum of live voters, whatever number of
 * instances was replaced before. That holds while three instances live.
 *
 * 1. A member whose address now belongs to another id has lost its disk and is removed at once.
 * 2. An instance that is not a member is added as a standby: a learner that may be promoted to a voter. In a full group it takes the place of a learner
 *    that has been missing for `replaceAfterMs`.
 * 3. While there are too few voters, or one has been missing for `replaceAfterMs`, a standby that has caught up is promoted.
 * 4. While there are more voters than wanted, a missing voter is removed.
 * 5. A learner that has been missing for `removeLearnerAfterMs` is removed.
 */
export function planMembershipChange (view: GroupView, now: number): Member[] | undefined {
  const { self, members, liveInstances, missingSince, isCaughtUp } = view
  const missingFor = (id: string) => now - (missingSince.get(id) ?? now)
  const findMissingLearner = (forMs: number) => members.find(({ id, voter }) => !voter && missingFor(id) >= forMs)
  const idByAddress = latestIdByAddress(liveInstances)
  const replaced = members.find(({ id, address }) => id !== self && (idByAddress.get(address) ?? id) !== id)
  if (replaced !== undefined) return without(members, replaced.id)
  const wanted = wantedVoters(view, missingFor)
  const known = new Set(members.map(({ id }) => id))
  const newInstance = liveInstances.find(({ id, address }) => !known.has(id) && idByAddress.get(address) === id)
  if (newInstance !== undefined) {
    const { id, address } = newInstance
    if (members.length < Math.max(maxMembers, wanted + spareMembers)) return [...members, { id, address, voter: false, standby: true }]
    const replaceable = findMissingLearner(replaceAfterMs)
    if (replaceable !== undefined) return without(members, replaceable.id)
  }
  const voters = members.filter(({ voter }) => voter)
  const missingVoters = voters.filter(({ id }) => id !== self && missingFor(id) >= replaceAfterMs)
  const standby = members.find(({ id, standby }) => standby === true && missingFor(id) === 0 && isCaughtUp(id))
  if (standby !== undefined && voters.length - missingVoters.length < wanted) {
    return members.map((member) => member.id === standby.id ? { id: member.id, address: member.address, voter: true } : member)
  }
  if (missingVoters.length > 0 && voters.length > wanted) return without(members, missingVoters[0].id)
  const missingLearner = findMissingLearner(removeLearnerAfterMs)
  return missingLearner === undefined ? undefined : without(members, missingLearner.id)
}

/** Updates `missingSince`: adds members that are newly missing and deletes those that are live again or no longer members. */
export function trackMissing (missingSince: Map<string, number>, members: readonly Member[], liveInstances: readonly LiveInstance[], now: number): void {
  const liveIds = new Set(liveInstances.map(({ id }) => id))
  for (const id of missingSince.keys()) {
    if (liveIds.has(id) || !members.some((member) => member.id === id)) missingSince.delete(id)
  }
  for (const { id } of members) {
    if (!liveIds.has(id) && !missingSince.has(id)) missingSince.set(id, now)
  }
}
