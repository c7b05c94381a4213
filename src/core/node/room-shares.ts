import { createCredits, createAllocator, createStatements, mayBegin, ownShareOf, pruneCredits, pruneStatements, readIdle, recordArrival, recordDeparture, recordStart, recordStatement, reportedCalmMs, reportedShare, statedShareOf, updateAllocator } from '../shares/index.ts'
import type { RequestClass, ClassState, Allocator, Departure, ProcessorUse } from '../shares/index.ts'
import type { Environment } from '../peers/index.ts'
import { inProgressPriority } from './constants.ts'
import { calleeKey } from './types.ts'
import type { AttemptOutcome, Call, CallContext, Report } from './types.ts'

const pruneEveryMs = 5000

/** Most classes whose share is exposed as a metric; classes keep their metric while the process runs. */
const maxExposedClasses = 64

/** Most classes in a log line. */
const maxLoggedClasses = 8

/** Requests that are at the node's own target or in its queue. */
interface Held {
  state: ClassState
  startedAt: number | undefined
}

/** Shares of the room of targets: those that this node gives, passes on and keeps to. */
export interface RoomShares {
  /** Records a call that came to the node's own target or its queue. */
  enter: (context: CallContext) => void
  /** Records that the target got the call. */
  start: (context: CallContext) => void
  /** Records that the call has left the target or its queue. A call that never entered is ignored. */
  leave: (context: CallContext, outcome: AttemptOutcome | undefined) => void
  /** Returns the share that this node states for calls like this one: the smallest of its own and those of the callees needed; 1 when there is room for all. */
  stateShare: (context: CallContext, neededCallees: readonly string[]) => number
  /** Records what a target's node stated with the end of a call. A report without a share comes from no node. */
  recordReport: (context: CallContext, node: string, report: Report) => void
  /** Returns the share that targets have stated for direct requests of a callee ("service/route") and rank; 1 when there is room for all. */
  shareOf: (callee: string, rank: number) => number
  /** Returns the share that targets have stated for calls like this one; 1 when there is room for all. */
  shareFor: (context: CallContext) => number
  /** Returns true when a new request of a caller is begun. */
  mayBegin: (call: Call, share: number) => boolean
  close: () => void
}

function isOfRequestInProgress ({ priority, depth }: CallContext): boolean {
  return priority <= inProgressPriority || depth > 0
}

function requestClassOf (context: CallContext): RequestClass {
  return { route: context.route, rank: context.rank, isInProgress: isOfRequestInProgress(context) }
}

/** Returns the key of the statements on a callee. Targets give direct requests and calls of requests in progress shares of their own. */
function statementKey (callee: string, isInProgress: boolean): string {
  return isInProgress ? `${callee} in progress` : callee
}

function departureOf (outcome: AttemptOutcome | undefined): Departure {
  return outcome?.type === 'refused' && outcome.arrived ? 'refused' : 'ended'
}

/** Exposes the shares of the classes that have been short. */
function createExposure (allocator: Allocator, { metrics }: Environment) {
  const exposed = new Set<string>()
  metrics.gauge('room_divided', () => allocator.slots.divided)
  metrics.gauge('calls_carried', () => allocator.calls.divided * 1000)
  return () => {
    for (const { name, rank, isInProgress, share } of allocator.classes.values()) {
      if (share === 1 || exposed.has(name) || exposed.size >= maxExposedClasses) continue
      exposed.add(name)
      const labels = `{class="${isInProgress ? 'in progress' : name.slice(0, name.lastIndexOf('/'))}",rank="${rank}"}`
      metrics.gauge(`room_share${labels}`, () => allocator.classes.get(name)?.share ?? 1)
      metrics.gauge(`room_demand${labels}`, () => allocator.classes.get(name)?.demand ?? 0)
    }
  }
}

/** Writes a line when the room of the own target becomes short and when there has been room for all for a while. */
function createStateLog (allocator: Allocator, { clock, log }: Environment) {
  let isShort = false
  let shortAt = -Infinity
  return () => {
    const now = clock.now()
    const classes = [...allocator.classes.values()]
    if (allocator.isShort) shortAt = now
    const becomesShort = !isShort && classes.some(({ share }) => share < reportedShare)
    if (!becomesShort && !(isShort && now - shortAt >= reportedCalmMs)) return
    isShort = becomesShort
    const room = Math.round(allocator.slots.divided)
    const callsPerSecond = Number.isFinite(allocator.calls.divided) ? Math.round(1000 * allocator.calls.divided) : null
    if (!isShort) return log.info('room of the target is no longer short', { room, callsPerSecond })
    const lines = classes.map(({ name, share, demand }) => ({ class: name, share: Math.round(100 * share) / 100, demand: Math.round(demand) }))
    log.info('room of the target is short', { room, isSlotsShort: allocator.slots.isDividing, callsPerSecond, isProcessorShort: allocator.calls.isDividing, classes: lines.toSorted((a, b) => a.share - b.share).slice(0, maxLoggedClasses) })
  }
}

/** Creates the shares of a node whose own target has `room()` and which itself has used its processor as `readUse()` says. */
export function createRoomShares (room: () => number, environment: Environment, readUse: () => ProcessorUse = readIdle): RoomShares {
  const { clock, random } = environment
  const allocator = createAllocator(clock.now(), readUse())
  const statements = createStatements()
  const credits = createCredits()
  const held = new Map<string, Held>()
  const exposeShares = createExposure(allocator, environment)
  const logState = createStateLog(allocator, environment)
  const timer = setInterval(() => {
    pruneCredits(credits, clock.now())
    pruneStatements(statements, clock.now())
  }, pruneEveryMs)
  timer.unref()
  const update = () => {
    const { windowAt } = allocator
    updateAllocator(allocator, room(), clock.now(), readUse)
    if (allocator.windowAt === windowAt) return
    if (allocator.isShort) exposeShares()
    logState()
  }
  const statedShare = (callee: string, rank: number, isInProgress: boolean) => statedShareOf(statements, statementKey(callee, isInProgress), rank, clock.now())
  return {
    enter (context) {
      update()
      held.set(context.attempt, { state: recordArrival(allocator, requestClassOf(context), context.heardShare ?? 1, clock.now()), startedAt: undefined })
    },
    start (context) {
      const found = held.get(context.attempt)
      if (found === undefined) return
      found.startedAt = clock.now()
      recordStart(found.state, found.startedAt)
    },
    leave (context, outcome) {
      const found = held.get(context.attempt)
      if (found === undefined) return
      held.delete(context.attempt)
      const now = clock.now()
      if (found.startedAt === undefined) recordDeparture(allocator, found.state, 'not-started', 0, now)
      else recordDeparture(allocator, found.state, departureOf(outcome), now - found.startedAt, now)
    },
    stateShare (context, neededCallees) {
      update()
      let share = ownShareOf(allocator, requestClassOf(context))
      for (const callee of neededCallees) share = Math.min(share, statedShare(callee, context.rank, true))
      return Math.round(1000 * share) / 1000
    },
    recordReport (context, node, { share, room: targetRoom }) {
      if (share === undefined) return
      const callee = statementKey(calleeKey(context), isOfRequestInProgress(context))
      recordStatement(statements, { callee, rank: context.rank, node }, { share, room: targetRoom }, clock.now())
    },
    shareOf: (callee, rank) => statedShare(callee, rank, false),
    shareFor: (context) => statedShare(calleeKey(context), context.rank, isOfRequestInProgress(context)),
    mayBegin ({ context, isExpectedRetry }, share) {
      const { rank, workspace, weight } = context
      const newRequest = { key: `${calleeKey(context)}/${rank}`, workspace: workspace ?? '', weight, isExpectedRetry: isExpectedRetry === true }
      return mayBegin(credits, newRequest, share, clock.now(), random)
    },
    close: () => clearInterval(timer)
  }
}
