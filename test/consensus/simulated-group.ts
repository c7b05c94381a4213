import { createEffectRunner, createState, holdsLease, hasCommittedInTerm, step } from '../../src/core/consensus/index.ts'
import type { Effect, EffectRunner, Event, Member, Message, Snapshot, State } from '../../src/core/consensus/index.ts'
import { createRandom, sample } from '../../src/core/random/index.ts'
import type { Random } from '../../src/core/random/index.ts'
import { applyCommand, createRegistry } from '../../src/core/registry/index.ts'
import type { Command, Registry, Result } from '../../src/core/registry/index.ts'
import { openLogStore } from '../../src/core/storage/index.ts'
import type { LogStore } from '../../src/core/storage/index.ts'
import { createMemoryDisk } from '../support/memory-disk.ts'
import type { MemoryDisk } from '../support/memory-disk.ts'

const snapshotEvery = 20
const stepMs = 25
const storageRetryMs = 250

/** One instance: consensus state, log store and registry on an in-memory disk. */
export interface Instance {
  id: string
  disk: MemoryDisk
  state: State
  store: LogStore
  registry: Registry
  applied: number
  appliedTerm: number
  members: Member[]
  up: boolean
  runner: EffectRunner
  /** Time of the test at which its process started. Its monotonic clock starts again at 0 with each process. */
  startedAt: number
  /** Time of the test until which its process stands still; what arrives meanwhile waits. */
  frozenUntil: number
}

interface Packet {
  from: string
  to: string
  message: Message
  dueAt: number
}

/** A group of instances under a virtual clock, on a network that loses, duplicates and delays messages. */
export interface SimulatedGroup {
  instances: Map<string, Instance>
  now: () => number
  /** Advances the virtual clock and processes messages and ticks. */
  run: (ms: number) => void
  propose: (id: string, proposal: string, command: Command) => void
  changeMembers: (id: string, members: Member[]) => void
  /** Asks an instance to confirm that it still leads. A confirmation must cover everything acknowledged by now. */
  read: (id: string, read: string) => void
  /** Lets the process of an instance stand still. */
  freeze: (id: string, ms: number) => void
  /** Stops an instance. Of the unsynced data, only the fraction `keep` remains on its disk. */
  crash: (id: string, keep: number) => void
  restart: (id: string) => void
  /** Makes room on the disk of an instance, which then writes again by itself. */
  makeRoom: (id: string) => void
  /** Adds an instance with an empty disk that is not a member yet. */
  join: (id: string) => void
  /** Splits the network: only instances within one set reach each other. */
  partition: (sets: readonly string[][]) => void
  heal: () => void
  loss: (probability: number) => void
  leader: () => Instance | undefined
  /** Results of acknowledged proposals, by proposal id. */
  acknowledged: Map<string, Result>
  /** Ids of confirmed reads. */
  confirmed: Set<string>
  violations: string[]
}

/** Creates a group whose instances are all voters. */
export function createSimulatedGroup (ids: readonly string[], seed: number): SimulatedGroup {
  const random: Random = createRandom(seed)
  const initialMembers = ids.map((id) => ({ id, address: id, voter: true }))
  const instances = new Map<string, Instance>()
  const acknowledged = new Map<string, Result>()
  const leaders = new Map<number, string>()
  const appliedEntries = new Map<number, string>()
  const violations: string[] = []
  const confirmed = new Set<string>()
  /** Index of the newest acknowledged entry, and what it was when a read began. */
  let acknowledgedIndex = 0
  const readFloors = new Map<string, number>()
  let packets: Packet[] = []
  let partitionSets: readonly string[][] | undefined
  let lossProbability = 0
  let now = 0

  const boot = (id: string, disk: MemoryDisk, members: Member[]): Instance => {
    const initial: Snapshot = { index: 0, term: 0, members, state: null }
    const opened = openLogStore(disk, id, initial)
    if (!opened.ok) throw new Error(opened.message)
    const { store, stored, fresh } = opened.value
    if (fresh) store.saveSnapshot(initial, stored.hardState, [])
    const registry = stored.snapshot.state === null ? createRegistry() : JSON.parse(stored.snapshot.state as string) as Registry
    const { index, term } = stored.snapshot
    const state = createState(id, stored, 0, random)
    const runner = createEffectRunner(store, () => state.hardState, (effect) => runEffect(instance, effect))
    const instance: Instance = { id, disk, state, store, registry, applied: index, appliedTerm: term, members: stored.snapshot.members, up: true, runner, startedAt: now, frozenUntil: 0 }
    return instance
  }
  for (const id of ids) instances.set(id, boot(id, createMemoryDisk(), initialMembers))

  const canReach = (from: string, to: string) => partitionSets === undefined || partitionSets.some((set) => set.includes(from) && set.includes(to))
  const send = (from: string, to: string, message: Message) => {
    const copies = random.next() < 0.05 ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      if (random.next() < lossProbability) continue
      packets.push({ from, to, message: structuredClone(message), dueAt: now + 1 + random.below(copy === 0 ? 10 : 400) })
    }
  }
  const isRunning = ({ up, frozenUntil }: Instance) => up && now >= frozenUntil
  const clockOf = ({ startedAt }: Instance) => now - startedAt
  const advance = (instance: Instance, event: Event) => {
    if (!isRunning(instance) || instance.runner.failure() !== undefined) return
    instance.runner.run(step(instance.state, event, clockOf(instance), random))
    recordLeader(instance)
  }
  const leads = (instance: Instance) => isRunning(instance) && instance.runner.failure() === undefined && holdsLease(instance.state, clockOf(instance)) && hasCommittedInTerm(instance.state)
  /** An instance must not hold its lease once another has committed an entry in a later term without it. */
  const checkLeases = () => {
    for (const holder of instances.values()) {
      if (!leads(holder)) continue
      const { term } = holder.state.hardState
      for (const { id, state, up } of instances.values()) {
        const violation = `${holder.id} holds its lease of term ${term} while ${id} commits in term ${state.hardState.term}`
        if (up && state.hardState.term > term && hasCommittedInTerm(state) && !violations.includes(violation)) violations.push(violation)
      }
    }
  }
  const recordLeader = ({ id, state }: Instance) => {
    if (state.role !== 'leader') return
    const known = leaders.get(state.hardState.term)
    if (known !== undefined && known !== id) violations.push(`${known} and ${id} lead term ${state.hardState.term}`)
    leaders.set(state.hardState.term, id)
  }
  const runEffect = (instance: Instance, effect: Effect) => {
    if (effect.type === 'snapshot' && effect.restore) restore(instance, effect.snapshot)
    if (effect.type === 'send') send(instance.id, effect.to, effect.message)
    if (effect.type === 'apply') apply(instance, effect)
    if (effect.type === 'confirm') confirm(instance, effect.id)
  }
  const confirm = (instance: Instance, read: string) => {
    confirmed.add(read)
    const floor = readFloors.get(read) ?? 0
    if (instance.applied < floor) violations.push(`${instance.id} confirmed ${read} at ${instance.applied}, though ${floor} was acknowledged before it`)
  }
  const restore = (instance: Instance, snapshot: Snapshot) => {
    instance.registry = JSON.parse(snapshot.state as string) as Registry
    Object.assign(instance, { applied: snapshot.index, appliedTerm: snapshot.term, members: snapshot.members })
  }
  const apply = (instance: Instance, { entry }: Extract<Effect, { type: 'apply' }>) => {
    const name = `${entry.term}/${entry.id}`
    const known = appliedEntries.get(entry.index)
    if (known !== undefined && known !== name) violations.push(`${known} and ${name} were both applied at ${entry.index}`)
    if (entry.index !== instance.applied + 1) violations.push(`${instance.id} applied ${entry.index} after ${instance.applied}`)
    appliedEntries.set(entry.index, name)
    instance.applied = entry.index
    instance.appliedTerm = entry.term
    if (entry.payload.type === 'members') instance.members = entry.payload.members
    if (entry.payload.type !== 'command') return
    const result = applyCommand(instance.registry, entry.payload.command as Command)
    if (instance.state.role === 'leader' && entry.term === instance.state.hardState.term) {
      acknowledged.set(entry.id, result)
      acknowledgedIndex = Math.max(acknowledgedIndex, entry.index)
    }
  }
  const compact = (instance: Instance) => {
    if (instance.applied - instance.state.snapshot.index < snapshotEvery) return
    const { applied: index, appliedTerm: term, members } = instance
    advance(instance, { type: 'compact', snapshot: { index, term, members, state: JSON.stringify(instance.registry) } })
  }
  const deliver = () => {
    const isDue = ({ to, dueAt }: Packet) => dueAt <= now && (instances.get(to)?.frozenUntil ?? 0) <= now
    // What waited for an instance that stood still arrived on several connections, which it reads in any order.
    const due = sample(random, packets.filter(isDue), packets.length)
    packets = packets.filter((packet) => !isDue(packet))
    for (const { from, to, message } of due) {
      const instance = instances.get(to)
      if (instance !== undefined && canReach(from, to)) advance(instance, { type: 'message', from, message })
    }
  }
  return {
    instances,
    now: () => now,
    run (ms) {
      const until = now + ms
      while (now < until) {
        now += 5
        deliver()
        if (now % stepMs !== 0) continue
        for (const instance of instances.values()) {
          if (instance.up && instance.runner.failure() !== undefined && now % storageRetryMs === 0) instance.runner.retry()
          advance(instance, { type: 'tick' })
          compact(instance)
        }
        checkLeases()
      }
    },
    propose (id, proposal, command) {
      const instance = instances.get(id)
      if (instance !== undefined) advance(instance, { type: 'propose', id: proposal, command })
    },
    changeMembers (id, members) {
      const instance = instances.get(id)
      if (instance !== undefined) advance(instance, { type: 'change-members', id: '', members })
    },
    read (id, read) {
      const instance = instances.get(id)
      readFloors.set(read, acknowledgedIndex)
      if (instance !== undefined) advance(instance, { type: 'read', id: read })
    },
    freeze (id, ms) {
      const instance = instances.get(id)
      if (instance !== undefined) instance.frozenUntil = now + ms
    },
    crash (id, keep) {
      const instance = instances.get(id)
      if (instance === undefined) return
      instance.up = false
      instance.disk.crash(keep)
    },
    restart (id) {
      const instance = instances.get(id)
      if (instance === undefined || (instance.up && instance.runner.failure() === undefined)) return
      instance.disk.faults = {}
      instances.set(id, boot(id, instance.disk, initialMembers))
    },
    makeRoom (id) {
      const instance = instances.get(id)
      if (instance !== undefined) instance.disk.faults = { ...instance.disk.faults, failAfterBytes: undefined }
    },
    join (id) {
      instances.set(id, boot(id, createMemoryDisk(), []))
    },
    partition (next) {
      partitionSets = next
    },
    heal () {
      partitionSets = undefined
      lossProbability = 0
    },
    loss (probability) {
      lossProbability = probability
    },
    leader () {
      for (const instance of instances.values()) {
        if (leads(instance)) return instance
      }
      return undefined
    },
    acknowledged,
    confirmed,
    violations
  }
}
