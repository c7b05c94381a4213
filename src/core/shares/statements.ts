import { statementHalfLifeMs, statementLifeMs, unconfirmedDoublingMs } from './constants.ts'

/** Share that the node of one target stated. */
interface Statement {
  share: number
  /** Room of the target; undefined where its node does not state it. */
  room: number | undefined
  at: number
}

/** Where a statement comes from and for which requests it holds. */
export interface StatementSource {
  /** Service and route. */
  callee: string
  /** Priority of the callers' requests, from 0. */
  rank: number
  /** Node of the target. */
  node: string
}

/** Shares stated by the nodes of targets, by callee, rank and node. Callees that nobody states as short are missing. */
export type Statements = Map<string, Map<number, Map<string, Statement>>>

/** Creates an empty collection. */
export function createStatements (): Statements {
  return new Map()
}

/** Records the share and the room that a target's node stated. Nothing is kept of a callee for which nobody states a share below 1. */
export function recordStatement (known: Statements, { callee, rank, node }: StatementSource, { share, room }: Pick<Statement, 'share' | 'room'>, now: number): void {
  const ranks = known.get(callee) ?? new Map<number, Map<string, Statement>>()
  if (ranks.size === 0 && share >= 1) return
  const nodes = ranks.get(rank) ?? new Map<string, Statement>()
  nodes.set(node, { share, room, at: now })
  known.set(callee, ranks.set(rank, nodes))
}

/** Returns the mean share over the targets. Younger statements count more, and those of targets with more room where all state it. */
function meanShare (statements: readonly Statement[], now: number): number {
  const isWeighted = statements.every(({ room }) => room !== undefined)
  let [sum, weights] = [0, 0]
  for (const { share, room, at } of statements) {
    const weight = (isWeighted ? room ?? 0 : 1) * 2 ** ((at - now) / statementHalfLifeMs)
    sum += weight * share
    weights += weight
  }
  return weights === 0 ? 1 : sum / weights
}

/** Returns the share that the youngest statement gives after nobody has confirmed it for a while: it grows, so that a lost statement does not let everything in at once. */
function unconfirmedShare (statements: readonly Statement[], now: number): number {
  const youngest = statements.reduce((left, right) => left.at > right.at ? left : right)
  return youngest.share * 2 ** ((now - youngest.at - statementLifeMs) / unconfirmedDoublingMs)
}

function shareOfNodes (nodes: Map<string, Statement>, now: number): number {
  const recent: Statement[] = []
  for (const statement of nodes.values()) if (now - statement.at <= statementLifeMs) recent.push(statement)
  if (recent.length === 0) return Math.min(1, unconfirmedShare([...nodes.values()], now))
  if (recent.length < nodes.size) {
    for (const [node, { at }] of nodes) if (now - at > statementLifeMs) nodes.delete(node)
  }
  return meanShare(recent, now)
}

/** Returns the rank nearest to the given one for which there are statements. */
function nearestRank (ranks: Iterable<number>, rank: number): number {
  let nearest = Infinity
  for (const known of ranks) if (Math.abs(known - rank) < Math.abs(nearest - rank)) nearest = known
  return nearest
}

/** Returns the share of requests of this rank for which a callee has room, 0 to 1. A rank without statements counts like the nearest one. */
export function statedShareOf (known: Statements, callee: string, rank: number, now: number): number {
  const ranks = known.get(callee)
  if (ranks === undefined) return 1
  const nodes = ranks.get(nearestRank(ranks.keys(), rank))
  const share = nodes === undefined ? 1 : shareOfNodes(nodes, now)
  if (share >= 1 && [...ranks.values()].every((others) => shareOfNodes(others, now) >= 1)) known.delete(callee)
  return share
}

/** Drops what was stated on callees for which there is room by now, also where nobody asks for their share any more, as after a change of the configuration. */
export function pruneStatements (known: Statements, now: number): void {
  for (const [callee, ranks] of known) for (const rank of ranks.keys()) statedShareOf(known, callee, rank, now)
}
