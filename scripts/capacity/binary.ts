import { readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { Pool } from 'undici'
import { createCluster } from '../support/cluster.ts'
import type { Child } from '../support/process.ts'
import { toThreeDigits } from './units.ts'
import type { Point, Slope } from './units.ts'

const ticksPerSecond = 100
const targetWorkMs = 5
const warmUpCallsPerSecond = 100
const template = {
  routes: [
    { name: 'near', method: 'GET', path: '/near', service: 'near' },
    { name: 'far', method: 'GET', path: '/far', service: 'far' },
    { name: 'order', method: 'POST', path: '/order', service: 'near' }
  ],
  parameters: { rate: { default: 100_000, min: 1, max: 1_000_000 }, burst: { default: 100_000, min: 1, max: 1_000_000 } }
}

/** Returns the processor time that a process has used so far, in seconds. */
function cpuSeconds (child: Child): number {
  const stat = readFileSync(`/proc/${child.process.pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

/** Returns the resident memory of a process in MB: in total, and without memory that other processes can share. */
function memoryMB (child: Child): { resident: number, own: number } {
  const status = readFileSync(`/proc/${child.process.pid}/status`, 'utf8')
  const read = (name: string) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024
  return { resident: Math.round(read('VmRSS')), own: Math.round(read('RssAnon')) }
}

async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Sends requests at a fixed rate, whether or not earlier ones are answered. Returns the latencies in ms in ascending order. */
async function generateLoad (origin: string, path: string, key: string, rate: number, seconds: number, method: 'GET' | 'POST' = 'GET'): Promise<number[]> {
  const pool = new Pool(origin, { connections: 64, pipelining: 1 })
  const latencies: number[] = []
  const running: Array<Promise<void>> = []
  const startedAt = performance.now()
  const sendRequest = async () => {
    const sentAt = performance.now()
    const answer = await pool.request({ method, path, headers: { authorization: `Bearer ${key}` } })
    await answer.body.dump()
    if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode} from ${origin}${path}`)
    latencies.push(performance.now() - sentAt)
  }
  for (let sent = 0; sent < rate * seconds; sent++) {
    const dueAt = startedAt + sent * 1000 / rate
    if (dueAt > performance.now()) await pause(dueAt - performance.now())
    running.push(sendRequest())
  }
  await Promise.all(running)
  await pool.close()
  return latencies.sort((left, right) => left - right)
}

function quantile (sorted: readonly number[], fraction: number): number {
  return toThreeDigits(sorted[Math.floor(sorted.length * fraction)])
}

function startTarget (): Promise<{ address: string, close: () => void }> {
  const server = createServer((incoming, response) => {
    incoming.resume()
    setTimeout(() => response.end('ok'), targetWorkMs)
  })
  server.keepAliveTimeout = 60_000
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => void server.close() }))
  })
}

async function announceTarget (node: Child, service: string, address: string): Promise<void> {
  const body = JSON.stringify({ service, address, slots: 200, connections: 200 })
  await fetch(`http://${node.addresses.local}/.dogwoodspring/target`, { method: 'PUT', body }).then((answer) => answer.text())
}

/** Measures the built binary: its cost when idle and under load, and the latency that nodes add to a call. */
export async function measureBinary (progress: (text: string) => void): Promise<Slope[]> {
  const cluster = await createCluster(['a', 'b', 'c'])
  const target = await startTarget()
  const nodes: Child[] = []
  let announceTimer: NodeJS.Timeout | undefined
  try {
    writeFileSync(join(cluster.folder, 't.json'), JSON.stringify(template))
    writeFileSync(join(cluster.folder, 'w.json'), JSON.stringify({ template: 't' }))
    await cluster.runUntilSuccess('template', 'set', 't', '--file', join(cluster.folder, 't.json'))
    await cluster.runUntilSuccess('workspace', 'set', 'w', '--file', join(cluster.folder, 'w.json'))
    const { key } = await cluster.runUntilSuccess('key', 'give', 'w') as { key: string }
    const idle: Point[] = []
    const addNode = async () => nodes.push(await cluster.startNode(`n${nodes.length}`, ['a', 'b', 'c'][nodes.length % 3]))
    for (const size of [3, 6, 12, 24]) {
      while (nodes.length < size) await addNode()
      progress(`binary idle, ${size} nodes`)
      await pause(6000)
      const before = nodes.map(cpuSeconds)
      const controlBefore = cluster.controls.map(cpuSeconds)
      await pause(5000)
      const nodeCpu = nodes.map((node, index) => cpuSeconds(node) - before[index])
      const controlCpu = cluster.controls.map((control, index) => cpuSeconds(control) - controlBefore[index])
      idle.push({
        size,
        values: {
          '% of a core a node': toThreeDigits(nodeCpu.reduce((sum, value) => sum + value, 0) / size / 5 * 100),
          'resident MB': Math.max(...nodes.map((node) => memoryMB(node).resident)),
          'own MB': Math.max(...nodes.map((node) => memoryMB(node).own)),
          '% of a core of the busiest control': toThreeDigits(Math.max(...controlCpu) / 5 * 100)
        }
      })
    }
    const [near, far] = nodes
    const announceTargets = async () => {
      await announceTarget(near, 'near', target.address)
      await announceTarget(far, 'far', target.address)
    }
    await announceTargets()
    announceTimer = setInterval(() => void announceTargets(), 2000)
    await pause(3000)
    const entry = `http://${near.addresses.listen}`
    progress('latency, warming up')
    for (const path of ['/near', '/far']) await generateLoad(entry, path, key, warmUpCallsPerSecond, 5)
    await generateLoad(entry, '/order', key, 50, 4, 'POST')
    const latency: Point[] = []
    for (const rate of [50, 100, 200, 300]) {
      progress(`latency at ${rate} calls/s`)
      const direct = await generateLoad(`http://${target.address}`, '/', key, rate, 5)
      const oneNode = await generateLoad(entry, '/near', key, rate, 5)
      const cpuBefore = cpuSeconds(near) + cpuSeconds(far)
      const twoNodes = await generateLoad(entry, '/far', key, rate, 5)
      const cpu = (cpuSeconds(near) + cpuSeconds(far) - cpuBefore) / (rate * 5) / 2
      const claimed = await generateLoad(entry, '/order', key, rate, 5, 'POST')
      latency.push({
        size: rate,
        values: {
          'direct p50 / p99 ms': `${quantile(direct, 0.5)} / ${quantile(direct, 0.99)}` as unknown as number,
          'one node': `${quantile(oneNode, 0.5)} / ${quantile(oneNode, 0.99)}` as unknown as number,
          'two nodes': `${quantile(twoNodes, 0.5)} / ${quantile(twoNodes, 0.99)}` as unknown as number,
          'one node with a claim': `${quantile(claimed, 0.5)} / ${quantile(claimed, 0.99)}` as unknown as number,
          'added by two, p99 ms': toThreeDigits(quantile(twoNodes, 0.99) - quantile(direct, 0.99)),
          'CPU ms a call and hop': toThreeDigits(cpu * 1000),
          'resident / own MB loaded': `${memoryMB(near).resident} / ${memoryMB(near).own}` as unknown as number
        }
      })
    }
    return [{ name: 'The binary, idle', unit: 'nodes', points: idle }, { name: 'The binary under load', unit: 'calls/s', points: latency }]
  } finally {
    clearInterval(announceTimer)
    for (const node of nodes) node.signal('SIGKILL')
    await cluster.stop()
    target.close()
  }
}
