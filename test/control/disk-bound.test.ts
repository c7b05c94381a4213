import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRegistry, applyCommand } from '../../src/core/registry/index.ts'
import type { Command, Registry } from '../../src/core/registry/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import type { Snapshot } from '../../src/core/consensus/index.ts'
import { createGroup } from '../../src/core/control/group.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { openLogStore } from '../../src/core/storage/index.ts'
import { createMemoryDisk } from '../support/memory-disk.ts'
import type { MemoryDisk } from '../support/memory-disk.ts'

const changes = 100

/** Disk of a control instance, in bytes. */
const diskBytes = 256 * 1024 * 1024
const initial: Snapshot = { index: 0, term: 0, members: [{ id: 'a', address: '127.0.0.1:1', voter: true }], state: null }

function sizeOf (disk: MemoryDisk): number {
  return ['data/log', 'data/snapshot'].reduce((sum, path) => sum + (disk.contents(path)?.length ?? 0), 0)
}

/** Counts the largest size of the disk, with the copy that exists beside a file until it replaces it. */
function createMeasuredDisk (): { disk: MemoryDisk, largest: () => number } {
  const disk = createMemoryDisk()
  let largest = 0
  const { replace, append } = disk
  disk.replace = (path, content) => {
    largest = Math.max(largest, sizeOf(disk) + content.length)
    replace(path, content)
  }
  disk.append = (path, content) => {
    append(path, content)
    largest = Math.max(largest, sizeOf(disk))
  }
  return { disk, largest: () => largest }
}

/** Starts the only member of a group on a disk, as a process does. */
function startInstance (disk: MemoryDisk) {
  const opened = openLogStore(disk, 'data', initial)
  assert.ok(opened.ok, opened.ok ? '' : opened.message)
  let registry: Registry = createRegistry()
  const machine = {
    apply: (command: unknown) => applyCommand(registry, command as Command),
    save: () => JSON.stringify(registry),
    restore (state: string) {
      registry = JSON.parse(state) as Registry
    }
  }
  const environment = { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  return createGroup('a', opened.value.stored, opened.value.store, machine, () => {}, environment)
}

type Instance = ReturnType<typeof startInstance>

async function propose (group: Instance, command: Command): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt++) {
    const outcome = await group.propose(command)
    if (outcome.ok) return assert.equal((outcome.value as { ok: boolean }).ok, true)
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  assert.fail('a change was not accepted in time')
}

/** Largest source of a configuration. */
const source = 'x'.repeat(4 * 1024 * 1024)

function deploymentCommand (number: number): Command {
  const value = { version: number, workspaces: [], routes: [], services: [] }
  return { type: 'change', operator: 'o', at: 1, change: { kind: 'deployment', changeId: `d${number}`, name: 'current', value, source: `${number} ${source}` } } as unknown as Command
}

test('log and snapshots of any number of changes of the largest configuration fit the disk, over restarts and failed snapshots', { timeout: 120_000 }, async () => {
  const { disk, largest } = createMeasuredDisk()
  let group = startInstance(disk)
  for (let number = 1; number <= changes; number++) {
    if (number % 25 === 0) {
      group.close()
      disk.crash(0)
      group = startInstance(disk)
    }
    if (number % 20 === 0) {
      disk.faults = { failAfterBytes: 1000 }
      setTimeout(() => { disk.faults = {} }, 300)
      await new Promise(setImmediate)
    }
    await propose(group, deploymentCommand(number))
    await new Promise(setImmediate)
    assert.ok(largest() < diskBytes, `${largest()} bytes after ${number} changes`)
  }
  group.close()
})
