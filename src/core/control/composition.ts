import type { Member } from '../consensus/index.ts'

/** Voters of a group of few instances, and of one with more. */
const usualVoters = 3
const manyVoters = 5

/** Instances from which a group has the larger number of voters. */
const manyInstances = 6

/** Most members of a group. */
const maxMembers = 7

/** Time for which a voter must be missing before another takes its place, in milliseconds. */
export const replaceVoterAfterMs = 2500

/** Time for which a member that does not vote must be missing before it is dropped, in milliseconds. */
export const dropLearnerAfterMs = 60_000

/** A living control instance, as gossip shows it. */
export interface LivingInstance {
  id: string
  address: string
  /** Wall-clock start time in ms; of two processes at one address the later one counts. */
  startedAt: number
}

/** What the leader knows when it looks at the group. */
export interface GroupView {
  /** Id of the leader, who is never removed. */
  self: string
  members: readonly Member[]
  living: readonly LivingInstance[]
  /** Time since which a member has been missing among the living, by id. */
  missingSince: ReadonlyMap<string, number>
  /** True for a member whose log has nearly all entries. */
  isCaughtUp: (id: string) => boolean
}

function without (members: readonly Member[], id: string): Member[] {
  return members.filter((member) => member.id !== id)
}

/** The process that holds each address now. */
function ownersOf (living: readonly LivingInstance[]): Map<string, string> {
  const byStart = [...living].sort((left, right) => left.startedAt - right.startedAt)
  return new Map(byStart.map(({ id, address }) => [address, id]))
}

/**
 * Plans the next change of the member list, or undefined. Each step changes one voter at most.
 *
 * 1. A member whose address belongs to another id lost its disk; it is removed at once.
 * 2. An instance that is no member is taken in as a standby, which follows the log without voting.
 * 3. While voters are too few, or one has been missing for a while, a standby that has caught up is promoted.
 * 4. A missing voter beyond the wanted number is removed.
 * 5. A standby that has been missing for long is dropped.
 */
export function planComposition (view: GroupView, now: number): Member[] | undefined {
  const { self, members, living, missingSince, isCaughtUp } = view
  const missingFor = (id: string) => now - (missingSince.get(id) ?? now)
  const owners = ownersOf(living)
  const replaced = members.find(({ id, address }) => id !== self && (owners.get(address) ?? id) !== id)
  if (replaced !== undefined) return without(members, replaced.id)
  const known = new Set(members.map(({ id }) => id))
  const newcomer = living.find(({ id, address }) => !known.has(id) && owners.get(address) === id)
  if (newcomer !== undefined && members.length < maxMembers) return [...members, { id: newcomer.id, address: newcomer.address, voter: false, standby: true }]
  const voters = members.filter(({ voter }) => voter)
  const absent = voters.filter(({ id }) => id !== self && missingFor(id) >= replaceVoterAfterMs)
  const wanted = living.length >= manyInstances ? manyVoters : usualVoters
  const standby = members.find(({ id, standby }) => standby === true && missingFor(id) === 0 && isCaughtUp(id))
  if (standby !== undefined && voters.length - absent.length < wanted) {
    return members.map((member) => member.id === standby.id ? { id: member.id, address: member.address, voter: true } : member)
  }
  if (absent.length > 0 && voters.length > wanted) return without(members, absent[0].id)
  const gone = members.find(({ id, voter }) => !voter && missingFor(id) >= dropLearnerAfterMs)
  return gone === undefined ? undefined : without(members, gone.id)
}

/** Follows which members are missing among the living. */
export function watchMembers (missingSince: Map<string, number>, members: readonly Member[], living: readonly LivingInstance[], now: number): void {
  const alive = new Set(living.map(({ id }) => id))
  for (const id of missingSince.keys()) {
    if (alive.has(id) || !members.some((member) => member.id === id)) missingSince.delete(id)
  }
  for (const { id } of members) {
    if (!alive.has(id) && !missingSince.has(id)) missingSince.set(id, now)
  }
}
