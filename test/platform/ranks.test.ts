import assert from 'node:assert/strict'
import { join } from 'node:path'
import { test } from 'node:test'
import { configuration, createMachines, eventually } from './machines.ts'
import type { Machines, Program } from './machines.ts'
import { echo } from './stopping.ts'

/** Calls at once to a server with 4 slots and a queue of 8. */
const callCount = 24

/** Lets the server beside sidecar 1 work on one request of rank 3, overloads another server with calls from that machine, and returns the ranks of those shed, in the log and in the counters. */
async function ranksOfShedCalls (env: Record<string, string>): Promise<{ shed: Set<string>, counted: Set<string> }> {
  const machines = await createMachines()
  const program: Program = { arguments: ['--import', 'tsx', join(import.meta.dirname, '../../platform/main.ts')], env }
  try {
    for (const number of [1, 2, 3]) machines.startCore(number, true)
    const caller = await machines.startSidecar(1, 'front', undefined, program)
    const callee = await machines.startSidecar(2, 'shop', undefined, program)
    await eventually(async () => await caller.sendHeartbeat('ready') === 200 && await callee.sendHeartbeat('ready') === 200)
    const document = configuration(3, 'shop') as { clusters: object[], listeners: Array<{ routeRules: Array<{ action: object }> }> }
    const [listener] = document.listeners
    const [rule] = listener.routeRules
    const inner = { ...rule, name: 'inner', public: true, match: { pathPrefix: '/open/' } }
    const outer = { ...rule, name: 'outer', priority: 3, match: { pathPrefix: '/own/' }, action: { ...rule.action, service: 'front' } }
    const clusters = [...document.clusters, { ...document.clusters[0], name: 'front' }]
    await eventually(async () => (await machines.replaceConfiguration(1, '0', { ...document, clusters, listeners: [{ ...listener, routeRules: [rule, inner, outer] }] })).status === 200)
    await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
    caller.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end(), 2500))
    callee.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end(), 500))
    const running = machines.send(1, '/own/x', { 'x-dogwoodspring-request-id': 'outer' })
    await eventually(async () => caller.received.length > 0)
    await Promise.all(Array.from({ length: callCount }, (_, index) => machines.sendFromMachine(1, '/open/x', { 'x-dogwoodspring-request-id': `c-${index}`, 'x-dogwoodspring-key': '' })))
    assert.equal((await running).status, 200)
    const shed = new Set(shedLines(machines).map(({ priority, rank }) => `${priority} ${rank}`))
    const metrics = await (await fetch(`http://${machines.sidecarIp(2)}:${machines.peerPort + 1}/metrics`)).text()
    return { shed, counted: new Set([...metrics.matchAll(/^dogwoodspring_waited_total\{outcome="shed",(.*)\} [1-9]/gm)].map(([, labels]) => labels)) }
  } finally {
    await machines.stop()
  }
}

function shedLines (machines: Machines): Array<Record<string, unknown>> {
  const lines = machines.logOf('sidecar-2').trimEnd().split('\n').map((line) => (JSON.parse(line) as { details?: Record<string, unknown> }).details ?? {})
  return lines.filter(({ event }) => event === 'call_shed')
}

test('a call in progress bears the rank of the request that its machine works on', async () => {
  assert.deepEqual(await ranksOfShedCalls({}), { shed: new Set(['-1 3']), counted: new Set(['group="in-progress",rank="3"']) })
})

test('without ranked waiting a call in progress bears the priority of its own route', async () => {
  assert.deepEqual(await ranksOfShedCalls({ DOGWOODSPRING_RANKED_WAITING: 'false' }), { shed: new Set(['-1 0']), counted: new Set(['group="in-progress",rank="0"']) })
})
