import type { Server } from 'node:http'
import { randomId } from '../auth/index.ts'
import type { Hash } from '../claims/index.ts'
import { scopes } from '../config/index.ts'
import type { Change } from '../config/index.ts'
import { holdsLease, hasCommittedInTerm, membersOf, totalBytes } from '../consensus/index.ts'
import type { Message, Snapshot } from '../consensus/index.ts'
import { succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import { beaconIntervalMs } from '../freshness/index.ts'
import { closeServer, listen } from '../http/index.ts'
import { createPeers } from '../peers/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { createProcessorMeter, loopBusyMs } from '../processor/index.ts'
import { applyCommand, configurationOf, createRegistry } from '../registry/index.ts'
import type { Command, Registry } from '../registry/index.ts'
import { createDisk, lockFolder, openLogStore } from '../storage/index.ts'
import { handleAdmin } from './admin.ts'
import { createAdminServer, credentialHash } from './api.ts'
import { createForward } from './forward.ts'
import { reconcileMembers } from './reconcile.ts'
import { createGroup } from './group.ts'
import type { Group, SendMessage } from './group.ts'
import { openIdentity } from './identity.ts'
import { startRateGrants } from './rates.ts'
import { createNodeReports } from './reports.ts'
import type { NodeReport } from './reports.ts'
import { createHolderWatch, observeFleet, planSlots } from './housekeeping.ts'
import type { AdminAnswer, AdminRequest, ControlOptions } from './types.ts'

const messageTimeoutMs = 1000
const housekeepingMs = 500
const transferWaitMs = 400

/** A running control instance. */
export interface Control {
  peerAddress: string
  adminAddress: string
  /** Handles a request of an operator whom another part of this process has already authenticated. */
  administer: (operator: string, request: Omit<AdminRequest, 'credential' | 'vouchedFor'>) => Promise<AdminAnswer>
  /** Transfers leadership, completes running requests and stops the instance. */
  stop: () => Promise<void>
}

/** Starts a control instance. Fails when the data folder is locked or its content is corrupt. */
export async function startControl (options: ControlOptions, environment: Environment, hash: Hash): Promise<Outcome<Control>> {
  const { clock, log, metrics } = environment
  const startedAt = clock.now() - process.uptime() * 1000
  const disk = createDisk()
  disk.makeFolder(options.data)
  const lock = lockFolder(options.data)
  if (!lock.ok) return lock
  const identity = options.autoMembers
    ? openIdentity(disk, options.data, { name: options.id, bootstrap: options.bootstrap, initialMembers: options.members.map((member) => member.id) })
    : succeed({ id: options.id, joins: options.join })
  if (!identity.ok) {
    lock.value()
    return identity
  }
  const { id, joins } = identity.value
  const initialSnapshot: Snapshot = { index: 0, term: 0, members: joins ? [] : options.members, state: null }
  const opened = openLogStore(disk, options.data, initialSnapshot)
  if (!opened.ok) {
    lock.value()
    return opened
  }
  const { store, stored, fresh } = opened.value
  if (fresh) store.saveSnapshot(initialSnapshot, stored.hardState, [])

  let registry: Registry = createRegistry()
  const peers = await createPeers({
    id,
    boot: randomId(),
    role: 'control',
    domain: options.domain,
    address: options.peer,
    seeds: [...options.seeds, ...options.members.map((member) => member.address)],
    secrets: options.secrets,
    clients: options.clients?.peers
  }, environment)
  const processor = createProcessorMeter({ node: id, readBusyMs: loopBusyMs, readCounts: () => ({}), clock, log, metrics })
  const sendMessage = createMessageSender(id, peers, () => membersOf(group.state), metrics.count)
  let publishBeacon = () => {}
  const machine = {
    apply (command: unknown) {
      const { revision } = registry
      const result = applyCommand(registry, command as Command)
      if (registry.revision !== revision) {
        setImmediate(publishBeacon)
        peers.installConfiguration(configurationOf(registry), registry.deltas)
      }
      metrics.count(`commands_total{type="${(command as Command).type}"}`)
      return result
    },
    save: () => JSON.stringify(registry),
    restore (state: string) {
      registry = JSON.parse(state) as Registry
      peers.installConfiguration(configurationOf(registry), registry.deltas)
    }
  }
  const group: Group = createGroup(id, stored, store, machine, sendMessage, environment, startedAt)
  const admin = {
    registry: () => registry,
    group,
    now: clock.now,
    date: clock.date,
    fleet: () => peers.members(),
    reports: createNodeReports()
  }
  peers.datagrams.method('node.report', (report: NodeReport) => admin.reports.record(report, clock.now()))
  const isLeader = () => holdsLease(group.state, clock.now()) && hasCommittedInTerm(group.state)
  /** Returns the address of the leader: from the member list, or from its beacons while this instance is not a member yet or follows no log. */
  const leaderAddress = (): string | undefined => {
    const { leader } = group.state
    if (group.storageFailure() !== undefined) return peers.freshness.newest?.address
    if (leader === id) return peers.address
    const member = membersOf(group.state).find((candidate) => candidate.id === leader)
    return member?.address ?? peers.freshness.newest?.address
  }
  const handleOrForward = createForward({
    ownAddress: peers.address,
    leaderAddress,
    handle: (request) => handleAdmin(request, admin),
    call: (address, request, timeoutMs, progress) => peers.rpc.call(address, 'control.admin', request, timeoutMs, progress),
    clock
  })
  registerRpcMethods(id, peers, group, admin, isLeader, () => registry, environment)
  const rateTimer = startRateGrants(options.rateWindowMs, options.rateTolerance ?? { fraction: 0, requests: 0 }, peers, group, isLeader, () => registry, environment)
  const leaderTasks = startLeaderTasks(id, options, peers, group, isLeader, () => registry, hash, environment)
  publishBeacon = leaderTasks.publishBeacon
  const reconcileTimer = options.autoMembers ? reconcileMembers(id, options.faultTolerance ?? 1, peers, group, isLeader, environment) : undefined
  const server: Server = createAdminServer(handleOrForward, metrics.expose, options.clients?.callers.createServer)
  const adminAddress = await listen(server, options.admin)
  metrics.gauge('consensus_term', () => group.state.hardState.term)
  metrics.gauge('consensus_commit', () => group.state.commit)
  metrics.gauge('consensus_log_entries', () => group.state.entries.length)
  metrics.gauge('consensus_log_bytes', () => totalBytes(group.state.entries))
  metrics.gauge('consensus_in_flight_bytes', () => Object.values(group.state.progress).reduce((sum, { inFlight }) => sum + (inFlight?.bytes ?? 0), 0))
  metrics.gauge('storage_failing', () => group.storageFailure() === undefined ? 0 : 1)
  log.info('control instance started', { id, joins, peer: peers.address, admin: adminAddress, revision: registry.revision })

  return succeed({
    peerAddress: peers.address,
    adminAddress,
    administer: (operator, request) => handleOrForward({ ...request, credential: '', vouchedFor: operator }),
    async stop () {
      group.transferLeadership()
      await new Promise((resolve) => setTimeout(resolve, transferWaitMs))
      await closeServer(server)
      peers.announceLeave()
      clearInterval(leaderTasks.timer)
      clearInterval(rateTimer)
      clearInterval(reconcileTimer)
      group.close()
      processor.close()
      await peers.close()
      lock.value()
      log.info('control instance stopped', { id })
    }
  })
}

type Count = Environment['metrics']['count']

/** Creates a function that sends consensus messages without waiting for the result. A joining instance has no member list yet and finds the recipients by gossip. */
function createMessageSender (id: string, peers: Peers, members: () => Array<{ id: string, address: string }>, count: Count): SendMessage {
  return (to, message, onLost) => {
    const recipient = members().find((member) => member.id === to) ?? peers.members().find((member) => member.id === to && member.role === 'control')
    if (recipient === undefined) return queueMicrotask(onLost)
    const { address } = recipient
    void peers.rpc.call(address, 'consensus', { from: id, to, message }, messageTimeoutMs).then((result) => {
      if (!result.ok) onLost()
      count(`consensus_messages_total{outcome="${result.ok ? 'sent' : 'lost'}"}`)
    })
  }
}

function registerRpcMethods (
  id: string, peers: Peers, group: Group, admin: Parameters<typeof handleAdmin>[1], isLeader: () => boolean, registry: () => Registry, { clock }: Environment
): void {
  const propose = async (command: Command) => {
    if (!isLeader()) return { ok: false }
    const outcome = await group.propose(command)
    return { ok: outcome.ok }
  }
  /** Records a crash. The answer names the revision in force when one of its fingerprints is banned. */
  const reportCrash = async (command: Extract<Command, { type: 'crash' }>) => {
    const { ok } = await propose(command)
    const { bans, revision } = registry()
    return { ok, banRevision: ok && command.fingerprints.some((fingerprint) => bans[fingerprint] !== undefined) ? revision : undefined }
  }
  peers.rpcServer.method('consensus', ({ from, to, message }: { from: string, to: string, message: Message }) => {
    if (to === id) setImmediate(() => group.receive(from, message))
    return null
  })
  peers.rpcServer.method('control.admin', (request: AdminRequest) => handleAdmin(request, admin))
  peers.rpcServer.method('control.ready', ({ slots, boot }: { slots: Record<string, number>, boot: string }) =>
    propose({ type: 'ready', at: clock.date().getTime(), slots, boot }))
  peers.rpcServer.method('control.crash', ({ fingerprints, target }: { fingerprints: string[], target: string }) =>
    reportCrash({ type: 'crash', at: clock.date().getTime(), fingerprints, target }))
  peers.rpcServer.method('control.exonerate', async ({ fingerprint }: { fingerprint: string }) => {
    if (registry().crashes[fingerprint] === undefined && registry().bans[fingerprint] === undefined) return { ok: true }
    return await propose({ type: 'exonerate', at: clock.date().getTime(), fingerprint })
  })
}

/** Starts the periodic tasks of the leader: publishing beacons, placing claim slots and creating the first operator. */
function startLeaderTasks (
  id: string, options: ControlOptions, peers: Peers, group: Group, isLeader: () => boolean, registry: () => Registry, hash: Hash, { clock, log }: Environment
): { timer: NodeJS.Timeout, publishBeacon: () => void } {
  const holderWatch = createHolderWatch()
  let sequence = 0
  let nextHousekeeping = 0
  let isHousekeepingRunning = false
  const publishBeacon = () => isLeader() && peers.publishBeacon({
    term: group.state.hardState.term,
    sequence: ++sequence,
    revision: registry().revision,
    issuedAt: clock.date().getTime(),
    leader: id,
    address: peers.address
  })
  const runHousekeeping = async () => {
    const now = clock.now()
    const at = clock.date().getTime()
    const slots = options.claims ? planSlots(holderWatch, observeFleet(holderWatch, peers.members(), registry().slots, now), registry().slots, hash, now, at) : {}
    if (Object.keys(slots).length > 0) await group.propose({ type: 'place', at, slots } satisfies Command)
    if (Object.keys(registry().operators).length > 0 || options.operatorToken === '') return
    const change: Change = { kind: 'operator-give', changeId: 'first-operator', name: 'root', hash: credentialHash(options.operatorToken), scopes: [...scopes] }
    await group.propose({ type: 'change', operator: 'setup', at, change } satisfies Command)
    log.info('first operator created', { name: 'root' })
  }
  const timer = setInterval(() => {
    if (!isLeader()) return
    publishBeacon()
    if (isHousekeepingRunning || clock.now() < nextHousekeeping) return
    nextHousekeeping = clock.now() + housekeepingMs
    isHousekeepingRunning = true
    void runHousekeeping().finally(() => {
      isHousekeepingRunning = false
    })
  }, beaconIntervalMs)
  return { timer, publishBeacon }
}
