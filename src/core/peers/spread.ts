import type { Member } from '../membership/index.ts'
import { pick, sample } from '../random/index.ts'
import type { Random } from '../random/index.ts'

/** Members of the own domain to which each process relays a new beacon. */
const nearRelays = 3

/** Number of times that the members of a domain together relay a beacon to each other domain. */
const farRelays = 2

/** Probability of asking the leader for a configuration, and of asking any process; otherwise one of the own domain is asked. */
const askLeaderProbability = 0.1
const askAnyProbability = 0.1

function isNear (self: Member, member: Member): boolean {
  return member.domain === self.domain && member.id !== self.id
}

/** Returns the live members of each other domain. */
function membersByOtherDomain (self: Member, members: readonly Member[]): Map<string, Member[]> {
  const domains = new Map<string, Member[]>()
  for (const member of members) {
    if (member.domain === self.domain) continue
    const known = domains.get(member.domain)
    if (known === undefined) domains.set(member.domain, [member])
    else known.push(member)
  }
  return domains
}

/**
 * Chooses the addresses to which a process relays a beacon: some of its own domain, and now and then one of each other domain.
 * The process that issued the beacon always sends it to each domain.
 */
export function chooseRelays (self: Member, members: readonly Member[], isIssuer: boolean, random: Random): string[] {
  const near = members.filter((member) => isNear(self, member))
  const chosen = sample(random, near, nearRelays)
  const farProbability = isIssuer ? 1 : farRelays / (near.length + 1)
  for (const domain of membersByOtherDomain(self, members).values()) {
    const member = random.next() < farProbability ? pick(random, domain) : undefined
    if (member !== undefined) chosen.push(member)
  }
  return chosen.map(({ address }) => address)
}

/** Chooses one of the processes that are known to have a newer configuration, if possible one of the own domain. */
export function chooseHolder (self: Member, members: readonly Member[], holders: readonly string[], random: Random): string | undefined {
  const near = new Set(members.filter((member) => isNear(self, member)).map(({ address }) => address))
  return pick(random, holders.filter((holder) => near.has(holder))) ?? pick(random, holders)
}

/**
 * Chooses another process to ask for a newer configuration, of those for which `isUsable` returns true: mostly one of the own domain, where a configuration
 * has to arrive only once.
 */
export function chooseSource (self: Member, members: readonly Member[], leaderAddress: string | undefined, random: Random, isUsable: (address: string) => boolean): string | undefined {
  const usable = members.filter((member) => member.id !== self.id && isUsable(member.address))
  const draw = random.next()
  if (draw < askLeaderProbability && leaderAddress !== undefined && leaderAddress !== self.address && isUsable(leaderAddress)) return leaderAddress
  const near = draw < askLeaderProbability + askAnyProbability ? [] : usable.filter((member) => isNear(self, member) && member.status === 'alive')
  return pick(random, near)?.address ?? pick(random, usable)?.address
}
