import { createCurve, currentWindow, highestBound, recordWorkingTime, updateCurve } from './curve.ts'
import type { Curve, Window } from './curve.ts'
import { callFractionOf, changeActive, closeInterval, createWork, kindOf, meanWorkingMs, speedOf, usualMsOf, workingMsOf } from './work.ts'
import type { Kind, Work } from './work.ts'

/** Shortest interval that is taken over into the decaying sums, in milliseconds. */
const intervalMs = 25

/** Room of a target that has just started, as a fraction of its slots, and the time after which it has all of them, in milliseconds. */
const startFraction = 0.5
const slowStartMs = 1000

/** Time constant of the mean of working requests, in milliseconds, and the part of the slots from which they count as all in use. */
const workingDecayMs = 500
const fullFraction = 0.97

/** Largest part of a kind's time in calls that cannot be attributed for which the working time of a single request is known well enough for the curve. */
const maxCallFraction = 0.1

/** How a request at the target ended. One that was cut short or turned away says nothing about how long a whole one takes. */
export type RequestResult = 'good' | 'failed' | 'refused' | 'cancelled'

/** A request at the target. */
export interface TargetRequest {
  kind: Kind
  startedAt: number
  /** Working requests divided by the slots when it started. */
  fraction: number
  window: Window
  /** Its calls that are under way, the time since which there is one, and the time before that in which there was one, in ms. */
  calls: number
  callsSince: number
  callMs: number
  /** Number of the process of the target that has it; undefined once it has ended. */
  process: number | undefined
}

/** What a node knows of its own target's room, from what it sees of the target's requests and calls. */
export interface TargetRoom {
  slots: number
  startedAt: number
  /** Number of the target's process, which counts its restarts. */
  process: number
  /** Requests at the target without those that are known to have a call under way. */
  active: number
  /** Calls under way that cannot be attributed to a request. */
  calls: number
  /** Time up to which the integral below is complete, its start, and the integral over the calls, in ms. */
  at: number
  intervalAt: number
  callMs: number
  /** Integral over the working requests since the start of the interval, in ms, and their mean over a short time. */
  workingMs: number
  meanWorking: number
  work: Work
  curve: Curve
}

/** Creates the room of a target that has just started. */
export function createTargetRoom (slots: number, now: number): TargetRoom {
  return { slots, startedAt: now, process: 0, active: 0, calls: 0, at: now, intervalAt: now, callMs: 0, workingMs: 0, meanWorking: 0, work: createWork(), curve: createCurve(now) }
}

/** Forgets everything about the target's previous process. Its requests that have not ended count no more; its calls do until they end. */
export function restartTarget (room: TargetRoom, slots: number, now: number): void {
  const { process, calls } = room
  Object.assign(room, createTargetRoom(slots, now), { process: process + 1, calls })
}

/** Applies a changed number of slots of the same process. Levels are fractions of the slots, so the curve starts anew. */
export function changeSlots (room: TargetRoom, slots: number, now: number): void {
  if (slots === room.slots) return
  room.slots = slots
  room.curve = createCurve(now)
}

/** Returns the requests on which the target works: those at it less the calls under way. */
export function workingRequests ({ active, calls }: TargetRoom): number {
  return Math.max(0, active - calls)
}

function advance (room: TargetRoom, now: number): void {
  room.callMs += Math.min(room.active, room.calls) * (now - room.at)
  room.workingMs += workingRequests(room) * (now - room.at)
  room.at = now
  const elapsedMs = now - room.intervalAt
  if (elapsedMs < intervalMs) return
  closeInterval(room.work, elapsedMs, room.callMs, now)
  updateCurve(room.curve, meanWorkingMs(room.work), now)
  room.meanWorking += (1 - Math.exp(-elapsedMs / workingDecayMs)) * (room.workingMs / elapsedMs - room.meanWorking)
  room.workingMs = 0
  room.callMs = 0
  room.intervalAt = now
}

function changeActiveRequests (room: TargetRoom, kind: Kind, change: number, now: number): void {
  changeActive(kind, change, now)
  room.active += change
}

/** Records that a request was sent to the target. */
export function startRequest (room: TargetRoom, kindName: string, now: number): TargetRequest {
  advance(room, now)
  const kind = kindOf(room.work, kindName, now)
  changeActiveRequests(room, kind, 1, now)
  return { kind, startedAt: now, fraction: workingRequests(room) / room.slots, window: currentWindow(room.curve), calls: 0, callsSince: now, callMs: 0, process: room.process }
}

/** Records that a request at the target ended. */
export function endRequest (room: TargetRoom, request: TargetRequest, result: RequestResult, now: number): void {
  advance(room, now)
  const { kind, calls, callsSince, callMs, process } = request
  request.process = undefined
  if (process !== room.process) return
  const isCalling = calls > 0
  if (!isCalling) changeActiveRequests(room, kind, -1, now)
  const ownMs = now - request.startedAt - callMs - (isCalling ? now - callsSince : 0)
  const usedMs = ownMs * (1 - callFractionOf(kind))
  const isGood = result === 'good'
  kind.intervalCompletions += isGood ? 1 : partOfRequest(usedMs, workingMsOf(room.work, kind))
  const usualMs = usualMsOf(kind)
  if (isGood && usualMs !== undefined && callFractionOf(kind) <= maxCallFraction) recordWorkingTime(request.window, request.fraction, usedMs / usualMs)
}

/** Returns the part of a whole request that one has had which did not end well. Cut short, it then changes no mean; one that took long counts as slow. */
function partOfRequest (usedMs: number, expectedMs: number | undefined): number {
  return expectedMs === undefined ? 0 : Math.min(1, usedMs / expectedMs)
}

/** Records that the target began a call. `request` is the one for which it calls, undefined where that is not known. */
export function startCall (room: TargetRoom, request: TargetRequest | undefined, now: number): void {
  advance(room, now)
  if (request === undefined) {
    room.calls++
    return
  }
  if (request.calls++ > 0) return
  request.callsSince = now
  if (request.process === room.process) changeActiveRequests(room, request.kind, -1, now)
}

/** Records that a call of the target ended. */
export function endCall (room: TargetRoom, request: TargetRequest | undefined, now: number): void {
  advance(room, now)
  if (request === undefined) {
    room.calls = Math.max(0, room.calls - 1)
    return
  }
  if (--request.calls > 0) return
  request.callMs += now - request.callsSince
  if (request.process === room.process) changeActiveRequests(room, request.kind, 1, now)
}

/** What is known about a target's room at one time. */
export interface RoomStatement {
  /** Requests that the target works on well at once, at most its slots. */
  room: number
  /** Requests on which it works now. */
  working: number
  /** Speed relative to its mean over a longer time. */
  speed: number
  /** True while the target has just started and its room still grows. */
  isStarting: boolean
}

/**
 * Returns the fraction of the slots up to which the target is to be used, so that its curve becomes known. A target whose slots are all in use all the time
 * shows no knee. With a little less asked of it, its queue empties, and the number of its working requests begins to vary.
 */
function explorationBound ({ meanWorking, slots, curve }: TargetRoom): number {
  return meanWorking >= fullFraction * slots && !curve.isKnown ? highestBound : 1
}

/** Returns the room of the target now. */
export function stateRoom (room: TargetRoom, now: number): RoomStatement {
  advance(room, now)
  const knee = Math.min(room.curve.knee, explorationBound(room))
  const belowKnee = knee < 1 ? Math.ceil(knee * room.slots - 1e-9) - 1 : room.slots
  const started = Math.min(1, startFraction + (1 - startFraction) * (now - room.startedAt) / slowStartMs)
  return {
    room: Math.max(1, Math.min(belowKnee, Math.ceil(room.slots * started))),
    working: workingRequests(room),
    speed: speedOf(room.work),
    isStarting: started < 1
  }
}

/** Returns the mean working time of a kind of request now, without its calls, in ms; undefined until some have ended. */
export function workingTimeOf (room: TargetRoom, kindName: string, now: number): number | undefined {
  advance(room, now)
  return workingMsOf(room.work, room.work.kinds.get(kindName))
}
