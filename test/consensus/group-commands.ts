import assert from 'node:assert/strict'
import fc from 'fast-check'
import { verifyAudit } from '../../src/core/registry/index.ts'
import type { Command as RegistryCommand, Result } from '../../src/core/registry/index.ts'
import { createSimulatedGroup } from './simulated-group.ts'
import type { SimulatedGroup } from './simulated-group.ts'

export const ids = ['a', 'b', 'c']

/** Record of the proposals, to compare with the state of the group. */
export interface Oracle {
  proposals: number
  /** Change ids by the proposals that carry them. */
  changeIdByProposal: Map<string, string>
  down: number
}

type Step = fc.Command<Oracle, SimulatedGroup>

const template = { routes: [{ name: 'r', method: 'GET', path: '/r', service: 's', priority: 'normal', open: false, timeoutMs: 1000 }], parameters: {} }

/** Creates a change of a template, with or without an expected revision. */
function createChange (changeNumber: number, name: string, expectRevision: number | undefined, at: number): RegistryCommand {
  const change = { kind: 'template', changeId: `change-${changeNumber}`, name, value: template, expectRevision }
  return { type: 'change', operator: `operator-${changeNumber % 2}`, at, change } as unknown as RegistryCommand
}

function propose (changeNumber: number, name: string, expectRevision: number | undefined, viaLeader: boolean): Step {
  return {
    check: () => true,
    run (oracle, group) {
      const id = viaLeader ? group.leader()?.id : ids[changeNumber % ids.length]
      if (id === undefined) return
      const proposal = `p${++oracle.proposals}`
      oracle.changeIdByProposal.set(proposal, `change-${changeNumber}`)
      group.propose(id, proposal, createChange(changeNumber, name, expectRevision, group.now()))
    },
    toString: () => `propose(change-${changeNumber}, ${name}, ${expectRevision}, ${viaLeader ? 'leader' : 'any'})`
  }
}

function createStep (name: string, run: (group: SimulatedGroup, oracle: Oracle) => void): Step {
  return { check: () => true, run: (oracle, group) => run(group, oracle), toString: () => name }
}

const instanceId = fc.constantFrom(...ids)

const proposals = fc.tuple(
  fc.integer({ min: 0, max: 400 }), fc.constantFrom('x', 'y', 'z'), fc.option(fc.integer({ min: 0, max: 12 }), { nil: undefined }), fc.boolean()
).map(([number, name, expected, viaLeader]) => propose(number, name, expected, viaLeader))

const restartAll = createStep('restartAll()', (group) => {
  for (const id of ids) group.restart(id)
  group.heal()
  group.run(3000)
})

/** Operator proposals, the passage of time and faults. Repeated elements are generated more often. */
export const steps = [
  ...Array.from({ length: 8 }, () => proposals),
  ...Array.from({ length: 3 }, () => fc.constant(restartAll)),
  fc.integer({ min: 5, max: 60 }).map((ms) => createStep(`run(${ms})`, (group) => group.run(ms))),
  fc.integer({ min: 1, max: 400 }).map((ms) => createStep(`run(${ms})`, (group) => group.run(ms))),
  fc.integer({ min: 1000, max: 6000 }).map((ms) => createStep(`run(${ms})`, (group) => group.run(ms))),
  fc.tuple(instanceId, fc.double({ min: 0, max: 1, noNaN: true })).map(([id, keep]) => createStep(`crash(${id}, ${keep})`, (group) => group.crash(id, keep))),
  instanceId.map((id) => createStep(`restart(${id})`, (group) => group.restart(id))),
  fc.tuple(instanceId, fc.integer({ min: 100, max: 7000 })).map(([id, ms]) => createStep(`freeze(${id}, ${ms})`, (group) => group.freeze(id, ms))),
  fc.tuple(instanceId, fc.nat(1e6)).map(([id, number]) => createStep(`read(${id}, ${number})`, (group) => group.read(id, `r${number}`))),
  fc.nat(1e6).map((number) => createStep(`readAtLeader(${number})`, (group) => group.read(group.leader()?.id ?? ids[0], `r${number}`))),
  fc.integer({ min: 0, max: 600 }).map((ms) => createStep(`restartLeader(${ms})`, (group) => {
    const id = group.leader()?.id
    if (id === undefined) return
    group.crash(id, 1)
    group.run(ms)
    group.restart(id)
  })),
  instanceId.map((id) => createStep(`cutOff(${id})`, (group) => group.partition([ids.filter((other) => other !== id), [id]]))),
  fc.constant(createStep('cutAll()', (group) => group.partition(ids.map((id) => [id])))),
  fc.constant(createStep('heal()', (group) => group.heal())),
  fc.double({ min: 0, max: 0.4, noNaN: true }).map((probability) => createStep(`loss(${probability})`, (group) => group.loss(probability))),
  fc.tuple(instanceId, fc.integer({ min: 0, max: 300 })).map(([id, bytes]) => createStep(`diskFull(${id}, ${bytes})`, (group) => {
    const found = group.instances.get(id)
    if (found !== undefined) found.disk.faults = { ...found.disk.faults, failAfterBytes: bytes }
  })),
  instanceId.map((id) => createStep(`makeRoom(${id})`, (group) => group.makeRoom(id)))
]

/** Restarts all instances, waits, and compares every replica with the acknowledged results. */
export function settleAndCompare (oracle: Oracle, group: SimulatedGroup): void {
  group.heal()
  for (const id of ids) {
    group.freeze(id, 0)
    group.crash(id, 0)
    group.restart(id)
  }
  group.run(15_000)
  assert.deepEqual(group.violations, [])
  const leader = group.leader()
  assert.ok(leader, 'a healed group has a leader')
  const results = new Map<string, Result>()
  for (const [proposal, result] of group.acknowledged) {
    const changeId = oracle.changeIdByProposal.get(proposal)
    if (changeId === undefined) continue
    const previous = results.get(changeId)
    if (!result.ok && result.code === 'changeIdReused') continue
    assert.deepEqual(previous ?? result, result, `${changeId} got two results`)
    results.set(changeId, result)
    assert.deepEqual(leader.registry.answered[changeId]?.result, result, `the result of ${changeId} was lost`)
  }
  for (const { id, registry } of group.instances.values()) {
    assert.deepEqual(JSON.parse(JSON.stringify(registry)), JSON.parse(JSON.stringify(leader.registry)), `${id} differs from the leader`)
  }
  assert.equal(verifyAudit(leader.registry.audit).ok, true)
  const applied = leader.registry.audit.filter((entry) => entry.accepted).map((entry) => entry.changeId)
  assert.equal(new Set(applied).size, applied.length, 'a change id was applied twice')
  assert.equal(leader.registry.revision, applied.length)
}

/** Creates the property that no acknowledged change is lost, reverted or applied twice. */
export function groupProperty (maxCommands: number, injectFault?: (group: SimulatedGroup) => void): fc.IPropertyWithHooks<[Iterable<Step>, number]> {
  return fc.property(fc.commands(steps, { maxCommands, size: 'max' }), fc.integer(), (commands, seed) => {
    const oracle: Oracle = { proposals: 0, changeIdByProposal: new Map(), down: 0 }
    const group = createSimulatedGroup(ids, seed)
    injectFault?.(group)
    group.run(4000)
    fc.modelRun(() => ({ model: oracle, real: group }), commands)
    settleAndCompare(oracle, group)
  })
}
