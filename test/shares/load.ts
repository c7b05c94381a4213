import { createAdmission, finish, offer, sweepAdmission } from '../../src/core/admission/index.ts'
import type { Admission, AdmissionDecision } from '../../src/core/admission/index.ts'
import { createTimeline } from '../../src/core/bench/timeline.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createCredits, createAllocator, createStatements, mayBegin, ownShareOf, recordArrival, recordDeparture, recordStart, recordStatement, statedShareOf, updateAllocator } from '../../src/core/shares/index.ts'
import type { ClassState, Allocator } from '../../src/core/shares/index.ts'

/** Mean working time of a call at the last service, in ms. */
export const workMs = 45

/** Time from the entry to the calls and back to the entry, in ms. With the calls themselves it makes a feedback delay of about 0.6 s. */
const wayMs = 120

/** Time between two calls of a request, in ms. */
const betweenCallsMs = 10
const deadlineMs = 5000
const sampleMs = 100

/** Requests of one route. `rate` is in requests per second. */
export interface RouteLoad {
  name: string
  rank: number
  /** Calls that a request makes to the last service, one after the other; 0 for a request that goes there directly. */
  calls: number
  rate: (seconds: number) => number
  workspaces?: (draw: number) => string
}

export interface Load {
  routes: RouteLoad[]
  seconds: number
  slots?: number
  speed?: (target: number, seconds: number) => number
  /** Fraction of all calls that the targets refuse although their gates admitted them. */
  refused?: (seconds: number) => number
  entries?: (seconds: number) => number
  /** False for entries that begin every request. Default: true. */
  isLimited?: boolean
  /** Processor time of the node beside each target, in ms, for a call that it reads and for its answer. Each node does one thing at a time. Default: none. */
  processorMs?: { call: number, answer: number }
  /** Time after which a call is given up by its sender, in ms. Default: the deadline of its request. */
  callTimeoutMs?: number
}

/** What became of the requests of one route, or of one of its workspaces, in one second. */
interface Tally { offered: number, begun: number, well: number }

export interface Played {
  /** Sums of a route or workspace over the requests that came from `from` to `to`, in seconds. */
  tally: (name: string, from?: number, to?: number) => Tally
  /** Fraction of all slots in use, in the mean. */
  used: (from: number, to: number) => number
  /** Mean share of a route over the entries, by tenth of a second. */
  shares: (name: string, from: number, to: number) => number[]
}

interface Target { admission: Admission, allocator: Allocator, waiting: Map<string, { start: () => void, shed: () => void }>, processor: Processor }

/** Processor of a target's node: when it is free, for how long it was busy until then, and how long the work that was done last had waited. */
interface Processor { freeAt: number, busyMs: number, latenessMs: number }

const targetCount = 4

/** Plays a load on entry nodes, relays between, and four targets of the last service, under a virtual clock. */
export function play ({ routes, seconds, slots = 60, speed = () => 1, refused = () => 0, entries = () => 60, isLimited = true, processorMs, callTimeoutMs }: Load, seed = 1): Played {
  const timeline = createTimeline()
  const random = createRandom(seed)
  const { now, after } = timeline
  const targets: Target[] = Array.from({ length: targetCount }, () => ({ admission: createAdmission(slots, 0, false), allocator: createAllocator(0), waiting: new Map(), processor: { freeAt: 0, busyMs: 0, latenessMs: 0 } }))
  const relays = Array.from({ length: 4 }, createStatements)
  const entryNodes = Array.from({ length: 60 }, () => ({ statements: createStatements(), credits: createCredits() }))
  const tallies = new Map<string, Tally[]>()
  const usage: number[] = []
  const samples = new Map<string, number[]>(routes.map(({ name }) => [name, []]))
  let sequence = 0

  const tallyAt = (name: string, at: number): Tally => {
    const bySecond = tallies.get(name) ?? Array.from({ length: seconds + 1 }, () => ({ offered: 0, begun: 0, well: 0 }))
    tallies.set(name, bySecond)
    return bySecond[Math.floor(at / 1000)]
  }
  const apply = (target: Target, { started, shed }: AdmissionDecision) => {
    for (const id of started) target.waiting.get(id)?.start()
    for (const { id } of shed) target.waiting.get(id)?.shed()
  }
  const loadOfTarget = ({ admission }: Target) => admission.running + admission.queue.length
  /** Chooses the less loaded of two targets. */
  const chooseTarget = () => {
    const [left, right] = [random.below(targetCount), random.below(targetCount)]
    return loadOfTarget(targets[left]) <= loadOfTarget(targets[right]) ? left : right
  }
  /** Runs `work` on the node's processor once it has done what came before. */
  const process = ({ processor }: Target, costMs: number, work: () => void) => {
    if (costMs === 0) return work()
    const latenessMs = Math.max(0, processor.freeAt - now())
    processor.freeAt = Math.max(now(), processor.freeAt) + costMs
    processor.busyMs += costMs
    after(processor.freeAt - now(), () => {
      processor.latenessMs = latenessMs
      work()
    })
  }
  const update = ({ allocator, processor }: Target) => {
    const ahead = Math.max(0, processor.freeAt - now())
    updateAllocator(allocator, slots, now(), () => ({ busyMs: processor.busyMs - ahead, latenessMs: processor.latenessMs, otherRequests: 0 }))
  }
  /** Sends one call to a target of the last service, until the call ends or is given up. */
  const call = (route: RouteLoad, heardShare: number, deadlineAt: number, done: (ok: boolean, node: string, share: number | undefined) => void) => {
    const index = chooseTarget()
    const target = targets[index]
    const sentAt = now()
    let isOver = false
    const over = (ok: boolean, share?: number) => {
      if (isOver) return
      isOver = true
      done(ok, `${index}`, share)
    }
    if (callTimeoutMs !== undefined) after(callTimeoutMs, () => over(false))
    process(target, processorMs?.call ?? 0, () => {
      if (!isOver) serve(index, route, heardShare, Math.min(deadlineAt, sentAt + (callTimeoutMs ?? Infinity)), (ok, share) => process(target, processorMs?.answer ?? 0, () => over(ok, share)))
    })
  }
  /** Runs one call that the node of a target has read. */
  const serve = (index: number, route: RouteLoad, heardShare: number, deadlineAt: number, done: (ok: boolean, share: number) => void) => {
    const target = targets[index]
    const { allocator, admission } = target
    const isInProgress = route.calls > 0
    const kind = { route: route.name, rank: route.rank, isInProgress }
    const id = `${sequence++}`
    update(target)
    const state: ClassState = recordArrival(allocator, kind, heardShare, now())
    const end = (ok: boolean) => {
      update(target)
      target.waiting.delete(id)
      done(ok, ownShareOf(allocator, kind))
    }
    target.waiting.set(id, {
      shed () {
        recordDeparture(allocator, state, 'not-started', 0, now())
        end(false)
      },
      start () {
        const startedAt = now()
        recordStart(state, startedAt)
        const isRefused = random.next() < refused(startedAt / 1000)
        const latencyMs = isRefused ? 2 : (0.5 + random.next()) * workMs / speed(index, startedAt / 1000)
        after(latencyMs, () => {
          recordDeparture(allocator, state, isRefused ? 'refused' : 'ended', now() - startedAt, now())
          apply(target, finish(admission, { kind: route.name, latencyMs, failed: false }, now()))
          end(!isRefused)
        })
      }
    })
    const queued = { id, kind: route.name, priority: route.rank, workspace: '', weight: 1, arrivedAt: now(), deadlineAt, maxWaitMs: isInProgress ? deadlineMs : 200 }
    apply(target, offer(admission, queued, now()))
  }
  const begin = (route: RouteLoad) => {
    const entry = entryNodes[random.below(Math.max(1, Math.round(entries(now() / 1000))))]
    const workspace = route.workspaces?.(random.next()) ?? ''
    const names = route.workspaces === undefined ? [route.name] : [route.name, workspace]
    const count = (what: keyof Tally, at: number) => names.forEach((name) => tallyAt(name, at)[what]++)
    const cameAt = now()
    const { rank, name } = route
    const share = statedShareOf(entry.statements, name, rank, cameAt)
    count('offered', cameAt)
    if (isLimited && share < 1 && !mayBegin(entry.credits, { key: name, workspace, weight: 1, isExpectedRetry: false }, share, cameAt, random)) return
    count('begun', cameAt)
    const deadlineAt = cameAt + deadlineMs
    if (route.calls === 0) {
      return call(route, share, deadlineAt, (ok, node, stated) => {
        if (stated !== undefined) recordStatement(entry.statements, { callee: name, rank, node }, { share: stated, room: slots }, now())
        if (ok) count('well', cameAt)
      })
    }
    const relayIndex = random.below(relays.length)
    const relay = relays[relayIndex]
    const callNext = (left: number) => call(route, statedShareOf(relay, 'last', rank, now()), deadlineAt, (ok, node, stated) => {
      if (stated !== undefined) recordStatement(relay, { callee: 'last', rank, node }, { share: stated, room: slots }, now())
      if (ok && left > 1) return after(betweenCallsMs, () => callNext(left - 1))
      const passedOn = statedShareOf(relay, 'last', rank, now())
      after(wayMs / 2, () => {
        recordStatement(entry.statements, { callee: name, rank, node: `${relayIndex}` }, { share: passedOn, room: undefined }, now())
        if (ok && now() <= deadlineAt) count('well', cameAt)
      })
    })
    after(wayMs / 2, () => callNext(route.calls))
  }
  const arrive = (route: RouteLoad) => {
    const gapMs = -Math.log(1 - random.next()) * 1000 / route.rate(now() / 1000)
    after(gapMs, () => {
      begin(route)
      arrive(route)
    })
  }
  const sample = () => {
    const running = targets.reduce((sum, { admission }) => sum + admission.running, 0)
    usage.push(running / (slots * targetCount))
    const nodes = entryNodes.slice(0, Math.round(entries(now() / 1000)))
    for (const { name, rank } of routes) samples.get(name)?.push(nodes.reduce((sum, { statements }) => sum + statedShareOf(statements, name, rank, now()), 0) / nodes.length)
    for (const target of targets) apply(target, sweepAdmission(target.admission, now()))
    after(sampleMs, sample)
  }
  routes.forEach(arrive)
  sample()
  timeline.runUntil(seconds * 1000)
  const slice = (list: readonly number[], from: number, to: number) => list.slice(from * 1000 / sampleMs, to * 1000 / sampleMs)
  return {
    tally (name, from = 0, to = seconds) {
      const sum = { offered: 0, begun: 0, well: 0 }
      for (const { offered, begun, well } of (tallies.get(name) ?? []).slice(from, to)) {
        sum.offered += offered
        sum.begun += begun
        sum.well += well
      }
      return sum
    },
    used: (from, to) => meanOf(slice(usage, from, to)),
    shares: (name, from, to) => slice(samples.get(name) ?? [], from, to)
  }
}

export function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Returns the rate at which requests of this many calls use `times` all slots of the targets. */
export function rateFor (times: number, calls: number, slots = 60): number {
  return times * targetCount * slots * 1000 / (workMs * Math.max(1, calls))
}
