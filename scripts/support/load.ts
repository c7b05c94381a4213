import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { writeFileSync } from 'node:fs'
import { Pool } from 'undici'
import type { Cluster } from './cluster.ts'
import type { Child } from './process.ts'

const targetWorkMs = 5
const connectionsOfLoad = 64
const template = {
  routes: [
    { name: 'near', method: 'GET', path: '/near', service: 'near' },
    { name: 'far', method: 'GET', path: '/far', service: 'far' },
    { name: 'order', method: 'POST', path: '/order', service: 'near' }
  ],
  parameters: { rate: { default: 100_000, min: 1, max: 1_000_000 }, burst: { default: 100_000, min: 1, max: 1_000_000 } }
}

export async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Returns the due times of `rate` requests a second at equal distances, in milliseconds. */
export function evenArrivals (rate: number, seconds: number): number[] {
  return Array.from({ length: rate * seconds }, (_, index) => index * 1000 / rate)
}

/** Calls `send` at each of the due times, whether or not earlier calls have ended. Resolves when all have, or throws the first failure then. */
export async function sendAt (arrivals: readonly number[], send: () => Promise<void>): Promise<void> {
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  const failures: unknown[] = []
  for (const arrival of arrivals) {
    const waitMs = startedAt + arrival - performance.now()
    if (waitMs > 0) await pause(waitMs)
    running.push(send().catch((failure: unknown) => void failures.push(failure)))
  }
  await Promise.all(running)
  if (failures.length > 0) throw failures[0]
}

/** Answers to the requests of a load. */
export interface LoadTally {
  /** Latencies of the answers 200 in ms, in ascending order. */
  latencies: number[]
  /** Number of answers by other status. */
  otherAnswers: Map<number, number>
}

/** Sends requests with a key at the due times. */
export async function sendLoad (origin: string, path: string, key: string, arrivals: readonly number[], method: 'GET' | 'POST' = 'GET'): Promise<LoadTally> {
  const pool = new Pool(origin, { connections: connectionsOfLoad, pipelining: 1 })
  const latencies: number[] = []
  const otherAnswers = new Map<number, number>()
  await sendAt(arrivals, async () => {
    const sentAt = performance.now()
    const { statusCode, body } = await pool.request({ method, path, headers: { authorization: `Bearer ${key}` } })
    await body.dump()
    if (statusCode === 200) latencies.push(performance.now() - sentAt)
    else otherAnswers.set(statusCode, (otherAnswers.get(statusCode) ?? 0) + 1)
  })
  await pool.close()
  return { latencies: latencies.sort((left, right) => left - right), otherAnswers }
}

/** Sends requests with a key at the due times. Returns the latencies in ms in ascending order. Throws on an answer other than 200. */
export async function generateLoad (origin: string, path: string, key: string, arrivals: readonly number[], method: 'GET' | 'POST' = 'GET'): Promise<number[]> {
  const { latencies, otherAnswers } = await sendLoad(origin, path, key, arrivals, method)
  if (otherAnswers.size > 0) throw new Error(`status ${[...otherAnswers.keys()].join(', ')} from ${origin}${path}`)
  return latencies
}

/** Starts a server in this process that answers each request after a fixed time. */
export function startTarget (): Promise<{ address: string, close: () => void }> {
  const server = createServer((incoming, response) => {
    incoming.resume()
    setTimeout(() => response.end('ok'), targetWorkMs)
  })
  server.keepAliveTimeout = 60_000
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => void server.close() }))
  })
}

/** Announces a target to its node. */
export async function announceTarget (node: Child, service: string, address: string): Promise<void> {
  const body = JSON.stringify({ service, address, slots: 200, connections: 200 })
  await fetch(`http://${node.addresses.local}/.dogwoodspring/target`, { method: 'PUT', body }).then((answer) => answer.text())
}

/** Configures a workspace whose rate no load reaches, with the routes `/near`, `/far` and `/order`. Returns its key. */
export async function configureWorkspace (cluster: Cluster): Promise<string> {
  const templateFile = join(cluster.folder, 't.json')
  const workspaceFile = join(cluster.folder, 'w.json')
  writeFileSync(templateFile, JSON.stringify(template))
  writeFileSync(workspaceFile, JSON.stringify({ template: 't' }))
  await cluster.runUntilSuccess('template', 'set', 't', '--file', templateFile)
  await cluster.runUntilSuccess('workspace', 'set', 'w', '--file', workspaceFile)
  const { key } = await cluster.runUntilSuccess('key', 'give', 'w') as { key: string }
  return key
}
