import { pick } from '../random/index.ts'
import type { Job, SimulatedTarget } from './stand-in.ts'
import type { Request, Result, Simulation } from './world.ts'

const queuedRequestsPerSlot = 2
const maxRetriesPerHop = 2

/** Calls the service at `position` of the chain with a request and passes the result to `done`. */
export type RequestHandler = (request: Request, position: number, from: string, done: (result: Result) => void) => void

/** Runs a request at a target: its own work, then the call to the next service, then the answer. Returns undefined when the target refuses the connection. */
export function runOnTarget (simulation: Simulation, target: SimulatedTarget, request: Request, position: number, next: RequestHandler, done: (result: Result) => void): Job | undefined {
  const { scenario, timeline } = simulation
  let finished = false
  const finish = (result: Result) => {
    if (finished) return
    finished = true
    target.release(job)
    done(result)
  }
  const job: Job = {
    onWorkDone () {
      if (request.causesCrash && position === scenario.chain.length - 1) {
        simulation.targetsLost++
        return target.crash(3000)
      }
      if (position === scenario.chain.length - 1) return finish({ type: 'ok' })
      next(request, position + 1, target.domain, (result) => finish(result.type === 'ok' ? result : { type: 'failed', shed: result.shed }))
    },
    onCrash: () => finish({ type: 'failed', shed: false, crashed: true })
  }
  if (!target.start(job)) return undefined
  timeline.at(request.deadlineAt, () => finish({ type: 'failed', shed: false }))
  return job
}

/** Creates a handler without overload protection: it picks a random target that reports itself healthy, sets no limit and never cancels queued requests. */
export function createUnprotectedHandler (simulation: Simulation): RequestHandler {
  const handleRequest: RequestHandler = (request, position, from, done) => {
    const target = pickHealthy(simulation, position)
    const latency = simulation.latency(from, target.domain)
    simulation.timeline.after(latency, () => {
      const sendResult = (result: Result) => simulation.timeline.after(latency, () => done(result))
      if (runOnTarget(simulation, target, request, position, handleRequest, sendResult) === undefined) sendResult({ type: 'refused', shed: false })
    })
  }
  return handleRequest
}

function pickHealthy (simulation: Simulation, position: number): SimulatedTarget {
  const all = simulation.targets.get(simulation.scenario.chain[position]) ?? []
  const healthy = all.filter((target) => target.healthy)
  return pick(simulation.random, healthy.length > 0 ? healthy : all) as SimulatedTarget
}

/** Creates a handler with a fixed concurrency limit and a bounded FIFO queue for each target, and a fixed number of retries at each hop. */
export function createFixedLimitHandler (simulation: Simulation): RequestHandler {
  const running = new Map<SimulatedTarget, number>()
  const queues = new Map<SimulatedTarget, Array<() => void>>()
  const releaseSlot = (target: SimulatedTarget) => {
    running.set(target, (running.get(target) ?? 1) - 1)
    queues.get(target)?.shift()?.()
  }
  const sendAttempt: RequestHandler = (request, position, from, done) => {
    const target = pickHealthy(simulation, position)
    const latency = simulation.latency(from, target.domain)
    const sendResult = (result: Result) => simulation.timeline.after(latency, () => done(result))
    const startJob = () => {
      running.set(target, (running.get(target) ?? 0) + 1)
      const job = runOnTarget(simulation, target, request, position, handleRequest, (result) => {
        releaseSlot(target)
        sendResult(result)
      })
      if (job !== undefined) return
      releaseSlot(target)
      sendResult({ type: 'refused', shed: false })
    }
    simulation.timeline.after(latency, () => {
      if ((running.get(target) ?? 0) < target.slots) return startJob()
      const queue = queues.get(target) ?? []
      queues.set(target, queue)
      if (queue.length >= target.slots * queuedRequestsPerSlot) return sendResult({ type: 'refused', shed: true })
      queue.push(startJob)
    })
  }
  const handleRequest: RequestHandler = (request, position, from, done) => {
    let retries = 0
    const retryOrFinish = (result: Result) => {
      if (result.type === 'ok' || retries >= maxRetriesPerHop || simulation.timeline.now() >= request.deadlineAt) return done(result)
      retries++
      request.extraAttempts.count++
      sendAttempt(request, position, from, retryOrFinish)
    }
    sendAttempt(request, position, from, retryOrFinish)
  }
  return handleRequest
}
