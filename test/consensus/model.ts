import { createState, step } from '../../src/core/consensus/index.ts'
import type { Effect, Entry, Event, HardState, Message, Snapshot, State } from '../../src/core/consensus/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { Model, Step } from '../support/explore.ts'

const ids = ['a', 'b', 'c']
const longAgo = -1e9

/** Durable data of one instance. */
interface Disk {
  hardState: HardState
  entries: Entry[]
}

interface Packet {
  from: string
  to: string
  message: Message
}

/** State of the model: three instances, the messages in transit, and the history that the invariants need. */
export interface Group {
  states: Record<string, State>
  disks: Record<string, Disk>
  packets: Packet[]
  /** Leaders by term. */
  leaders: Record<number, string>
  /** Applied entries by index. */
  applied: Record<number, string>
  elections: number
  proposals: number
  crashes: number
  violation?: string
}

/** Bounds of the search, and an optional fault to inject. */
export interface Bounds {
  elections: number
  proposals: number
  crashes: number
  packets: number
  /** Runs send effects before save effects. */
  sendBeforeSave?: boolean
}

const initialSnapshot: Snapshot = { index: 0, term: 0, members: ids.map((id) => ({ id, address: id, voter: true })), state: null }

function boot (id: string, disk: Disk): State {
  const stored = structuredClone({ hardState: disk.hardState, snapshot: initialSnapshot, entries: disk.entries })
  return resetTimes(createState(id, stored, 0, createRandom(1)))
}

/** Removes time from the model: elections may start at any moment, and no instance refuses a vote on account of a recent leader. */
function resetTimes (state: State): State {
  return Object.assign(state, { electionDueAt: 0, heartbeatDueAt: 0, leaderMessageAt: longAgo })
}

function createGroup (): Group {
  const disks = Object.fromEntries(ids.map((id) => [id, { hardState: { term: 0, votedFor: null }, entries: [] }]))
  const states = Object.fromEntries(ids.map((id) => [id, boot(id, disks[id])]))
  return { states, disks, packets: [], leaders: {}, applied: {}, elections: 0, proposals: 0, crashes: 0 }
}

function entryName (entry: Entry): string {
  return `${entry.term}/${entry.id}`
}

function save (disk: Disk, effect: Extract<Effect, { type: 'save' }>): void {
  if (effect.hardState !== undefined) disk.hardState = effect.hardState
  if (effect.entries === undefined || effect.entries.length === 0) return
  disk.entries = [...disk.entries.slice(0, effect.entries[0].index - 1), ...structuredClone(effect.entries)]
}

function apply (group: Group, id: string, entry: Entry): void {
  const known = group.applied[entry.index]
  if (known !== undefined && known !== entryName(entry)) group.violation = `two entries were applied at ${entry.index}: ${known} and ${entryName(entry)}`
  group.applied[entry.index] = entryName(entry)
  const copies = ids.filter((other) => group.disks[other].entries.some((stored) => stored.index === entry.index && entryName(stored) === entryName(entry)))
  if (copies.length < 2) group.violation = `${id} applied entry ${entry.index}, which only ${copies.length} disks hold`
}

/** Runs the first `count` effects and records the leader of the term. */
function runEffects (group: Group, id: string, effects: readonly Effect[], count: number, maxPackets: number): void {
  for (const effect of effects.slice(0, count)) {
    if (effect.type === 'save') save(group.disks[id], effect)
    if (effect.type === 'apply') apply(group, id, effect.entry)
    if (effect.type === 'send' && group.packets.length < maxPackets) {
      group.packets.push(structuredClone({ from: id, to: effect.to, message: effect.message }))
    }
  }
  const { role, hardState } = group.states[id]
  if (role !== 'leader') return
  const known = group.leaders[hardState.term]
  if (known !== undefined && known !== id) group.violation = `${known} and ${id} lead term ${hardState.term}`
  group.leaders[hardState.term] = id
}

function orderEffects (effects: Effect[], bounds: Bounds): Effect[] {
  if (bounds.sendBeforeSave !== true) return effects
  return [...effects.filter((effect) => effect.type !== 'save'), ...effects.filter((effect) => effect.type === 'save')]
}

/** Yields the state after an event and, within the bound on crashes, the states after a crash between its effects. */
function * outcomes (group: Group, action: string, id: string, event: Event, bounds: Bounds): Iterable<Step<Group>> {
  const base = structuredClone(group)
  const effects = orderEffects(step(base.states[id], event, 0, createRandom(1)), bounds)
  resetTimes(base.states[id])
  const completed = structuredClone(base)
  runEffects(completed, id, effects, effects.length, bounds.packets)
  yield { action, reach: () => completed }
  if (group.crashes >= bounds.crashes) return
  for (let count = 0; count <= effects.length; count++) {
    const crashed = structuredClone(base)
    runEffects(crashed, id, effects, count, bounds.packets)
    crashed.states[id] = boot(id, crashed.disks[id])
    crashed.crashes++
    yield { action: `${action}, crash after ${count} effects`, reach: () => crashed }
  }
}

function * actions (group: Group, bounds: Bounds): Iterable<Step<Group>> {
  for (const [position, packet] of group.packets.entries()) {
    const rest = { ...group, packets: group.packets.filter((_, index) => index !== position) }
    const event: Event = { type: 'message', from: packet.from, message: packet.message }
    yield * outcomes(rest, `${packet.to} receives ${packet.message.type} from ${packet.from}`, packet.to, event, bounds)
    yield { action: `lose ${packet.message.type} to ${packet.to}`, reach: () => rest }
  }
  for (const id of ids) {
    const { role, hardState } = group.states[id]
    if (group.elections < bounds.elections && role !== 'leader') {
      const event: Event = { type: 'message', from: id, message: { type: 'timeout-now', term: hardState.term } }
      yield * outcomes({ ...group, elections: group.elections + 1 }, `${id} starts an election`, id, event, bounds)
    }
    if (role === 'leader' && group.proposals < bounds.proposals) {
      const event: Event = { type: 'propose', id: `p${group.proposals}`, command: null }
      yield * outcomes({ ...group, proposals: group.proposals + 1 }, `${id} receives proposal p${group.proposals}`, id, event, bounds)
    }
  }
}

/** Creates a model of the consensus core as a bounded graph of states. */
export function createModel (bounds: Bounds): Model<Group> {
  return {
    initial: createGroup(),
    next: (group) => actions(group, bounds),
    check: (group) => group.violation
  }
}
