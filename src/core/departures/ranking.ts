import type { Member } from '../membership/index.ts'

/** Members that may keep the departures of a node, the preferred ones first. */
export interface HolderRanking {
  control: Member[]
  nodes: Member[]
}

/** Takes members of the own domain and of others by turns, so that the first two outlive the loss of one domain and a cut around it. */
function alternateDomains (members: readonly Member[], domain: string): Member[] {
  const near = members.filter((member) => member.domain === domain)
  const far = members.filter((member) => member.domain !== domain)
  const length = Math.max(near.length, far.length)
  return Array.from({ length }, (_, position) => [near[position], far[position]]).flat().filter((member) => member !== undefined)
}

/** Ranks the members by their ids, so that a node finds the same ones after its restart. */
export function rankHolders (self: Member, members: readonly Member[], hash: (text: string) => number): HolderRanking {
  const ranked = members
    .filter(({ id }) => id !== self.id)
    .map((member) => ({ member, rank: hash(`${self.id}/${member.id}`) }))
    .sort((left, right) => left.rank - right.rank || left.member.id.localeCompare(right.member.id))
    .map(({ member }) => member)
  return {
    control: alternateDomains(ranked.filter(({ role }) => role === 'control'), self.domain),
    nodes: alternateDomains(ranked.filter(({ role }) => role === 'node'), self.domain)
  }
}
