import {
  acceptGrant, takeoverReportMs, createBuckets, createLedger, decideGrant, collectDemands, leaderlessAfterMs, leaderlessWaitMs, removeWaitingRequest, openAccount, releaseHolder, reportIntervalMs, endTakeover, takeToken, takeTokensForWaiting, tokenWaitMs
} from '../../src/core/rate/index.ts'
import type { Buckets, Grant, Ledger, Limit } from '../../src/core/rate/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const workspace = 'w'

interface FleetNode {
  boot: string
  buckets: Buckets
  /** Waiting requests: when each arrived and until when it waits. */
  waiting: Array<{ since: number, until: number }>
  reportAt: number
  unansweredSince: number | undefined
}

interface Delivery {
  node: FleetNode
  grant: Grant
  sentAt: number
  dueAt: number
}

/** Reference token bucket over the whole fleet, which admissions must never overdraw. */
export interface Oracle {
  level: number
  at: number
  admitted: number
  /** Lowest level reached. A value below zero is a violation. */
  lowest: number
}

/** Simulated nodes, a leader and the messages between them under a virtual clock. */
export interface Fleet {
  now: () => number
  arrive: (node: number) => void
  run: (ms: number) => void
  restart: (node: number) => void
  /** Stops the leader. A new leader starts after `gapMs`. */
  changeLeader: (gapMs: number) => void
  /** Sets the fraction of reports and answers that are lost, and the longest delay in ms. */
  disturb: (loss: number, maxDelayMs: number) => void
  /** Cuts nodes off from the leader. */
  cutOff: (nodes: readonly number[]) => void
  setLimit: (limit: Limit) => void
  oracle: Oracle
  refused: () => number
}

/** Creates a fleet with a leader. */
export function createFleet (size: number, limit: Limit, seed: number, warmUpMs = 8000): Fleet {
  const random = createRandom(seed)
  const nodes: FleetNode[] = Array.from({ length: size }, (_, index) => ({ boot: `n${index}`, buckets: createBuckets(), waiting: [], reportAt: 0, unansweredSince: undefined }))
  let deliveries: Delivery[] = []
  let ledger: Ledger | undefined = createLedger('g0', 0)
  openAccount(ledger, workspace, limit, 0)
  let leaderSince = 0
  /** Time since which no node was cut off and no message was lost. */
  let completeSince = 0
  let generation = 0
  let cut: readonly number[] = []
  let loss = 0
  let maxDelayMs = 2
  let refused = 0
  let now = 0
  const oracle: Oracle = { level: limit.burst, at: 0, admitted: 0, lowest: limit.burst }

  const admit = (count: number) => {
    oracle.level = Math.min(limit.burst, oracle.level + limit.rate * (now - oracle.at) / 1000) - count
    oracle.at = now
    oracle.admitted += count
    oracle.lowest = Math.min(oracle.lowest, oracle.level)
  }
  const report = (node: FleetNode, index: number) => {
    node.reportAt = now + reportIntervalMs
    node.unansweredSince ??= now
    if (ledger === undefined || cut.includes(index) || random.next() < loss) return
    for (const demand of collectDemands(node.buckets, now)) {
      const grant = decideGrant(ledger, node.boot, demand, limit, now)
      if (random.next() < loss) continue
      deliveries.push({ node, grant, sentAt: now, dueAt: now + 1 + random.below(maxDelayMs) })
    }
  }
  const startLeader = () => {
    if (ledger !== undefined || now < leaderSince) return
    ledger = createLedger(`g${++generation}`, now)
    leaderSince = now
    openAccount(ledger, workspace, limit, now)
  }
  const deliver = () => {
    for (const { node, grant, sentAt } of deliveries.filter((delivery) => delivery.dueAt <= now)) {
      if (grant.open) node.unansweredSince = undefined
      if (nodes.includes(node)) admitWaiting(node, acceptGrant(node.buckets, grant, sentAt, now))
    }
    deliveries = deliveries.filter((delivery) => delivery.dueAt > now)
  }
  const admitWaiting = (node: FleetNode, count: number) => {
    admit(count)
    node.waiting.splice(0, count)
  }
  const stepNode = (node: FleetNode, index: number) => {
    admitWaiting(node, takeTokensForWaiting(node.buckets, workspace, now))
    if (now - (node.unansweredSince ?? now) > leaderlessAfterMs) {
      for (const waiter of node.waiting) waiter.until = waiter.since + leaderlessWaitMs
    }
    while (node.waiting.length > 0 && now >= node.waiting[0].until) {
      node.waiting.shift()
      removeWaitingRequest(node.buckets, workspace, now)
      refused++
    }
    const isUrgent = node.waiting.length > 0 && now >= node.reportAt - 230
    if (isUrgent || now >= node.reportAt) report(node, index)
  }
  const fleet: Fleet = {
    now: () => now,
    arrive (index) {
      const node = nodes[index % nodes.length]
      if (takeToken(node.buckets, workspace, now)) admit(1)
      else node.waiting.push({ since: now, until: now + tokenWaitMs })
    },
    run (ms) {
      const until = now + ms
      while (now < until) {
        now += 5
        startLeader()
        if (cut.length > 0 || loss > 0) completeSince = now
        if (ledger !== undefined && now - Math.max(completeSince, leaderSince) >= takeoverReportMs) endTakeover(ledger, now)
        deliver()
        for (const [index, node] of nodes.entries()) stepNode(node, index)
      }
    },
    restart (index) {
      const position = index % nodes.length
      refused += nodes[position].waiting.length
      if (ledger !== undefined) releaseHolder(ledger, nodes[position].boot, now)
      nodes[position] = { boot: `${nodes[position].boot}'`, buckets: createBuckets(), waiting: [], reportAt: now, unansweredSince: undefined }
    },
    changeLeader (gapMs) {
      ledger = undefined
      leaderSince = now + gapMs
    },
    disturb (lossRate, delayMs) {
      loss = lossRate
      maxDelayMs = delayMs
    },
    cutOff (indexes) {
      cut = indexes
    },
    setLimit (next) {
      admit(0)
      limit = next
    },
    oracle,
    refused: () => refused
  }
  fleet.run(warmUpMs)
  return fleet
}
