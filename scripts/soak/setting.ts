import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createCluster } from '../support/cluster.ts'
import type { Cluster, NodeWithTargetOptions } from '../support/cluster.ts'
import type { Child } from '../support/process.ts'
import { createWorkspaceDocument, template } from '../demo/template.ts'
import { startProxy } from './proxy.ts'
import type { Proxy } from './proxy.ts'
import type { Role } from './plan.ts'

/** A process that the soak started, over all its restarts. */
export interface Managed {
  name: string
  role: Role
  child: Child
  state: 'running' | 'frozen' | 'down' | 'stopping'
  start: () => Promise<Child>
  /** Processes that have ended, for their logs. */
  earlier: Child[]
}

/** A node with its target, and the proxies before both. */
export interface Station {
  node: Managed
  target: Managed
  /** Between the callers and the node. */
  callerProxy: Proxy
  /** Between the node and its target. */
  targetProxy: Proxy
}

/** All processes of a soak. */
export interface Setting {
  cluster: Cluster
  stations: Station[]
  controls: Managed[]
  /** Returns all processes of a role. */
  managed: (role: Role) => Managed[]
  stop: () => Promise<void>
}

const domains = ['laocai', 'dalat', 'cantho', 'sapa']
const services = { chitwatch: 110, orderdesk: 110, traylib: 110, depotledger: 30 }
const connectionsPerSlot = 4
const workMs = 10

/** Number of workspaces that send requests. */
export const workspaceCount = 6

/** Returns the configuration of a workspace. */
export function workspaceName (number: number): string {
  return `depot-${number % workspaceCount + 1}`
}

async function startStation (cluster: Cluster, options: NodeWithTargetOptions): Promise<Station> {
  const [callerProxy, targetProxy] = [await startProxy(), await startProxy()]
  const node: Managed = {
    name: options.name,
    role: 'node',
    state: 'running',
    child: await cluster.startNode(options.name, options.domain),
    earlier: [],
    start: () => cluster.startNode(options.name, options.domain, node.child)
  }
  const startTarget = async () => {
    const child = await cluster.startTarget(options, node.child, targetProxy.address)
    targetProxy.setServer(child.addresses.address)
    return child
  }
  callerProxy.setServer(node.child.addresses.listen)
  const target: Managed = { name: `${options.name}-target`, role: 'target', state: 'running', child: await startTarget(), earlier: [], start: startTarget }
  return { node, target, callerProxy, targetProxy }
}

/** Sets a workspace's rate and waits until that is acknowledged. */
export async function setWorkspace (cluster: Cluster, workspace: string, rate: number): Promise<void> {
  const file = join(cluster.folder, `${workspace}.json`)
  writeFileSync(file, JSON.stringify(createWorkspaceDocument(rate)))
  await cluster.runUntilSuccess('workspace', 'set', workspace, '--file', file)
}

async function configure (cluster: Cluster): Promise<void> {
  const file = join(cluster.folder, 'template.json')
  writeFileSync(file, JSON.stringify(template))
  await cluster.runUntilSuccess('template', 'set', 'franchise', '--file', file)
  for (let number = 0; number < workspaceCount; number++) await setWorkspace(cluster, workspaceName(number), 100)
}

/** Starts three control instances and `domainCount` nodes with targets of each service, each in a failure domain of its own. */
export async function createSetting (domainCount: number): Promise<Setting> {
  const cluster = await createCluster(domains)
  const stations: Station[] = []
  const controls = cluster.controls.map((child): Managed => ({ name: child.name, role: 'control', state: 'running', child, earlier: [], start: () => cluster.startControl(child.name) }))
  const setting: Setting = {
    cluster,
    stations,
    controls,
    managed: (role) => role === 'control' ? controls : stations.map((station) => station[role]),
    async stop () {
      const all = [...controls, ...stations.flatMap(({ node, target }) => [node, target])]
      for (const managed of all) managed.state = 'down'
      const children = all.map(({ child }) => child)
      for (const child of children) child.signal('SIGKILL')
      await Promise.all(children.map(({ ended }) => ended))
      for (const { callerProxy, targetProxy } of stations) for (const proxy of [callerProxy, targetProxy]) proxy.close()
      await cluster.stop()
    }
  }
  try {
    await configure(cluster)
    for (const domain of domains.slice(0, domainCount)) {
      const starting = Object.entries(services).map(([service, slots]) => startStation(cluster, {
        name: `${service}-${domain}`, domain, service, slots, connections: slots * connectionsPerSlot, workMs
      }))
      stations.push(...await Promise.all(starting))
    }
    return setting
  } catch (error) {
    await setting.stop()
    throw error
  }
}
