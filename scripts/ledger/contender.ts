import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createCluster } from '../support/cluster.ts'
import type { Cluster, Program } from '../support/cluster.ts'
import { announceTarget, configureWorkspace, pause } from '../support/load.ts'
import { startChild } from '../support/process.ts'
import type { Child } from '../support/process.ts'
import { processorTime } from '../support/processor.ts'
import type { ProcessorTime } from '../support/processor.ts'
import type { CpuProfile } from './profile.ts'

/** Time from the start of a process to the end of what counts as its start, in milliseconds. */
export const startMs = 5000

const domains = ['a', 'b', 'c']
const announceIntervalMs = 2000
const bareStartCode = 'process.on("exit", () => console.log(JSON.stringify(process.cpuUsage())))'

/** Processes that serve the same load as others in one run. */
export interface Contender {
  name: string
  /** Processes that a call passes. */
  hops: Child[]
  origin: string
  path: string
  key: string
  stop: () => Promise<void>
}

/** A contender whose processes run the program. */
export interface BuildContender extends Contender {
  nodes: Child[]
  controls: Child[]
  /** Processor time of each node in its first `startMs`, in seconds. */
  starts: ProcessorTime[]
  /** Time at which the nodes were started, in microseconds of the monotonic clock. */
  startedAt: number
}

/** Returns the machine's monotonic clock, which profiles use too, in microseconds. */
export function monotonicMicroseconds (): number {
  return Number(process.hrtime.bigint() / 1000n)
}

export function readTimes (children: readonly Child[]): ProcessorTime[] {
  return children.map((child) => processorTime(child.process.pid))
}

/** Starts two bare proxies, one behind the other. */
export async function startBareProxies (target: string): Promise<Contender> {
  const startProxy = (behind: string) => startChild('proxy', process.execPath, ['--import', 'tsx', join(import.meta.dirname, 'proxy.ts'), behind])
  const second = await startProxy(target)
  const first = await startProxy(second.addresses.listen)
  const stop = async () => {
    first.signal('SIGKILL')
    second.signal('SIGKILL')
    await Promise.all([first.ended, second.ended])
  }
  return { name: 'bare proxies', hops: [first, second], origin: `http://${first.addresses.listen}`, path: '/far', key: 'none', stop }
}

/** Returns the processor time that Node.js uses to start and end without a program, in seconds. */
export async function measureBareStart (): Promise<ProcessorTime> {
  const child = await startChild('bare start', process.execPath, ['-e', bareStartCode])
  await child.ended
  const { user, system } = child.addresses as unknown as ProcessorTime
  return { user: user / 1e6, system: system / 1e6 }
}

async function startNodes (cluster: Cluster, count: number): Promise<Pick<BuildContender, 'nodes' | 'starts' | 'startedAt'>> {
  const startedAt = monotonicMicroseconds()
  const names = Array.from({ length: count }, (_, index) => `n${index}`)
  const nodes = await Promise.all(names.map((name, index) => cluster.startNode(name, domains[index % domains.length])))
  await pause(startMs - (monotonicMicroseconds() - startedAt) / 1000)
  return { nodes, starts: readTimes(nodes), startedAt }
}

/** Starts control instances and nodes of a build, with a target at the second node. */
export async function startBuild (name: string, program: Program, nodeCount: number, target: string): Promise<BuildContender> {
  const cluster = await createCluster(domains, domains.length, program)
  const key = await configureWorkspace(cluster)
  const { nodes, starts, startedAt } = await startNodes(cluster, nodeCount)
  const [entry, far] = nodes
  await announceTarget(far, 'far', target)
  const timer = setInterval(() => void announceTarget(far, 'far', target).catch(() => undefined), announceIntervalMs)
  const stop = async () => {
    clearInterval(timer)
    for (const node of nodes) node.signal('SIGTERM')
    await Promise.all(nodes.map((node) => node.ended))
    await cluster.stop()
  }
  return { name, hops: [entry, far], nodes, controls: cluster.controls, starts, startedAt, origin: `http://${entry.addresses.listen}`, path: '/far', key, stop }
}

/** Folder that Node.js writes CPU profiles to. */
export interface ProfileFolder {
  /** Runs a bundle with a profile of each process. */
  programOf: (bundle: string) => Program
  /** Reads the profile of a process that has ended. */
  read: (child: Child) => CpuProfile
  remove: () => void
}

export function createProfileFolder (): ProfileFolder {
  const folder = mkdtempSync(join(tmpdir(), 'dogwoodspring-ledger-'))
  const fileOf = (pid: number | undefined) => readdirSync(folder).find((file) => file.split('.')[3] === String(pid) && file.split('.')[4] === '0')
  return {
    programOf: (bundle) => ({ command: process.execPath, args: ['--cpu-prof', `--cpu-prof-dir=${folder}`, bundle] }),
    read: (child) => JSON.parse(readFileSync(join(folder, fileOf(child.process.pid) ?? `profile of ${child.name}`), 'utf8')) as CpuProfile,
    remove: () => rmSync(folder, { recursive: true, force: true })
  }
}
