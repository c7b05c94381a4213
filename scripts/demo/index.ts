/**
 * Demonstrates a cluster of separate processes of the built binary: three control instances, nodes
 * with simulated targets in four failure domains, and callers. During the traffic, the configuration
 * changes, a key is withdrawn, a target and the leading control instance are killed, and a node is
 * stopped gracefully.
 */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { createCluster } from '../support/cluster.ts'
import type { Cluster, NodeWithTarget } from '../support/cluster.ts'
import { startTraffic } from './callers.ts'
import type { Caller } from './callers.ts'
import { createRunCounter, createTally } from './tally.ts'
import { template, createWorkspaceDocument } from './template.ts'

const { values } = parseArgs({ options: { seconds: { type: 'string', default: '20' }, json: { type: 'boolean', default: false }, seed: { type: 'string', default: '1' } } })
const seconds = Math.max(10, Number(values.seconds))
const domains = ['laocai', 'dalat', 'cantho', 'sapa']
const services = { chitwatch: 110, orderdesk: 110, traylib: 110, depotledger: 30 }
const connections = { chitwatch: 750, orderdesk: 750, traylib: 750, depotledger: 300 }
const workMs = 10
/** Longest time for which a withdrawn key may still be accepted, in milliseconds. */
const maxServedAfterWithdrawalMs = 5000
const minAnsweredFraction = 0.9

const startedAt = performance.now()
const tally = createTally()
function logProgress (text: string): void {
  const counts = tally.sent === 0 ? '' : ` (sent ${tally.sent}, whole ${tally.whole}, refused ${tally.refusedNotRun}, unknown ${tally.unknown})`
  process.stderr.write(`${((performance.now() - startedAt) / 1000).toFixed(1).padStart(6)} s  ${text}${counts}\n`)
}

async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

async function configure (cluster: Cluster): Promise<void> {
  const templateFile = join(cluster.folder, 'template.json')
  writeFileSync(templateFile, JSON.stringify(template))
  await cluster.runUntilSuccess('template', 'set', 'franchise', '--file', templateFile)
  await Promise.all([1, 2, 3, 4, 5, 6, 7, 8].map((index) => setWorkspace(cluster, index, 100)))
}

async function setWorkspace (cluster: Cluster, index: number, rate: number): Promise<void> {
  const file = join(cluster.folder, `workspace-${index}.json`)
  writeFileSync(file, JSON.stringify(createWorkspaceDocument(rate)))
  await cluster.runUntilSuccess('workspace', 'set', `depot-${index}`, '--file', file)
}

async function createCaller (cluster: Cluster, index: number): Promise<Caller> {
  const workspace = `depot-${index}`
  const { key } = await cluster.runUntilSuccess('key', 'give', workspace) as { key: string }
  return { workspace, key, rate: index <= 2 ? 30 : 10 }
}

/** Waits until all targets are up and all claim slots are ready. */
async function waitUntilReady (cluster: Cluster, targetCount: number): Promise<void> {
  while (true) {
    const status = await cluster.runUntilSuccess('status') as { domains: Array<{ nodes: number, targetsUp: number }>, claimSlots: { placed: number, ready: number } }
    const up = status.domains.reduce((sum, domain) => sum + domain.targetsUp, 0)
    if (up === targetCount && status.claimSlots.placed > 0 && status.claimSlots.placed === status.claimSlots.ready) return
    await pause(300)
  }
}

const cluster = await createCluster(domains)
const runs = createRunCounter()
try {
  logProgress('3 control instances run')
  await configure(cluster)
  logProgress('template and 8 workspaces set')
  const nodes: NodeWithTarget[] = []
  for (const domain of domains) {
    const starting = Object.entries(services).map(([service, slots]) => cluster.startNodeWithTarget({
      name: `${service}-${domain}`, domain, service, slots, connections: connections[service as keyof typeof services], workMs
    }))
    nodes.push(...await Promise.all(starting))
  }
  for (const { target } of nodes) runs.watch(target)
  logProgress(`${nodes.length} nodes with targets run in ${domains.length} failure domains`)
  const callers = await Promise.all([1, 2, 3, 4, 5, 6, 7, 8].map((index) => createCaller(cluster, index)))
  const extraKey = await cluster.runUntilSuccess('key', 'give', 'depot-8') as { key: string, id: string }
  await waitUntilReady(cluster, nodes.length)
  logProgress('claim slots are placed; traffic starts')

  let withdrawnAt = Infinity
  const addresses = nodes.map(({ node }) => node.addresses.listen)
  const traffic = startTraffic(addresses, tally, runs, Number(values.seed), ({ caller, outcome }) => {
    if (caller.key === extraKey.key && outcome === 'whole') tally.withdrawnServedAfterMs = Math.max(tally.withdrawnServedAfterMs, performance.now() - withdrawnAt)
  })
  for (const caller of callers) traffic.add(caller)
  traffic.add({ workspace: 'depot-8', key: extraKey.key, rate: 20 })
  const stepDurationMs = seconds * 1000 / 7

  await pause(stepDurationMs)
  await setWorkspace(cluster, 3, 150)
  logProgress('workspace depot-3 changed')
  await pause(stepDurationMs)
  await cluster.runUntilSuccess('key', 'withdraw', extraKey.id)
  withdrawnAt = performance.now()
  tally.withdrawnServedAfterMs = 0
  logProgress('a key was withdrawn on open connections')
  await pause(stepDurationMs)
  const stoppedNode = nodes[0]
  traffic.avoid(stoppedNode.node.addresses.listen)
  stoppedNode.node.signal('SIGTERM')
  logProgress(`node ${stoppedNode.name} is stopped gracefully`)
  await pause(stepDurationMs)
  nodes[5].target.signal('SIGKILL')
  logProgress(`target ${nodes[5].name} killed`)
  await pause(stepDurationMs)
  const { leader } = await cluster.runUntilSuccess('status') as { leader: string }
  cluster.controls.find((control) => control.name === leader)?.signal('SIGKILL')
  logProgress(`control instance ${leader}, the leader, killed`)
  await pause(stepDurationMs)
  const exitCode = await stoppedNode.node.ended
  logProgress(`node ${stoppedNode.name} ended with ${exitCode}`)
  await setWorkspace(cluster, 4, 150)
  logProgress('workspace depot-4 changed')
  await pause(stepDurationMs)
  await traffic.stop()
  logProgress('traffic ended')

  tally.ranTwice = runs.ranTwice().length
  tally.keyLeaks = runs.leakedKeyCount()
  tally.withdrawnServedAfterMs = Math.round(tally.withdrawnServedAfterMs)
  if (exitCode !== 0) tally.cutByStop++
  const violations: string[] = []
  if (tally.wrong > 0) violations.push('an answer was wrong')
  if (tally.ranTwice > 0) violations.push('a non-idempotent request ran twice')
  if (tally.keyLeaks > 0) violations.push('a target received a key')
  if (tally.cutByStop > 0) violations.push('a graceful stop made a request fail')
  if (tally.withdrawnServedAfterMs > maxServedAfterWithdrawalMs) violations.push('a withdrawn key was accepted for too long')
  if (tally.whole < tally.sent * minAnsweredFraction * 0.9) violations.push('too few requests were answered')
  for (const [name, value] of Object.entries(tally)) process.stderr.write(`  ${name.padEnd(24)}${String(value).padStart(8)}\n`)
  for (const [code, count] of traffic.codes()) process.stderr.write(`  not whole: ${code.padEnd(24)}${String(count).padStart(8)}\n`)
  for (const text of violations) process.stderr.write(`broken: ${text}\n`)
  process.exitCode = violations.length === 0 ? 0 : 1
} finally {
  await cluster.stop()
}
if (values.json) process.stdout.write(JSON.stringify(tally) + '\n')
process.exit()
