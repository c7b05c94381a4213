import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { takeLoopbackNetwork } from './loopback.ts'
import type { LoopbackNetwork } from './loopback.ts'
import { startChild } from './process.ts'
import type { Child } from './process.ts'

export const binary = join(import.meta.dirname, '../../dist/dogwoodspring')
export const targetProgram = join(import.meta.dirname, '../demo/target.ts')
export const operatorToken = 'operator-token-for-the-demo'
export const clusterSecret = 'cluster-secret-for-the-demo'

const maxCommandAttempts = 40

/** Result of an operator command. */
export interface CommandResult {
  code: number
  stdout: string
  stderr: string
}

/** A node and its target, each a process of its own. */
export interface NodeWithTarget {
  name: string
  domain: string
  service: string
  node: Child
  target: Child
}

/** Settings of a node and its target. */
export interface NodeWithTargetOptions {
  name: string
  domain: string
  service: string
  slots: number
  connections: number
  /** Working time of the target per request in milliseconds. */
  workMs: number
}

/** A cluster of separate processes on loopback addresses. */
export interface Cluster {
  folder: string
  /** Addresses that no other environment uses: group 1 for control instances, groups 10 and on for nodes. */
  network: LoopbackNetwork
  controls: Child[]
  nodesWithTargets: NodeWithTarget[]
  adminAddresses: () => string
  startControl: (id: string) => Promise<Child>
  startNodeWithTarget: (options: NodeWithTargetOptions) => Promise<NodeWithTarget>
  /** Starts a node, at the addresses of an earlier process if they are given. */
  startNode: (name: string, domain: string, earlier?: Child) => Promise<Child>
  /** Starts a target. It announces `announced` in place of its own address, if given. */
  startTarget: (options: NodeWithTargetOptions, node: Child, announced?: string) => Promise<Child>
  /** Runs an operator command. */
  run: (...args: string[]) => Promise<CommandResult>
  /** Runs an operator command, retries it until it succeeds, and returns its JSON output. Throws after 40 attempts. */
  runUntilSuccess: (...args: string[]) => Promise<Record<string, unknown>>
  stop: () => Promise<void>
}

/** A command that runs the program, with the arguments before those of the program itself. */
export interface Program {
  command: string
  args: readonly string[]
}

/** Starts a cluster with `controlCount` control instances, distributed over the failure domains in order. */
export async function createCluster (domains: readonly string[], controlCount = 3, program: Program = { command: binary, args: [] }): Promise<Cluster> {
  const folder = mkdtempSync(join(tmpdir(), 'dogwoodspring-'))
  const network = await takeLoopbackNetwork()
  const peers = new Map<string, string>()
  for (let number = 1; number <= controlCount; number++) peers.set(`c${number}`, `${network.host(1, number)}:${network.nextPort()}`)
  const members = [...peers].map(([id, address]) => `${id}=${address}`).join(',')
  const seeds = [...peers.values()].join(',')
  const sharedEnvironment = { DOGWOODSPRING_CLUSTER_SECRET: clusterSecret, DOGWOODSPRING_OPERATOR_TOKEN: operatorToken }
  let nodeCount = 0

  const startControl = async (id: string) => {
    const position = [...peers.keys()].indexOf(id)
    const child = await startChild(id, program.command, [
      ...program.args, 'control', '--id', id, '--domain', domains[position % domains.length], '--peer', peers.get(id) ?? '',
      '--admin', `${network.host(1, position + 1)}:0`, '--data', join(folder, id), '--members', members
    ], sharedEnvironment)
    cluster.controls = [...cluster.controls.filter((known) => known.name !== id), child]
    return child
  }
  const startNode = async (name: string, domain: string, earlier?: Child) => {
    const free = `${network.host(10 + Math.floor(nodeCount / 250), nodeCount++ % 250 + 1)}:0`
    const { listen, peer, local } = earlier?.addresses ?? { listen: free, peer: free, local: free }
    return await startChild(name, program.command, [
      ...program.args, 'node', '--id', name, '--domain', domain, '--listen', listen, '--peer', peer, '--local', local, '--seeds', seeds
    ], sharedEnvironment)
  }
  const startTarget = (options: NodeWithTargetOptions, node: Child, announced?: string) => startChild(`${options.name}-target`, process.execPath, [
    '--import', 'tsx', targetProgram, JSON.stringify({ ...options, local: node.addresses.local, announced })
  ])
  const run = (...args: string[]) => new Promise<CommandResult>((resolve) => {
    const env = { ...process.env, DOGWOODSPRING_TOKEN: operatorToken, DOGWOODSPRING_CONTROL: cluster.adminAddresses() }
    const child = execFile(binary, args, { env }, (error, stdout, stderr) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr })
    })
    child.stdin?.end()
  })
  const cluster: Cluster = {
    folder,
    network,
    controls: [],
    nodesWithTargets: [],
    adminAddresses: () => cluster.controls.map((child) => child.addresses.admin).join(','),
    startControl,
    startNode,
    startTarget,
    async startNodeWithTarget (options) {
      const node = await startNode(options.name, options.domain)
      const target = await startTarget(options, node)
      const station = { name: options.name, domain: options.domain, service: options.service, node, target }
      cluster.nodesWithTargets.push(station)
      return station
    },
    run,
    async runUntilSuccess (...args) {
      let lastResult: CommandResult = { code: 1, stdout: '', stderr: '' }
      const isChange = /^(set|give|withdraw|release)$/.test(args[1] ?? '')
      const changeId = isChange && !args.includes('--change-id') ? ['--change-id', `change-${Math.random().toString(36).slice(2)}`] : []
      for (let attempt = 0; attempt < maxCommandAttempts; attempt++) {
        lastResult = await run(...args, ...changeId, '--json')
        if (lastResult.code === 0) return JSON.parse(lastResult.stdout) as Record<string, unknown>
        await new Promise((resolve) => setTimeout(resolve, 250))
      }
      throw new Error(`${args.join(' ')} failed: ${lastResult.stdout}${lastResult.stderr}`)
    },
    async stop () {
      const children = [...cluster.controls, ...cluster.nodesWithTargets.flatMap(({ node, target }) => [node, target])]
      for (const child of children) child.signal('SIGCONT')
      for (const child of children) child.signal('SIGKILL')
      await Promise.all(children.map((child) => child.ended))
      rmSync(folder, { recursive: true, force: true })
      await network.release()
    }
  }
  await Promise.all([...peers.keys()].map(startControl))
  return cluster
}
