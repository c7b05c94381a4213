import { createRandom } from '../random/index.ts'
import type { Random } from '../random/index.ts'
import { workMs } from './presets.ts'
import { createSimulatedTarget } from './stand-in.ts'
import type { SimulatedTarget } from './stand-in.ts'
import { createTimeline } from './timeline.ts'
import type { Timeline } from './timeline.ts'
import type { Deployment, Scenario } from './types.ts'

/** One attempt of a caller, as each service of the chain receives it. */
export interface Request {
  id: string
  workspace: string
  priority: number
  deadlineAt: number
  /** True when the request crashes any target of the deepest service that runs it. */
  causesCrash: boolean
  /** Retries made so far for this attempt of the caller, over the whole chain. */
  extraAttempts: { count: number }
}

/** Outcome of a call. `shed` is set when an admission queue refused it. */
export type Result = { type: 'ok' } | { type: 'refused' | 'failed', shed: boolean, crashed?: boolean }

/** Clock, random source, settings and targets of one run. */
export interface Simulation {
  timeline: Timeline
  random: Random
  deployment: Deployment
  scenario: Scenario
  targets: Map<string, SimulatedTarget[]>
  /** One-way latency between two failure domains, in ms. */
  latency: (from: string, to: string) => number
  isDisturbed: () => boolean
  targetsLost: number
}

/** One-way latency inside a failure domain in ms. */
const sameDomainLatencyMs = 0.1

/** Creates the clock and the targets of a scenario. */
export function createSimulation (deployment: Deployment, scenario: Scenario, seed: number): Simulation {
  const timeline = createTimeline()
  const random = createRandom(seed)
  const isDisturbed = () => timeline.now() >= scenario.fromMs && timeline.now() < scenario.untilMs
  const targets = new Map<string, SimulatedTarget[]>()
  const workMsOf = (target: SimulatedTarget) => {
    const ownMs = target.service === 'deep' ? workMs.deep : workMs.shallow
    return ownMs * scenario.slowness(target.service, isDisturbed()) * target.slowness
  }
  for (const service of scenario.chain) {
    const slots = service === 'deep' ? deployment.deepSlots : deployment.slots
    targets.set(service, Array.from({ length: deployment.servers }, (_, index) => createSimulatedTarget(
      { id: `${service}-${index}`, service, domain: deployment.domains[index % deployment.domains.length], slots }, workMsOf, timeline, random)))
  }
  return {
    timeline,
    random,
    deployment,
    scenario,
    targets,
    latency: (from, to) => from === to ? sameDomainLatencyMs : deployment.domainMs,
    isDisturbed,
    targetsLost: 0
  }
}

/** Returns the requests per second that the slots of the whole chain can serve, with or without the disturbance's slowdown. */
export function capacityOf (deployment: Deployment, scenario: Scenario, disturbed: boolean): number {
  let lowestRate = Infinity
  let slotHeldMs = 0
  for (const service of [...scenario.chain].reverse()) {
    const ownMs = (service === 'deep' ? workMs.deep : workMs.shallow) * scenario.slowness(service, disturbed)
    slotHeldMs += ownMs
    const slots = deployment.servers * (service === 'deep' ? deployment.deepSlots : deployment.slots)
    lowestRate = Math.min(lowestRate, slots * 1000 / slotHeldMs)
    slotHeldMs += 2 * deployment.domainMs
  }
  return lowestRate
}

/** Schedules the disturbances other than load and slowdown: replaced targets and wrong health reports. */
export function scheduleDisturbances (simulation: Simulation): void {
  const { scenario, timeline, targets } = simulation
  const { replaceEveryMs, fromMs, untilMs } = scenario
  if (replaceEveryMs !== undefined) {
    const all = [...targets.values()].flat()
    for (let time = fromMs, index = 0; time < untilMs; time += replaceEveryMs, index++) timeline.at(time, () => all[index % all.length].replace())
  }
  if (scenario.wrongHealthReports === true) {
    timeline.at(fromMs, () => setWrongHealthReports(simulation, true))
    timeline.at(untilMs, () => setWrongHealthReports(simulation, false))
  }
}

/** Switches wrong health reports on or off. When on, the first target of each service is slow and reports itself healthy, every second one reports itself unhealthy. */
function setWrongHealthReports (simulation: Simulation, on: boolean): void {
  for (const targets of simulation.targets.values()) {
    for (const [index, target] of targets.entries()) {
      target.slowness = on && index === 0 ? 10 : 1
      target.healthy = !(on && index % 2 === 1)
    }
  }
}
