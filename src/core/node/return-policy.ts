import type { Failure } from '../errors/index.ts'
import type { Random } from '../random/index.ts'
import { createReturns, partForOthers, planRateReturn, planReturn, planSoon, planSpread, recordArrival } from '../returns/index.ts'
import type { PlannedReturn, RankedRoute, ShareOf, TimeLeft } from '../returns/index.ts'
import { inProgressPriority } from './constants.ts'
import { calleeKey } from './types.ts'
import type { Call, CallContext } from './types.ts'

/** Shortest and longest time after which a refused caller is asked to return where returns are not planned, in milliseconds. */
const minRandomMs = 500
const maxRandomMs = 1500

/** When a refused caller is asked to return, and how that time was found. */
export interface AskedReturn {
  type: PlannedReturn['type'] | 'random'
  afterMs: number
}

/** A request that a filter refused before it became a call. */
export interface RefusedArrival {
  workspace: string | undefined
  /** Monotonic time until which the caller waits, in ms; Infinity where it is not known. */
  deadlineAt: number
  callee: Pick<CallContext, 'service' | 'route'> | undefined
}

/** Decides when refused callers are asked to return. */
export interface ReturnPolicy {
  /** Whether a caller that returns as told is preferred although no room was set aside for it. */
  prefersUnbooked: boolean
  /** Counts a caller's request that arrived. Returns the part of the share that is left for requests for which no room was set aside, 0 to 1. */
  recordArrival: (context: Pick<CallContext, 'service' | 'route' | 'rank'>, isBooked: boolean, now: number) => number
  forArrival: (arrival: RefusedArrival, failure: Failure, now: number) => AskedReturn
  forCall: (call: Pick<Call, 'context' | 'deadlineAt'>, failure: Failure, now: number) => AskedReturn
  /** Returns when the caller of a request that this node gives up at its stop is to return. */
  forStop: (now: number) => AskedReturn
}

/** Creates a policy that keeps refused callers from returning simultaneously, and knows nothing else. */
export function createRandomPolicy (random: Random): ReturnPolicy {
  const ask = (): AskedReturn => ({ type: 'random', afterMs: minRandomMs + random.next() * (maxRandomMs - minRandomMs) })
  return { prefersUnbooked: true, recordArrival: () => 1, forArrival: ask, forCall: ask, forStop: ask }
}

/** What the planned policy asks other parts of the node. */
export interface ReturnInputs {
  shareOf: ShareOf
  /** Returns the time in ms that calls to a service and route usually take; undefined when nothing is known. */
  usualMs: (callee: Pick<CallContext, 'service' | 'route'>) => number | undefined
  /** Returns the requests per ms of a workspace that this node may admit. */
  admissibleRate: (workspace: string) => number
  random: Random
}

/** Creates a policy that asks callers to return when there will be room, within the time that they can use. */
export function createPlannedPolicy ({ shareOf, usualMs, admissibleRate, random }: ReturnInputs): ReturnPolicy {
  const returns = createReturns()
  const timeOf = (deadlineAt: number, callee: RefusedArrival['callee']): TimeLeft => ({ deadlineAt, usualMs: (callee && usualMs(callee)) ?? 0 })
  return {
    // Those without a place come as often as room is short; preferred, they would take the places of others and more than there is.
    prefersUnbooked: false,
    recordArrival (context, isBooked, now) {
      const ranked: RankedRoute = { route: calleeKey(context), rank: context.rank }
      recordArrival(returns, ranked, isBooked, now)
      return partForOthers(returns, ranked, shareOf(ranked.route, ranked.rank, now), now)
    },
    forArrival ({ workspace, deadlineAt, callee }, failure, now) {
      const time = timeOf(deadlineAt, callee)
      if (failure.code === 'leaving') return planSoon(time, random.next(), now)
      if (failure.code !== 'overRate' || workspace === undefined) return planSpread(time, random.next(), now)
      return planRateReturn(returns, { ...time, workspace, rate: admissibleRate(workspace) }, random.next(), now)
    },
    forCall ({ context, deadlineAt }, failure, now) {
      const { priority, rank, depth } = context
      const time = timeOf(deadlineAt, context)
      if (failure.code === 'leaving') return planSoon(time, random.next(), now)
      const isOfCaller = priority > inProgressPriority && depth === 0
      if (!isOfCaller) return planSpread(time, random.next(), now)
      return planReturn(returns, { ...time, route: calleeKey(context), rank }, shareOf, random.next(), now)
    },
    forStop: (now) => planSoon({ deadlineAt: Infinity, usualMs: 0 }, random.next(), now)
  }
}
