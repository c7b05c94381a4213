import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCrashReporter } from '../../src/core/node/crashes.ts'
import type { CrashReporter } from '../../src/core/node/crashes.ts'
import { createOwnTarget } from '../../src/core/node/target.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import { createPeers } from '../../src/core/peers/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { applyCommand, configurationOf, createRegistry } from '../../src/core/registry/index.ts'

const service = 's'
const published = { service, slots: 4, connections: 6, state: 'up' as const, startedAt: 1 }
const endedTarget = { current: () => published, mayEnd: () => false, probe: () => Promise.resolve(false) } as unknown as OwnTarget
const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }

function join (id: string, role: 'control' | 'node', seeds: string[]): Promise<Peers> {
  return createPeers({ id, boot: `${id}-1`, role, domain: 'd', address: '127.0.0.1:0', seeds, secrets: ['secret'] }, environment)
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10))
}

/** Records reported crashes as a leader does, after some refusals, but publishes no beacon: none of the new revisions is announced. */
function recordCrashes (control: Peers, refusals = 0): void {
  const registry = createRegistry()
  control.rpcServer.method('control.crash', ({ fingerprints, target }: { fingerprints: string[], target: string }) => {
    if (refusals-- > 0) return { ok: false }
    applyCommand(registry, { type: 'crash', at: clock.date().getTime(), fingerprints, target })
    control.installConfiguration(configurationOf(registry), registry.deltas)
    return { ok: true, banRevision: fingerprints.some((fingerprint) => registry.bans[fingerprint] !== undefined) ? registry.revision : undefined }
  })
}

/** Runs `use` with a control instance, two nodes whose targets have ended, and a third node of the same service, which know each other. */
async function withNodes (use: (ended: [Peers, Peers], third: Peers, control: Peers) => Promise<void>): Promise<void> {
  const control = await join('c', 'control', [])
  const nodes = await Promise.all(['n1', 'n2', 'n3'].map((id) => join(id, 'node', [control.address])))
  try {
    recordCrashes(control)
    for (const node of nodes) node.setTarget(published)
    await until(() => nodes.every((node) => node.members().length === 4 && node.members().filter(({ target }) => target !== undefined).length === 3))
    await use([nodes[0], nodes[1]], nodes[2], control)
  } finally {
    for (const peers of [control, ...nodes]) await peers.close()
  }
}

test('a ban is in force at the other nodes of the service when the second crash is reported to the caller', { timeout: 20_000 }, () => withNodes(async ([first, second], third) => {
  assert.equal(await createCrashReporter(first, endedTarget, environment).checkForCrash('f'), true)
  assert.deepEqual(Object.keys(third.configuration().bans), [], 'one crash bans nothing')
  assert.equal(await createCrashReporter(second, endedTarget, environment).checkForCrash('f'), true)
  for (const node of [first, second, third]) assert.deepEqual(Object.keys(node.configuration().bans), ['f'])
}))

test('a node that does not answer delays the report of a crash, but not without end', { timeout: 20_000 }, () => withNodes(async ([first, second], third) => {
  third.rpcServer.method('config.obtain', () => new Promise(() => {}))
  await createCrashReporter(first, endedTarget, environment).checkForCrash('f')
  const startedAt = clock.now()
  assert.equal(await createCrashReporter(second, endedTarget, environment).checkForCrash('f'), true)
  assert.ok(clock.now() - startedAt < 2500, `${clock.now() - startedAt} ms`)
  assert.deepEqual(Object.keys(first.configuration().bans), ['f'])
}))

test('a report that no control instance accepts is repeated', { timeout: 20_000 }, () => withNodes(async ([first, second], third, control) => {
  recordCrashes(control, 2)
  await createCrashReporter(first, endedTarget, environment).checkForCrash('f')
  await createCrashReporter(second, endedTarget, environment).checkForCrash('f')
  assert.deepEqual(Object.keys(third.configuration().bans), ['f'])
}))

const drainMs = 50

/** Runs `use` with the crash reporter of a node whose target listens, and a function that ends the target. */
async function withLiveTarget (peers: Peers, use: (reporter: CrashReporter, target: OwnTarget, end: () => void, sockets: Set<Socket>) => Promise<void>): Promise<void> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket.on('error', () => {}))
    socket.resume()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const end = () => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  const target = createOwnTarget(peers, environment, { drainMs, adaptiveLimit: false })
  const reporter = createCrashReporter(peers, target, environment)
  try {
    target.announce(announcement(server.address() as AddressInfo, 1))
    await use(reporter, target, end, sockets)
  } finally {
    reporter.close()
    end()
    await target.close()
  }
}

function announcement ({ port }: AddressInfo, sequence: number, state: 'up' | 'leaving' = 'up') {
  return { service, address: `127.0.0.1:${port}`, slots: 4, connections: 6, state, incarnation: { instance: 'i', bornAt: 1, sequence } }
}

const bansOf = (peers: Peers) => Object.keys(peers.configuration().bans)

test('a request whose callers left before it ended two targets is banned', { timeout: 20_000 }, () => withNodes(async (nodes, third) => {
  for (const node of nodes) {
    await withLiveTarget(node, async (reporter, target, end) => {
      reporter.recordAbandoned('f', clock.now() + 1000)
      await pause(200)
      end()
      await until(() => target.current()?.state === 'down')
      await pause(300)
    })
  }
  await until(() => bansOf(third).includes('f'))
}))

test('a target that only closes an idle connection counts as no crash', { timeout: 20_000 }, () => withNodes(async ([node], _, control) => {
  await withLiveTarget(node, async (reporter, target, _end, sockets) => {
    reporter.recordAbandoned('f', clock.now() + 1000)
    await until(() => sockets.size > 0)
    for (const socket of sockets) socket.destroy()
    await pause(400)
    assert.equal(target.current()?.state, 'up')
  })
  assert.equal(control.configuration().revision, 0)
}))

test('a target that ends after its drain bans no request that ran there', { timeout: 20_000 }, () => withNodes(async (nodes, _, control) => {
  for (const node of nodes) {
    await withLiveTarget(node, async (reporter, target, end, sockets) => {
      reporter.recordAbandoned('f', clock.now() + 1000)
      await until(() => sockets.size > 0)
      target.withdraw('i', 1)
      await pause(2 * drainMs)
      end()
      assert.equal(await reporter.checkForCrash('g'), true)
    })
  }
  assert.equal(control.configuration().revision, 0)
}))

test('a request that was abandoned long before the end of its target is not banned for it', { timeout: 20_000 }, () => withNodes(async (nodes, _, control) => {
  for (const node of nodes) {
    await withLiveTarget(node, async (reporter, _target, end) => {
      reporter.recordAbandoned('f', clock.now() - 60_000)
      end()
      await reporter.checkForCrash('g')
    })
  }
  assert.deepEqual(bansOf(control), ['g'])
}))
