import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { createRandom } from '../../src/core/random/index.ts'
import { pause, sendLoad, startTarget } from '../support/load.ts'
import type { Program } from '../support/cluster.ts'
import type { ProcessorTime } from '../support/processor.ts'
import { divide, toMs, total, usedBetween } from './arithmetic.ts'
import { createProfileFolder, measureBareStart, monotonicMicroseconds, readTimes, startBareProxies, startBuild, startMs } from './contender.ts'
import type { BuildContender, Contender, ProfileFolder } from './contender.ts'
import { createLineGroups, groupOfFrame, mergeTimes, splitByTimes, sumSamples } from './profile.ts'
import type { CallFrame, Window } from './profile.ts'
import { poissonArrivals } from './schedule.ts'

const settleMs = 8000
const bareStartCount = 5
const listedFunctions = 25

/** A build to measure: the folder with the binary and its bundle. */
export interface Build {
  name: string
  folder: string
}

/** Settings of a run. */
export interface RunOptions {
  builds: readonly Build[]
  seed: number
  /** Requests a second that each contender gets. */
  rate: number
  nodeCount: number
  /** Runs profiled processes of each build too. Without them more builds fit beside each other. */
  profile: boolean
  idleSeconds: number
  coldSeconds: number
  warmSeconds: number
}

/** Phases that are measured, in order. */
export type Phase = 'start' | 'idle' | 'cold' | 'warm'

/** What one process or call costs in a phase: seconds a start, milliseconds a second of an idle node, milliseconds a call. */
export interface Entry {
  time: ProcessorTime
  /** Cost in relation to the bare proxies' call, or to the bare start. */
  ratio: number
}

/** Split of an entry by module and by function, the largest first, in the unit of the entry. */
export interface Split {
  modules: Array<[string, number]>
  functions: Array<[string, number]>
}

/** Costs of a build. */
export interface BuildLedger {
  name: string
  entries: Record<Phase, Entry>
  /** Undefined in a run without profiles. */
  splits: Record<Phase, Split> | undefined
  /** Milliseconds a second of an idle control instance. */
  idleControl: ProcessorTime
  /** Part of the calls without an answer 200, of the measured and of the profiled processes. */
  unserved: Record<'cold' | 'warm', number[]>
}

/** Result of a run. */
export interface Ledger {
  seed: number
  calls: { cold: number, warm: number }
  bareStart: ProcessorTime
  bareCall: { cold: ProcessorTime, warm: ProcessorTime }
  builds: BuildLedger[]
}

/** A build with processes that are measured and others that are profiled, because a profile costs processor time itself. */
interface Pair {
  build: Build
  measured: BuildContender
  profiled: BuildContender | undefined
}

interface LoadResult {
  window: Window
  /** Part of the calls that were not answered with 200, by contender. Such calls cost less than whole ones. */
  unserved: Map<Contender, number>
  /** Processor time a call over both hops in milliseconds, by contender. */
  callMs: Map<Contender, ProcessorTime>
}

interface IdleResult {
  window: Window
  /** Milliseconds a second of one process. */
  nodeMs: Map<Contender, ProcessorTime>
  controlMs: Map<Contender, ProcessorTime>
}

/** Sends the same schedule to all contenders, each a little later than the one before, and measures what they use. */
async function measureLoad (contenders: readonly Contender[], arrivals: readonly number[], rate: number): Promise<LoadResult> {
  const from = monotonicMicroseconds()
  const before = contenders.map(({ hops }) => readTimes(hops))
  const offsetMs = 1000 / rate / contenders.length
  const tallies = await Promise.all(contenders.map(({ origin, path, key }, index) => sendLoad(origin, path, key, arrivals.map((arrival) => arrival + index * offsetMs))))
  const used = contenders.map(({ hops }, index) => usedBetween(before[index], readTimes(hops)))
  const callMs = new Map(contenders.map((contender, index) => [contender, toMs(divide(used[index], arrivals.length))]))
  const unserved = new Map(contenders.map((contender, index) => [contender, 1 - tallies[index].latencies.length / arrivals.length]))
  return { window: { from, to: monotonicMicroseconds() }, unserved, callMs }
}

/** Measures what nodes and control instances use without load. */
async function measureIdle (contenders: readonly BuildContender[], seconds: number): Promise<IdleResult> {
  const from = monotonicMicroseconds()
  const before = contenders.map(({ nodes, controls }) => ({ nodes: readTimes(nodes), controls: readTimes(controls) }))
  await pause(seconds * 1000)
  const elapsedSeconds = (monotonicMicroseconds() - from) / 1e6
  const nodeMs = new Map<Contender, ProcessorTime>()
  const controlMs = new Map<Contender, ProcessorTime>()
  contenders.forEach((contender, index) => {
    const { nodes, controls } = contender
    nodeMs.set(contender, toMs(divide(usedBetween(before[index].nodes, readTimes(nodes)), elapsedSeconds * nodes.length)))
    controlMs.set(contender, toMs(divide(usedBetween(before[index].controls, readTimes(controls)), elapsedSeconds * controls.length)))
  })
  return { window: { from, to: monotonicMicroseconds() }, nodeMs, controlMs }
}

/** Returns the mean of the processes' times. */
function mean (times: readonly ProcessorTime[]): ProcessorTime {
  return divide(usedBetween(times.map(() => ({ user: 0, system: 0 })), times), times.length)
}

async function measureBareStarts (): Promise<ProcessorTime> {
  const times: ProcessorTime[] = []
  for (let count = 0; count < bareStartCount; count++) times.push(await measureBareStart())
  return mean(times)
}

function nameOfFunction ({ functionName, url, lineNumber }: CallFrame): string {
  const place = url === '' ? '' : ` ${url.split('/').slice(-2).join('/')}:${lineNumber + 1}`
  return `${functionName === '' ? '(anonymous)' : functionName}${place}`
}

/** Splits costs by the profiles of the processes. `fixed` is what they spend before a profile begins. */
function splitEntry (pair: Pair, children: BuildContender['nodes'], folder: ProfileFolder, window: Window, cost: number, fixed = 0): Split {
  const groupOfLine = createLineGroups(readFileSync(join(pair.build.folder, 'dogwoodspring.cjs'), 'utf8'))
  const groupOf = (frame: CallFrame) => groupOfFrame(frame, groupOfLine)
  const nameOf = (frame: CallFrame) => groupOf(frame) === undefined ? undefined : `${groupOf(frame)}: ${nameOfFunction(frame)}`
  const profiles = children.map(folder.read)
  const split = (name: (frame: CallFrame) => string | undefined) =>
    splitByTimes(cost - fixed, mergeTimes(profiles.map((profile) => sumSamples(profile, window, name))))
  const modules = split(groupOf)
  if (fixed > 0) modules.push(['Node.js before the program', fixed])
  modules.sort((left, right) => right[1] - left[1])
  return { modules, functions: split(nameOf).slice(0, listedFunctions) }
}

async function startPairs ({ builds, nodeCount, profile }: RunOptions, folder: ProfileFolder, target: string, started: Contender[]): Promise<Pair[]> {
  const pairs: Pair[] = []
  const start = async (name: string, program: Program) => {
    const contender = await startBuild(name, program, nodeCount, target)
    started.push(contender)
    return contender
  }
  for (const build of builds) {
    const measured = await start(build.name, { command: join(build.folder, 'dogwoodspring'), args: [] })
    const profiled = profile ? await start(`${build.name} profiled`, folder.programOf(join(build.folder, 'dogwoodspring.cjs'))) : undefined
    pairs.push({ build, measured, profiled })
  }
  return pairs
}

function contendersOf ({ measured, profiled }: Pair): BuildContender[] {
  return profiled === undefined ? [measured] : [measured, profiled]
}

function unservedOf (pair: Pair, { unserved }: LoadResult): number[] {
  return contendersOf(pair).map((contender) => unserved.get(contender)!)
}

function splitEntries (pair: Pair, folder: ProfileFolder, entries: Record<Phase, Entry>, windows: Record<Exclude<Phase, 'start'>, Window>, bareStart: ProcessorTime): BuildLedger['splits'] {
  const { profiled } = pair
  if (profiled === undefined) return undefined
  const startWindow = { from: profiled.startedAt, to: profiled.startedAt + startMs * 1000 }
  const split = (phase: Phase, children: BuildContender['nodes'], window: Window, fixed = 0) =>
    splitEntry(pair, children, folder, window, total(entries[phase].time), fixed)
  return {
    start: split('start', profiled.nodes, startWindow, total(bareStart)),
    idle: split('idle', profiled.nodes, windows.idle),
    cold: split('cold', profiled.hops, windows.cold),
    warm: split('warm', profiled.hops, windows.warm)
  }
}

function ledgerOf (pair: Pair, folder: ProfileFolder, idle: IdleResult, cold: LoadResult, warm: LoadResult, bare: Contender, bareStart: ProcessorTime): BuildLedger {
  const { measured } = pair
  const bareWarm = warm.callMs.get(bare)!
  const entry = (time: ProcessorTime, reference: ProcessorTime): Entry => ({ time, ratio: total(time) / total(reference) })
  const entries = {
    start: entry(mean(measured.starts), bareStart),
    idle: entry(idle.nodeMs.get(measured)!, bareWarm),
    cold: entry(cold.callMs.get(measured)!, cold.callMs.get(bare)!),
    warm: entry(warm.callMs.get(measured)!, bareWarm)
  }
  return {
    name: pair.build.name,
    entries,
    splits: splitEntries(pair, folder, entries, { idle: idle.window, cold: cold.window, warm: warm.window }, bareStart),
    idleControl: idle.controlMs.get(measured)!,
    unserved: { cold: unservedOf(pair, cold), warm: unservedOf(pair, warm) }
  }
}

/** Runs builds and bare proxies side by side under the same schedule, and returns what each costs. */
export async function measureLedger (options: RunOptions, progress: (text: string) => void): Promise<Ledger> {
  const random = createRandom(options.seed)
  const coldArrivals = poissonArrivals(random, options.rate, options.coldSeconds)
  const warmArrivals = poissonArrivals(random, options.rate, options.warmSeconds)
  const folder = createProfileFolder()
  const target = await startTarget()
  const started: Contender[] = []
  try {
    progress('starts')
    const bareStart = await measureBareStarts()
    const pairs = await startPairs(options, folder, target.address, started)
    const builds = pairs.flatMap(contendersOf)
    await pause(settleMs)
    progress('idle')
    const idle = await measureIdle(builds, options.idleSeconds)
    const bare = await startBareProxies(target.address)
    started.push(bare)
    progress('load, cold')
    const cold = await measureLoad([bare, ...builds], coldArrivals, options.rate)
    progress('load, warm')
    const warm = await measureLoad([bare, ...builds], warmArrivals, options.rate)
    await Promise.all(started.splice(0).map((contender) => contender.stop()))
    return {
      seed: options.seed,
      calls: { cold: coldArrivals.length, warm: warmArrivals.length },
      bareStart,
      bareCall: { cold: cold.callMs.get(bare)!, warm: warm.callMs.get(bare)! },
      builds: pairs.map((pair) => ledgerOf(pair, folder, idle, cold, warm, bare, bareStart))
    }
  } finally {
    await Promise.all(started.map((contender) => contender.stop()))
    target.close()
    folder.remove()
  }
}

/** Returns the largest part of unserved calls of any build and phase. */
export function largestUnserved ({ builds }: Ledger): number {
  return Math.max(...builds.flatMap(({ unserved }) => Object.values(unserved).flat()))
}
