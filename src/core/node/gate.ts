import { createAdmission, createAdmissionFraction, createRankedFractions, finish, loadOf, nextSweepAt, offer, rankedFractionOf, recordInProgressWait, recordInProgressRefusal, recordRankedWait, slotsForWorking, updateAdmissionFraction, sweepAdmission, removeWaiting, waitingSlots } from '../admission/index.ts'
import type { Admission, AdmissionDecision, QueuedRequest, FinishedRequest, ShedReason } from '../admission/index.ts'
import type { Clock } from '../clock/index.ts'
import { createRoomMeter } from '../room/index.ts'
import type { RoomMeter } from '../room/index.ts'
import { inProgressPriority, maxSweepMs, minSweepMs } from './constants.ts'

/** Whether a request may run at the target. */
export type Admittance = { type: 'started' } | { type: 'shed', reason: ShedReason | 'cancelled' | 'stopping' }

/** Applies the admission decisions for the node's own target. */
export interface Gate {
  enter: (entry: QueuedRequest) => Promise<Admittance> | Admittance
  /** Releases the slot of a request. `sample` is missing when the request never reached the target, `id` names one that was entered with `needsCalls`. */
  exit: (sample: FinishedRequest | undefined, id?: string) => void
  /** Records a call of the target that cannot be attributed to one of its requests. Returns a function that records its end. */
  startCall: () => () => void
  /** Records that a request at the target has begun a call of its own. */
  callStarted: () => void
  /** Records that such a call has ended. */
  callEnded: () => void
  /** Returns the slots that are held by requests which wait for their own calls; 0 where requests do not wait by rank. */
  waitingSlots: () => number
  /** Returns the slots that only requests without calls may take. */
  reservedSlots: () => number
  /** Removes a waiting request whose caller cancelled it. */
  cancel: (id: string) => void
  /** Removes all waiting requests, because the node stops, and returns their number. */
  removeWaiting: () => number
  /**
   * Returns the larger of two loads: the requests on which the target works over its room, and those at it, some of which wait for calls of their own,
   * over its limit. Both include the waiting ones.
   */
  load: () => number
  running: () => number
  limit: () => number
  /** Returns the number of requests that the target works on well at once: at most the limit, and equal to it where the room is not used. */
  room: () => number
  /** Returns the number of slots that may be held at once: the room, and the slots of requests that wait for calls of their own; at most the limit. */
  heldRoom: () => number
  /** Finds out the room of the target from its requests; undefined where the room is not used. */
  meter: RoomMeter | undefined
  /**
   * Returns the admission fraction, 0 to 1. For calls of requests in progress it also falls when the target
   * refuses such calls, because a refused call fails the request that it belongs to. Where requests wait by rank, that of new requests
   * depends on whether they make calls of their own.
   */
  admissionFraction: (priority: number, needsCalls?: boolean) => number
  /** Records that the target refused a request of this priority without running it. */
  recordRefusal: (priority: number) => void
  /** Resets the admission for a target that has just started. */
  reset: (slots: number) => void
  /** Applies a changed number of slots of the same target. */
  resize: (slots: number) => void
  close: () => void
}

/** Options of a gate. All are off by default. */
export interface GateOptions {
  /** Whether the limit adapts below the slots. */
  isAdaptive?: boolean
  /** Whether requests wait by the rank of the caller's request that they belong to. */
  isRanked?: boolean
  /** Whether the room of the target is found out, and the load counts by it. */
  usesRoom?: boolean
}

/** Creates the gate of a target with `slots`. */
export function createGate (slots: number, clock: Clock, { isAdaptive = false, isRanked = false, usesRoom = false }: GateOptions = {}): Gate {
  const meter = usesRoom ? createRoomMeter(slots, clock) : undefined
  let admission: Admission = createAdmission(slots, clock.now(), isAdaptive, isRanked)
  const newRequestFraction = createAdmissionFraction(clock.now())
  const inProgressFraction = createAdmissionFraction(clock.now())
  const rankedFractions = isRanked ? createRankedFractions() : undefined
  const waiting = new Map<string, { entry: QueuedRequest, resolve: (admittance: Admittance) => void }>()
  let timer: NodeJS.Timeout | undefined
  /** Time for which the next sweep is scheduled, in ms. */
  let sweepAt = Infinity
  const applyDecision = (decision: AdmissionDecision) => {
    for (const id of decision.started) resolveWaiting(id, { type: 'started' })
    for (const { id, reason } of decision.shed) resolveWaiting(id, { type: 'shed', reason })
  }
  const resolveWaiting = (id: string, admittance: Admittance) => {
    const found = waiting.get(id)
    if (found === undefined) return
    const { entry, resolve } = found
    if (entry.priority <= inProgressPriority) {
      const now = clock.now()
      for (const fraction of [newRequestFraction, inProgressFraction]) recordInProgressWait(fraction, now - entry.arrivedAt, now)
      if (rankedFractions !== undefined) recordRankedWait(rankedFractions, entry, now - entry.arrivedAt, now)
    }
    waiting.delete(id)
    resolve(admittance)
  }
  const sweep = () => {
    clearTimeout(timer)
    timer = undefined
    applyDecision(sweepAdmission(admission, clock.now()))
    scheduleSweep()
  }
  /** Schedules a sweep for when the next waiting request may have to be shed. */
  const scheduleSweep = () => {
    if (admission.queue.length === 0) return
    const now = clock.now()
    const dueAt = Math.max(now + minSweepMs, nextSweepAt(admission))
    if (timer !== undefined && sweepAt <= dueAt) return
    clearTimeout(timer)
    sweepAt = dueAt
    timer = setTimeout(sweep, Math.min(dueAt - now, maxSweepMs))
  }
  const countCalls = (change: number) => {
    if (admission.ranked !== undefined) admission.ranked.held.callsUnderWay += change
  }
  return {
    meter,
    room: () => meter === undefined ? admission.limit.value : Math.min(admission.limit.value, meter.state().room),
    heldRoom () {
      if (meter === undefined) return admission.limit.value
      const { room, working } = meter.state()
      return Math.min(admission.limit.value, room + Math.max(0, admission.running - working))
    },
    enter (entry) {
      let result: Admittance | undefined
      const resolveNow = (admittance: Admittance) => {
        result = admittance
      }
      waiting.set(entry.id, { entry, resolve: resolveNow })
      applyDecision(offer(admission, entry, clock.now()))
      scheduleSweep()
      if (result !== undefined) return result
      return new Promise((resolve) => waiting.set(entry.id, { entry, resolve }))
    },
    exit (sample, id) {
      applyDecision(finish(admission, sample, clock.now(), id))
    },
    startCall () {
      countCalls(1)
      const endCall = meter?.startCall()
      return () => {
        countCalls(-1)
        endCall?.()
      }
    },
    callStarted: () => countCalls(1),
    callEnded: () => countCalls(-1),
    waitingSlots: () => admission.ranked === undefined ? 0 : waitingSlots(admission.ranked.held),
    reservedSlots: () => admission.ranked === undefined ? 0 : slotsForWorking(admission.ranked.held, Math.floor(admission.limit.value), clock.now()),
    cancel (id) {
      if (removeWaiting(admission, id)) resolveWaiting(id, { type: 'shed', reason: 'cancelled' })
    },
    removeWaiting () {
      const removed = [...waiting.keys()].filter((id) => removeWaiting(admission, id))
      for (const id of removed) resolveWaiting(id, { type: 'shed', reason: 'stopping' })
      return removed.length
    },
    load () {
      if (meter === undefined) return loadOf(admission)
      const { room, working } = meter.state()
      return Math.max(loadOf(admission), (working + admission.queue.length) / room)
    },
    running: () => admission.running,
    limit: () => admission.limit.value,
    admissionFraction (priority, needsCalls = true) {
      if (rankedFractions !== undefined && priority > inProgressPriority) return rankedFractionOf(rankedFractions, priority, needsCalls, clock.now())
      const selected = priority <= inProgressPriority ? inProgressFraction : newRequestFraction
      updateAdmissionFraction(selected, clock.now())
      return selected.value
    },
    recordRefusal (priority) {
      if (priority <= inProgressPriority) recordInProgressRefusal(inProgressFraction, clock.now())
    },
    reset (next) {
      meter?.restart(next)
      const fresh = createAdmission(next, clock.now(), isAdaptive)
      admission = { ...fresh, running: admission.running, queue: admission.queue, ranked: admission.ranked }
      sweep()
    },
    resize (next) {
      meter?.resize(next)
      admission.limit.slots = next
      admission.limit.value = isAdaptive ? Math.min(admission.limit.value, next) : next
      sweep()
    },
    close () {
      clearTimeout(timer)
    }
  }
}
