import { readFileSync } from 'node:fs'
import { createCluster } from '../support/cluster.ts'
import { announceTarget, configureWorkspace, evenArrivals, generateLoad, pause, startTarget } from '../support/load.ts'
import type { Child } from '../support/process.ts'
import { processorSeconds } from '../support/processor.ts'
import { toThreeDigits } from './units.ts'
import type { Point, Slope } from './units.ts'

const warmUpCallsPerSecond = 100

function cpuSeconds (child: Child): number {
  return processorSeconds(child.process.pid)
}

/** Returns the resident memory of a process in MB: in total, and without memory that other processes can share. */
function memoryMB (child: Child): { resident: number, own: number } {
  const status = readFileSync(`/proc/${child.process.pid}/status`, 'utf8')
  const read = (name: string) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024
  return { resident: Math.round(read('VmRSS')), own: Math.round(read('RssAnon')) }
}

function quantile (sorted: readonly number[], fraction: number): number {
  return toThreeDigits(sorted[Math.floor(sorted.length * fraction)])
}

/** Measures the built binary: its cost when idle and under load, and the latency that nodes add to a call. */
export async function measureBinary (progress: (text: string) => void): Promise<Slope[]> {
  const cluster = await createCluster(['a', 'b', 'c'])
  const target = await startTarget()
  const nodes: Child[] = []
  let announceTimer: NodeJS.Timeout | undefined
  try {
    const key = await configureWorkspace(cluster)
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
    for (const path of ['/near', '/far']) await generateLoad(entry, path, key, evenArrivals(warmUpCallsPerSecond, 5))
    await generateLoad(entry, '/order', key, evenArrivals(50, 4), 'POST')
    const latency: Point[] = []
    for (const rate of [50, 100, 200, 300]) {
      const arrivals = evenArrivals(rate, 5)
      progress(`latency at ${rate} calls/s`)
      const direct = await generateLoad(`http://${target.address}`, '/', key, arrivals)
      const oneNode = await generateLoad(entry, '/near', key, arrivals)
      const cpuBefore = cpuSeconds(near) + cpuSeconds(far)
      const twoNodes = await generateLoad(entry, '/far', key, arrivals)
      const cpu = (cpuSeconds(near) + cpuSeconds(far) - cpuBefore) / (rate * 5) / 2
      const claimed = await generateLoad(entry, '/order', key, arrivals, 'POST')
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
