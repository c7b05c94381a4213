import assert from 'node:assert/strict'
import { test } from 'node:test'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCrashReporter } from '../../src/core/node/crashes.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import { createPeers } from '../../src/core/peers/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { applyCommand, configurationOf, createRegistry } from '../../src/core/registry/index.ts'

const service = 's'
const published = { service, slots: 4, connections: 6, state: 'up' as const, startedAt: 1 }
const endedTarget = { current: () => published, probe: () => Promise.resolve(false) } as unknown as OwnTarget
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
