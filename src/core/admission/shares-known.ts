/** Age at which a reported share no longer counts, in milliseconds. */
const lifeMs = 3000

interface Reported {
  share: number
  at: number
}

/** Shares that the nodes beside each service's targets reported with their answers: by service, then by node. */
export type KnownShares = Map<string, Map<string, Reported>>

/** Creates an empty collection. */
export function createKnownShares (): KnownShares {
  return new Map()
}

/** A node beside a target of the service reported its share. */
export function recordShare (known: KnownShares, service: string, node: string, share: number, now: number): void {
  const nodes = known.get(service) ?? new Map<string, Reported>()
  nodes.set(node, { share, at: now })
  known.set(service, nodes)
}

/** Mean of the shares that a service's nodes reported lately; 1 when none did. */
export function shareOf (known: KnownShares, service: string, now: number): number {
  const nodes = known.get(service)
  if (nodes === undefined) return 1
  let sum = 0
  let count = 0
  for (const [node, { share, at }] of nodes) {
    if (now - at > lifeMs) {
      nodes.delete(node)
      continue
    }
    sum += share
    count++
  }
  return count === 0 ? 1 : sum / count
}
