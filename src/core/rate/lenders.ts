import type { Hash } from '../claims/index.ts'
import type { Member } from '../membership/index.ts'

/** Lenders of each workspace: one node in each failure domain, which keeps admissions for the others while no leader answers. */
export interface Lenders {
  /** Returns the ids of a workspace's lenders. All nodes that see the same members find the same ones. */
  of: (workspace: string) => ReadonlySet<string>
  /** Returns the id of the lender in one failure domain. */
  inDomain: (workspace: string, domain: string) => string | undefined
}

/** Returns the nodes that may be lenders. */
export function lendingNodes (members: readonly Member[]): Member[] {
  return members.filter(({ role, leaving }) => role === 'node' && leaving !== true)
}

/** Creates the lenders of a list of nodes, by the highest hash of workspace and node in each domain (rendezvous hashing). */
export function createLenders (nodes: readonly Pick<Member, 'id' | 'domain'>[], hash: Hash): Lenders {
  const idsByDomain = new Map<string, string[]>()
  for (const { id, domain } of nodes) idsByDomain.set(domain, [...idsByDomain.get(domain) ?? [], id])
  const known = new Map<string, ReadonlySet<string>>()
  const inDomain = (workspace: string, domain: string) => {
    let [lender, highest]: [string | undefined, number] = [undefined, -1]
    for (const id of idsByDomain.get(domain) ?? []) {
      const score = hash(`${workspace}/${id}`)
      if (score > highest) [lender, highest] = [id, score]
    }
    return lender
  }
  return {
    inDomain,
    of (workspace) {
      const found = known.get(workspace) ?? new Set([...idsByDomain.keys()].map((domain) => inDomain(workspace, domain)).filter((id) => id !== undefined))
      known.set(workspace, found)
      return found
    }
  }
}
