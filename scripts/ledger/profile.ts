/** Function of a CPU profile. */
export interface CallFrame {
  functionName: string
  url: string
  /** Line number, from 0. */
  lineNumber: number
}

/** CPU profile as Node.js writes it. Times are in microseconds of the machine's monotonic clock. */
export interface CpuProfile {
  nodes: Array<{ id: number, callFrame: CallFrame }>
  startTime: number
  samples: number[]
  timeDeltas: number[]
}

/** Part of a profile, in microseconds of the machine's monotonic clock. */
export interface Window {
  from: number
  to: number
}

/** Processor time by name, in microseconds. */
export type Times = Map<string, number>

/** Returns the module group of a line of the bundle. */
export type GroupOfLine = (lineNumber: number) => string

const modulePattern = /^\/\/ ((?:src|platform|node_modules)\/\S+)$/
const idleFunction = '(idle)'

/** Returns the group that a module of the bundle is counted in. */
export function groupOfModule (path: string): string {
  const parts = path.split('/')
  if (parts[0] === 'node_modules') return parts[1].startsWith('@') ? `${parts[1]}/${parts[2]}` : parts[1]
  if (parts[1] === 'core') return parts.slice(0, 3).join('/')
  return parts.slice(0, 2).join('/')
}

/** Returns a function that finds the group of a line by the comments with which esbuild begins each module. */
export function createLineGroups (bundle: string): GroupOfLine {
  let group = 'bundle'
  const groups = bundle.split('\n').map((line) => {
    const path = modulePattern.exec(line)?.[1]
    if (path !== undefined) group = groupOfModule(path)
    return group
  })
  return (lineNumber) => groups[lineNumber] ?? 'bundle'
}

/** Returns the group of a function, or undefined if the process was idle. */
export function groupOfFrame ({ functionName, url, lineNumber }: CallFrame, groupOfLine: GroupOfLine): string | undefined {
  if (functionName === idleFunction) return undefined
  if (functionName === '(garbage collector)') return 'gc'
  if (url.startsWith('node:')) return 'node internals'
  if (url === '') return 'native'
  return groupOfLine(lineNumber)
}

function add (times: Times, name: string, microseconds: number): void {
  times.set(name, (times.get(name) ?? 0) + microseconds)
}

/** Sums the time of the samples within a window by the name that `nameOf` gives to their functions. Samples without a name are left out. */
export function sumSamples (profile: CpuProfile, window: Window, nameOf: (frame: CallFrame) => string | undefined): Times {
  const names = new Map(profile.nodes.map(({ id, callFrame }) => [id, nameOf(callFrame)]))
  const times: Times = new Map()
  let at = profile.startTime
  profile.samples.forEach((sample, index) => {
    const delta = profile.timeDeltas[index]
    at += delta
    const name = names.get(sample)
    if (name !== undefined && at >= window.from && at < window.to) add(times, name, delta)
  })
  return times
}

/** Adds up times by name. */
export function mergeTimes (parts: readonly Times[]): Times {
  const sum: Times = new Map()
  for (const part of parts) {
    for (const [name, microseconds] of part) add(sum, name, microseconds)
  }
  return sum
}

/** Splits a value in proportion to times, the largest first. */
export function splitByTimes (value: number, times: Times): Array<[string, number]> {
  const total = [...times.values()].reduce((sum, microseconds) => sum + microseconds, 0)
  return [...times].sort((left, right) => right[1] - left[1]).map(([name, microseconds]) => [name, value * microseconds / total])
}
