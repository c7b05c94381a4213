import { planMembershipChange, trackMissing } from '../../src/core/control/composition.ts'
import type { LiveInstance } from '../../src/core/control/composition.ts'
import type { Member } from '../../src/core/consensus/index.ts'

const stepMs = 100

/** Time after a start until gossip reports an instance, until a member has the log, and until a group that lost its leader has the next one, in milliseconds. */
const joinMs = 400
const replicationMs = 600
const electionMs = 1200

/** Longest time for which gossip reports an instance that no longer answers, in milliseconds: a probe that fails, and the suspicion. One that stops as planned says so. */
const detectionMs = 2900
const leaveMs = 200

/** Time that the platform gives an instance after its start, in milliseconds. */
export const catchUpMs = 4000

/** A machine of the control group. */
interface Machine extends LiveInstance {
  isGone: boolean
  /** Time from which and until which it does not answer. */
  silentFrom: number
  silentUntil: number
  /** Time until which gossip reports it though it is silent. */
  reportedUntil: number
  /** Whether many changes were committed since it fell silent. */
  isBehind: boolean
}

/** One disruption of the series. */
export interface Disruption {
  kind: 'replace' | 'replace-planned' | 'lose-disk' | 'freeze'
  /** Position of the victim among the machines that run; it is taken among voters or among others where there are any. */
  victim: number
  among: 'voters' | 'others' | 'all'
  /** Time from the loss to the start of the successor, or length of the freeze, in milliseconds. */
  afterMs: number
  /** Whether changes follow each other quickly meanwhile. */
  hasStorm: boolean
  /** Time beyond `catchUpMs` until the next disruption, in milliseconds. */
  pauseMs: number
}

/** A control group under a virtual clock, with the real plan of its member list. */
export interface SimulatedReplacements {
  /** Plays a disruption until its machine has had its time to catch up. */
  play: (disruption: Disruption) => void
  run: (ms: number) => void
  /** Returns why the loss of one more machine would leave the group without a quorum, or undefined. */
  weakness: () => string | undefined
  describe: () => string
  members: () => readonly Member[]
  running: () => number
}

function quorumOf (members: readonly Member[]): number {
  return Math.floor(members.filter(({ voter }) => voter).length / 2) + 1
}

/** Creates a group of `size` machines, of which the first three vote. */
export function createSimulatedReplacements (size: number, faultTolerance: number): SimulatedReplacements {
  const machines: Machine[] = []
  const memberSince = new Map<string, number>()
  const missingSince = new Map<string, number>()
  let now = 0
  let started = 0
  let leader: string | undefined
  let leaderless = 0

  const start = (address = `10.0.0.${started}:1`) => {
    const machine = { id: `m${started}`, address, startedAt: now, isGone: false, silentFrom: Infinity, silentUntil: Infinity, reportedUntil: Infinity, isBehind: false }
    started++
    machines.push(machine)
    return machine
  }
  for (let count = 0; count < size; count++) start()
  let members: Member[] = machines.slice(0, 3).map(({ id, address }) => ({ id, address, voter: true }))
  for (const { id } of members) memberSince.set(id, -replicationMs)

  const isSilent = ({ silentFrom, silentUntil }: Machine) => now >= silentFrom && now < silentUntil
  const find = (id: string) => machines.find((machine) => machine.id === id)
  const answers = (id: string) => {
    const machine = find(id)
    return machine !== undefined && !isSilent(machine)
  }
  const hasQuorum = (list: readonly Member[]) => list.filter(({ id, voter }) => voter && answers(id)).length >= quorumOf(list)
  const isReported = (machine: Machine) => machine.id === leader || (isSilent(machine) ? now < machine.reportedUntil : now >= machine.startedAt + joinMs)
  const isCaughtUp = (id: string) => {
    const machine = find(id)
    return machine !== undefined && !machine.isBehind && now >= (memberSince.get(id) ?? Infinity) + replicationMs
  }
  const elect = () => {
    if (leader !== undefined && answers(leader) && members.some(({ id, voter }) => voter && id === leader)) return
    leader = undefined
    leaderless += stepMs
    if (leaderless < electionMs || !hasQuorum(members)) return
    leader = members.find(({ id, voter }) => voter && answers(id))?.id
    leaderless = 0
    missingSince.clear()
  }
  const step = () => {
    now += stepMs
    for (const machine of machines) {
      if (!machine.isGone && now >= machine.silentUntil) Object.assign(machine, { silentFrom: Infinity, silentUntil: Infinity, isBehind: false })
    }
    elect()
    if (leader === undefined || !hasQuorum(members)) return
    const liveInstances = machines.filter(isReported)
    trackMissing(missingSince, members, liveInstances, now)
    const planned = planMembershipChange({ self: leader, members, liveInstances, missingSince, isCaughtUp, faultTolerance }, now)
    // A change that finds no quorum blocks the group: the list on the disks of its members counts, not the one before.
    if (planned === undefined) return
    for (const { id } of planned) if (!members.some((member) => member.id === id)) memberSince.set(id, now)
    members = planned
  }
  const run = (ms: number) => {
    for (const until = now + ms; now < until;) step()
  }
  const runningMachines = () => machines.filter((machine) => !machine.isGone && !isSilent(machine))
  const pickVictim = ({ victim, among }: Disruption) => {
    const running = runningMachines()
    const votes = (id: string) => members.some((member) => member.voter && member.id === id)
    const matching = running.filter(({ id }) => among === 'all' || votes(id) === (among === 'voters'))
    const candidates = matching.length > 0 ? matching : running
    return candidates[victim % candidates.length]
  }
  const silence = (machine: Machine, ms: number, noticedMs: number, hasStorm: boolean) => {
    Object.assign(machine, { silentFrom: now, silentUntil: now + ms, reportedUntil: now + noticedMs, isBehind: hasStorm })
  }
  const lose = (machine: Machine, noticedMs: number, hasStorm: boolean) => {
    silence(machine, Infinity, noticedMs, hasStorm)
    machine.isGone = true
  }
  return {
    play (disruption) {
      const machine = pickVictim(disruption)
      const { kind, afterMs, hasStorm, pauseMs } = disruption
      if (kind === 'freeze') silence(machine, afterMs, detectionMs, hasStorm)
      else if (kind !== 'replace-planned') lose(machine, detectionMs, hasStorm)
      else start()
      run(afterMs)
      if (kind === 'replace') start()
      if (kind === 'lose-disk') start(machine.address)
      if (kind === 'replace-planned') lose(machine, leaveMs, hasStorm)
      run(catchUpMs + pauseMs)
    },
    run,
    weakness () {
      const votes = members.filter(({ voter }) => voter)
      const live = votes.filter(({ id }) => answers(id))
      if (runningMachines().length < 3 || live.length - 1 >= quorumOf(members)) return undefined
      return `${live.length} of ${votes.length} voters run, of ${runningMachines().length} machines`
    },
    describe: () => members.map(({ id, voter }) => `${id}${voter ? '' : '?'}${answers(id) ? '' : '!'}`).join(' '),
    members: () => members,
    running: () => runningMachines().length
  }
}
