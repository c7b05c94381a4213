import type { Random } from '../random/index.ts'
import type { Timeline } from './timeline.ts'

const coldStartMs = 2000
const coldStartFactor = 3

/** Running and queued requests per slot above which a target refuses connections. */
const connectionsPerSlot = 7

/** A request at a target. */
export interface Job {
  /** Called when the target has finished its own work; the slot stays occupied until `release`. */
  onWorkDone: () => void
  /** Called when the target crashes while the request runs or is queued. */
  onCrash: () => void
}

/** A target with a limited number of slots. Further requests wait in its internal FIFO queue. */
export interface SimulatedTarget {
  id: string
  service: string
  domain: string
  slots: number
  /** Health that the target reports; it may differ from its true state. */
  healthy: boolean
  /** Factor on the working time. */
  slowness: number
  up: boolean
  /** Starts or queues a job. Returns false when the target refuses the connection. */
  start: (job: Job) => boolean
  /** Releases the slot or the queue position of a job. */
  release: (job: Job) => void
  /** Aborts all jobs, and starts again after `downMs` with a cold start. */
  crash: (downMs: number) => void
  /** Replaces the target by one that runs its cold start. */
  replace: () => void
}

/** Creates a target that has finished its cold start. `workMsOf` returns its current working time in ms. */
export function createSimulatedTarget (
  identity: Pick<SimulatedTarget, 'id' | 'service' | 'domain' | 'slots'>, workMsOf: (target: SimulatedTarget) => number, timeline: Timeline, random: Random
): SimulatedTarget {
  const running = new Set<Job>()
  const waiting: Job[] = []
  let coldStartEndsAt = 0
  const startJob = (job: Job) => {
    running.add(job)
    const workFactor = timeline.now() < coldStartEndsAt ? coldStartFactor : 1
    timeline.after(workMsOf(target) * workFactor * (0.5 + random.next()), () => {
      if (running.has(job)) job.onWorkDone()
    })
  }
  const target: SimulatedTarget = {
    ...identity,
    healthy: true,
    slowness: 1,
    up: true,
    start (job) {
      if (!target.up || running.size + waiting.length >= target.slots * connectionsPerSlot) return false
      if (running.size < target.slots) startJob(job)
      else waiting.push(job)
      return true
    },
    release (job) {
      const index = waiting.indexOf(job)
      if (index >= 0) waiting.splice(index, 1)
      if (!running.delete(job)) return
      const next = waiting.shift()
      if (next !== undefined) startJob(next)
    },
    crash (downMs) {
      const aborted = [...running, ...waiting]
      running.clear()
      waiting.length = 0
      target.up = false
      for (const job of aborted) job.onCrash()
      timeline.after(downMs, () => {
        target.up = true
        target.replace()
      })
    },
    replace () {
      coldStartEndsAt = timeline.now() + coldStartMs
    }
  }
  return target
}
