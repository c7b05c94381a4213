import type { Traffic } from '../demo/callers.ts'
import type { RunCounter } from '../demo/tally.ts'
import type { LinkState } from './proxy.ts'
import type { Fault, Role } from './plan.ts'
import type { Managed, Setting, Station } from './setting.ts'

/** Time for which a node serves requests on open connections after the start of a planned stop that callers know nothing of, in ms. */
const servesWhileStoppingMs = 3000

/** Longest time for a planned stop, in ms. */
const maxStopMs = 40_000

/** Injects faults from outside the processes. */
export interface Injector {
  /** Injects a fault, unless it would hit a process or link that another one holds. Returns what was done, or undefined. */
  inject: (fault: Fault) => string | undefined
  /** Starts to report processes that end by themselves. */
  watchAll: () => void
  /** Waits until all faults have ended and all processes run. */
  settle: () => Promise<void>
}

const pause = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms))

/** Creates an injector. `report` gets a text for each broken promise. */
export function createInjector (setting: Setting, traffic: Traffic, runs: RunCounter, report: (violation: string) => void): Injector {
  const running = new Set<Promise<void>>()
  const disturbed = new Set<string>()

  const track = (work: Promise<void>) => {
    const tracked = work.catch((error: Error) => report(`the soak failed: ${error.message}`)).finally(() => running.delete(tracked))
    running.add(tracked)
  }
  const watch = (managed: Managed) => {
    const { child } = managed
    void child.ended.then((code) => {
      if (managed.child === child && (managed.state === 'running' || managed.state === 'frozen')) report(`${managed.name} ended by itself with ${code ?? child.process.signalCode}`)
    })
  }
  const restart = async (managed: Managed) => {
    managed.earlier.push(managed.child)
    managed.child = await managed.start()
    if (managed.role === 'target') runs.watch(managed.child)
    managed.state = 'running'
    watch(managed)
  }
  const freeze = async (managed: Managed, ms: number) => {
    managed.state = 'frozen'
    managed.child.signal('SIGSTOP')
    await pause(ms)
    managed.child.signal('SIGCONT')
    managed.state = 'running'
  }
  const kill = async (managed: Managed, ms: number) => {
    managed.state = 'down'
    managed.child.signal('SIGKILL')
    await managed.child.ended
    await pause(ms)
    await restart(managed)
  }
  /** Ends a process with SIGTERM. Reports one that does not end in time, or not with 0. */
  const terminate = async (managed: Managed) => {
    managed.state = 'stopping'
    const startedAt = performance.now()
    managed.child.signal('SIGTERM')
    const code = await Promise.race([managed.child.ended, pause(maxStopMs).then(() => 'timeout' as const)])
    if (code !== 0) report(`${managed.name} ended its planned stop with ${code} after ${Math.round(performance.now() - startedAt)} ms`)
    if (code === 'timeout') managed.child.signal('SIGKILL')
    await managed.child.ended
  }
  const stopNode = async ({ node, callerProxy: { address } }: Station) => {
    traffic.expectAnswers(address, true)
    const avoiding = pause(servesWhileStoppingMs).then(() => traffic.avoid(address))
    await Promise.all([terminate(node), avoiding])
    await restart(node)
    traffic.use(address)
    traffic.expectAnswers(address, false)
  }
  const stopTarget = async ({ target }: Station) => {
    await terminate(target)
    await restart(target)
  }
  const disturb = async (station: Station, side: 'target' | 'caller', state: LinkState, ms: number) => {
    const proxy = side === 'target' ? station.targetProxy : station.callerProxy
    proxy.setState(state)
    await pause(ms)
    proxy.setState({ kind: 'pass' })
  }
  const isFree = (managed: Managed) => managed.state === 'running'
  /** Leaves a majority of the control instances running, because nothing is promised without one. */
  const mayLose = (managed: Managed) => managed.role !== 'control' || setting.controls.every(isFree)
  const pickManaged = (role: Role, number: number) => {
    const candidates = setting.managed(role)
    return candidates[number % candidates.length]
  }
  const injectLink = (step: Extract<Fault, { kind: 'link' }>): string | undefined => {
    const station = setting.stations[step.number % setting.stations.length]
    const name = `${step.side} link of ${station.node.name}`
    if (disturbed.has(name) || (step.side === 'caller' && station.node.state === 'stopping')) return undefined
    disturbed.add(name)
    track(disturb(station, step.side, step.state, step.ms).finally(() => disturbed.delete(name)))
    return `${name}: ${JSON.stringify(step.state)} for ${step.ms} ms`
  }
  const injectStop = (step: Extract<Fault, { kind: 'stop' }>): string | undefined => {
    const station = setting.stations[step.number % setting.stations.length]
    const managed = station[step.role]
    if (!isFree(managed) || disturbed.has(`caller link of ${station.node.name}`)) return undefined
    track(step.role === 'node' ? stopNode(station) : stopTarget(station))
    return `${managed.name} is stopped`
  }
  return {
    inject (fault) {
      switch (fault.kind) {
        case 'link': return injectLink(fault)
        case 'stop': return injectStop(fault)
        case 'freeze':
        case 'kill': {
          const managed = pickManaged(fault.role, fault.number)
          if (!isFree(managed) || !mayLose(managed)) return undefined
          track(fault.kind === 'freeze' ? freeze(managed, fault.ms) : kill(managed, fault.ms))
          return `${managed.name}: ${fault.kind} for ${fault.ms} ms`
        }
      }
    },
    watchAll () {
      for (const managed of [...setting.controls, ...setting.managed('node'), ...setting.managed('target')]) watch(managed)
    },
    async settle () {
      while (running.size > 0) await Promise.all(running)
    }
  }
}
