import * as v from 'valibot'
import type { Member } from '../membership/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { sample } from '../random/index.ts'
import type { Random } from '../random/index.ts'
import { borrowIntervalMs, borrowTtlMs, demandsPerReport, lendersElsewhere, lendersInDomain, maxWaiting } from './constants.ts'
import type { Meter } from './meters.ts'

const count = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxWaiting))
const countsSchema = v.pipe(v.array(v.strictTuple([v.string(), count])), v.maxLength(demandsPerReport))

/** Numbers of requests by workspace, as they are sent: what a borrower asks for and what a lender gives. */
export type RequestCounts = v.InferOutput<typeof countsSchema>

const noLenders: ReadonlySet<string> = new Set()

/** A request for a loan is sent once, because a second copy would be a second loan. */
const borrowTimeouts = { retryMs: 2 * borrowTtlMs, timeoutMs: borrowTtlMs }

/** Returns what a meter lends of what another node asks for. A malformed value gets nothing. */
export function lend (meter: Meter, wanted: unknown, now: number): RequestCounts {
  if (!v.is(countsSchema, wanted)) return []
  const lent: RequestCounts = []
  for (const [workspace, asked] of wanted) {
    const given = meter.lend(workspace, asked, now)
    if (given > 0) lent.push([workspace, given])
  }
  return lent
}

/** Returns the nodes to ask, in order: some of the own failure domain, then some of others, which may be cut off or far away. Lenders of the workspace go first in each. */
export function chooseLenders (self: Member, members: readonly Member[], random: Random, lenders: ReadonlySet<string> = noLenders): Member[] {
  const nodes = members.filter(({ id, role }) => role === 'node' && id !== self.id)
  const isLender = ({ id }: Member) => lenders.has(id)
  const choose = (some: readonly Member[], count: number) => {
    const first = sample(random, some.filter(isLender), count)
    return [...first, ...sample(random, some.filter((node) => !isLender(node)), count - first.length)]
  }
  const near = nodes.filter(({ domain }) => domain === self.domain)
  const far = nodes.filter(({ domain }) => domain !== self.domain)
  return [...choose(near, lendersInDomain), ...choose(far, lendersElsewhere)]
}

/** Returns the lenders to ask, each with what is wanted of the workspaces whose next one it is. */
function groupByLender (wanted: RequestCounts, lenderOf: (workspace: string) => Member | undefined): Map<Member, RequestCounts> {
  const groups = new Map<Member, RequestCounts>()
  for (const [workspace, asked] of wanted) {
    const lender = lenderOf(workspace)
    if (lender !== undefined) groups.set(lender, [...groups.get(lender) ?? [], [workspace, asked]])
  }
  return groups
}

/** Returns the loans of a lender's answer. A malformed answer has none. */
function readLoans (value: unknown): RequestCounts {
  return v.is(countsSchema, value) ? value : []
}

/** A node's requests that wait for admission. */
export interface Waiting {
  /** Returns the number of waiting requests, by workspace. */
  counts: () => RequestCounts
  /** Returns the ids of the nodes that keep admissions of a workspace for others. */
  lendersOf: (workspace: string) => ReadonlySet<string>
  /** Admits up to `count` waiting requests of a workspace, which the lender counts. */
  admitBorrowed: (workspace: string, count: number) => void
  /** Returns true once the allowances were returned to the leader, which may have granted them to others by now. */
  isClosed: () => boolean
}

/**
 * Lends admissions to other nodes. Returns a function that borrows from them what waiting requests need, at most one round in `borrowIntervalMs`.
 * A lender counts what it lends as its own admissions, so that a loan changes nothing in what the leader knows and needs no leader.
 */
export function startLending (peers: Peers, meter: Meter, waiting: Waiting, { clock, metrics, random }: Environment): () => void {
  let isBorrowing = false
  let roundEndedAt = -Infinity
  peers.datagrams.method('rate.borrow', (wanted: unknown): RequestCounts => waiting.isClosed() ? [] : lend(meter, wanted, clock.now()))
  const borrowFrom = async (lender: Member, wanted: RequestCounts) => {
    const askedAt = clock.now()
    const answer = await peers.datagrams.request(lender.address, 'rate.borrow', wanted, borrowTimeouts)
    if (!answer.ok || clock.now() - askedAt >= borrowTtlMs) return
    for (const [workspace, borrowed] of readLoans(answer.value)) {
      metrics.count('rate_borrowed_total', borrowed)
      waiting.admitBorrowed(workspace, borrowed)
    }
  }
  const borrowRound = async () => {
    const orders = new Map<string, Member[]>()
    const orderOf = (workspace: string) => {
      const order = orders.get(workspace) ?? chooseLenders(peers.self(), peers.members(), random, waiting.lendersOf(workspace))
      orders.set(workspace, order)
      return order
    }
    for (let step = 0; step < lendersInDomain + lendersElsewhere; step++) {
      const wanted = waiting.counts().slice(0, demandsPerReport)
      if (wanted.length === 0) return
      const groups = groupByLender(wanted, (workspace) => orderOf(workspace)[step])
      await Promise.all([...groups].map(([lender, counts]) => borrowFrom(lender, counts)))
    }
  }
  return () => {
    if (isBorrowing || clock.now() - roundEndedAt < borrowIntervalMs) return
    isBorrowing = true
    void borrowRound().finally(() => {
      isBorrowing = false
      roundEndedAt = clock.now()
    })
  }
}
