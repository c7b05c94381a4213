import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Pool } from 'undici'
import { createRunCounter } from '../../scripts/demo/tally.ts'
import type { RunCounter } from '../../scripts/demo/tally.ts'
import { template, createWorkspaceDocument } from '../../scripts/demo/template.ts'
import { createCluster } from '../../scripts/support/cluster.ts'
import type { Cluster, NodeWithTarget, NodeWithTargetOptions } from '../../scripts/support/cluster.ts'

/** A response as the caller receives it, with status 0 if there was none. */
export interface Reply {
  status: number
  run?: string
  replayed: boolean
  text: string
  error?: string
}

/** A request of a caller. */
export interface Request {
  method?: 'GET' | 'POST'
  path: string
  key?: string
  idempotencyKey?: string
  id?: string
  body?: string
  headers?: Record<string, string>
}

/** Client of one node, with persistent connections. */
export interface Client {
  send: (request: Request) => Promise<Reply>
  close: () => Promise<void>
}

/** Creates a client for a node's address for callers. */
export function createClient (address: string, connections = 50): Client {
  const pool = new Pool(`http://${address}`, { connections, pipelining: 1 })
  return {
    async send ({ method = 'GET', path, key, idempotencyKey, id = 'none', body, headers = {} }) {
      try {
        const answer = await pool.request({
          method,
          path,
          body: body ?? null,
          headers: {
            'x-demo-id': id,
            ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
            ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
            ...headers
          }
        })
        const text = await answer.body.text()
        return { status: answer.statusCode, run: answer.headers['x-dogwoodspring-run'] as string | undefined, replayed: answer.headers['idempotency-replayed'] === 'true', text }
      } catch (error) {
        return { status: 0, replayed: false, text: '', error: error instanceof Error ? error.message : String(error) }
      }
    },
    close: () => pool.close()
  }
}

/** A configured cluster with targets of the given services in three failure domains. */
export interface ClusterFixture {
  cluster: Cluster
  runs: RunCounter
  key: string
  keyId: string
  /** Kills the processes of a station and starts it again under the same name. */
  restart: (station: NodeWithTarget) => Promise<NodeWithTarget>
  /** Sets the time that every target of a service works on a request, in milliseconds. */
  setWorkTime: (service: string, ms: number) => Promise<void>
  waitUntilReady: () => Promise<void>
}

export const domains = ['kbh-a', 'aarhus-a', 'odense-a']
const rate = 500

/** Time within which the leader detects a restarted node and starts to repair its claim slots, in milliseconds. */
const restartDetectionMs = 2500

/** Creates a cluster with `perDomain` targets of each service in each failure domain. */
export async function createClusterFixture (services: readonly string[], perDomain: number): Promise<ClusterFixture> {
  const cluster = await createCluster(domains)
  const runs = createRunCounter()
  writeFileSync(join(cluster.folder, 'template.json'), JSON.stringify(template))
  writeFileSync(join(cluster.folder, 'workspace.json'), JSON.stringify(createWorkspaceDocument(rate)))
  await cluster.runUntilSuccess('template', 'set', 'franchise', '--file', join(cluster.folder, 'template.json'))
  await cluster.runUntilSuccess('workspace', 'set', 'odense', '--file', join(cluster.folder, 'workspace.json'))
  const issuedKey = await cluster.runUntilSuccess('key', 'give', 'odense') as { key: string, id: string }
  const optionsOf = (name: string, domain: string, service: string): NodeWithTargetOptions => ({ name, domain, service, slots: 20, connections: 40, workMs: 5 })
  const starting: Array<Promise<NodeWithTarget>> = []
  for (const domain of domains) {
    for (const service of services) {
      for (let number = 1; number <= perDomain; number++) starting.push(cluster.startNodeWithTarget(optionsOf(`${service}-${domain}-${number}`, domain, service)))
    }
  }
  for (const station of await Promise.all(starting)) runs.watch(station.target)
  const fixture: ClusterFixture = {
    cluster,
    runs,
    key: issuedKey.key,
    keyId: issuedKey.id,
    async restart (station) {
      cluster.nodesWithTargets = cluster.nodesWithTargets.filter((other) => other !== station)
      for (const child of [station.node, station.target]) child.signal('SIGKILL')
      await Promise.all([station.node.ended, station.target.ended])
      const restarted = await cluster.startNodeWithTarget(optionsOf(station.name, station.domain, station.service))
      runs.watch(restarted.target)
      await pause(restartDetectionMs)
      return restarted
    },
    async setWorkTime (service, ms) {
      for (const station of cluster.nodesWithTargets) {
        if (station.service === service) await fetch(`http://${station.target.addresses.address}/.stand-in/work/${ms}`).then((answer) => answer.text()).catch(() => '')
      }
    },
    async waitUntilReady () {
      let status: unknown
      for (let attempt = 0; attempt < 60; attempt++) {
        status = await cluster.runUntilSuccess('status')
        const { domains: rows, claimSlots } = status as { domains: Array<{ targetsUp: number }>, claimSlots: { placed: number, ready: number } }
        const nodes = rows.reduce((sum, row) => sum + row.targetsUp, 0)
        if (nodes === cluster.nodesWithTargets.length && claimSlots.placed > 0 && claimSlots.placed === claimSlots.ready) return
        await pause(200)
      }
      throw new Error(`the cluster did not become ready: ${JSON.stringify(status)}`)
    }
  }
  await fixture.waitUntilReady()
  return fixture
}

/** Waits for `ms` milliseconds. */
export function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Returns how often a non-idempotent request ran. */
export function countRuns (fixture: ClusterFixture, id: string): number {
  return fixture.runs.runCount(`POST transfers ${id}`)
}
