import type { ProcessorReading } from '../processor/index.ts'
import { drainMs, loopFraction, maxDrainFraction, maxLatenessGrowth, maxRequestMs, minLoopFraction, smoothingMs } from './constants.ts'

/** What a node has done with its processor time. Counts and times only grow. */
export interface ProcessorUse extends ProcessorReading {
  /** Requests that the node has read from callers and from its own target. They use the same processor as the calls that lead to its target. */
  otherRequests: number
}

/** Use of a processor that does nothing, which limits nobody. */
export function readIdle (): ProcessorUse {
  return { busyMs: 0, latenessMs: 0, otherRequests: 0 }
}

/** Processor time of a target's node as a room of its own: the calls that its event loop carries. Rates are moving averages. */
export interface ProcessorRoom {
  /** Reading at the end of the last window. */
  last: ProcessorUse
  /** Part of the time in which the event loop was busy. */
  utilization: number
  /** Calls that came for the target, and other requests, per ms. */
  callRate: number
  otherRate: number
}

/** Creates the room of a node that has carried no calls yet. What it did until now, such as its start, is not put down to them. */
export function createProcessorRoom (last: ProcessorUse): ProcessorRoom {
  return { last, utilization: 0, callRate: 0, otherRate: 0 }
}

/** Returns how many calls came for each one that was read in a window. When calls are read later and later, more come than are read. */
export function arrivalsPerRead ({ last }: ProcessorRoom, use: ProcessorUse, elapsedMs: number): number {
  const growth = (use.latenessMs - last.latenessMs) / elapsedMs
  return 1 / (1 - Math.max(-maxLatenessGrowth, Math.min(maxLatenessGrowth, growth)))
}

/** Closes a window in which `calls` came for the target. */
export function measureProcessor (room: ProcessorRoom, use: ProcessorUse, calls: number, elapsedMs: number): void {
  const weight = 1 - Math.exp(-elapsedMs / smoothingMs)
  const utilization = Math.min(1, (use.busyMs - room.last.busyMs) / elapsedMs)
  room.utilization += weight * (utilization - room.utilization)
  room.callRate += weight * (calls / elapsedMs - room.callRate)
  room.otherRate += weight * ((use.otherRequests - room.last.otherRequests) / elapsedMs - room.otherRate)
  room.last = use
}

/**
 * Returns the calls per ms that the event loop carries, when `demand` are asked for. All requests count as equally dear, and other requests go before
 * calls, but no further than to an equal fraction of both. A late loop gets less, until it has caught up.
 */
export function carriedCalls ({ last, utilization, callRate, otherRate }: ProcessorRoom, demand: number): number {
  const requestRate = callRate + otherRate
  if (demand === 0 || requestRate === 0) return Infinity
  // What else keeps the loop busy, such as a change of the configuration, is not the fault of requests.
  const busyWithRequests = Math.min(utilization, requestRate * maxRequestMs)
  if (busyWithRequests === 0) return Infinity
  const available = Math.max(minLoopFraction, loopFraction - (utilization - busyWithRequests))
  const carried = requestRate * available / busyWithRequests
  const left = Math.max(carried - otherRate, carried * demand / (demand + otherRate))
  return left * (1 - Math.min(maxDrainFraction, last.latenessMs / drainMs))
}
