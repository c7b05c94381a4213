import { execFileSync } from 'node:child_process'
import { mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createMachines, eventually, lastLogLines } from '../platform/machines.ts'
import type { Machines, Program } from '../platform/machines.ts'
import { pause } from '../platform/stopping.ts'

/** Time for which a crowd sends, in ms. */
export const crowdMs = 4000

/** Time after the crowd has stopped sending, and still reads nothing, at which a process is judged, in ms. */
const settleMs = 1500

/** Largest resident memory of a process while a crowd sends to it and after it, in MB. */
export const maxResidentMb = 160

/** Most descriptors that a process holds in a crowd of `connections`, beside one for each of them. */
export const maxOtherDescriptors = 100

/** Old generation of the processes, in MB: less than as deployed, so that a small crowd shows what is held for it. */
const heapMb = 96

/** Clients that send without end and read nothing. */
export interface Crowd {
  connections: number
  /** Bytes that each connection begins with. */
  first?: string
  /** Bytes that each connection sends again and again. */
  repeated: string
  /** Number of repetitions after which a connection sends no more. Default: none. */
  times?: number
}

/** The program as it is deployed, in a folder of its own. */
export interface BuiltProgram {
  node: Program
  control: Program
  remove: () => void
}

/** Builds the program of the platform. */
export function buildProgram (): BuiltProgram {
  const root = join(import.meta.dirname, '../..')
  const folder = mkdtempSync(join(tmpdir(), 'program-'))
  execFileSync(process.execPath, [join(root, 'scripts/build.mjs'), '--platform', folder], { cwd: root })
  const file = join(folder, 'dogwoodspring.cjs')
  const heap = `--max-old-space-size=${heapMb}`
  return {
    node: { arguments: [heap, '--single-threaded', '--expose-gc', file] },
    control: { arguments: [heap, file] },
    remove: () => rmSync(folder, { recursive: true })
  }
}

/** Sends to a socket whose answers nobody reads. */
function sendUnread (socket: Socket, { first = '', repeated, times = Infinity }: Crowd, isOver: () => boolean): void {
  const piece = Buffer.from(repeated.repeat(Math.max(1, Math.min(times, Math.floor(64 * 1024 / repeated.length)))))
  let left = Math.ceil(times * repeated.length / piece.length)
  const go = () => {
    while (!socket.destroyed && !isOver() && left-- > 0) {
      if (!socket.write(piece)) return void socket.once('drain', go)
    }
  }
  socket.write(first)
  go()
}

/** Starts a crowd at an address. Connections that are closed are opened again, as clients would. */
function startCrowd (host: string, port: number, crowd: Crowd): { stop: () => void, leave: () => void } {
  const sockets = new Set<Socket>()
  let isOver = false
  const open = () => {
    const socket = connect(port, host)
    socket.pause()
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('connect', () => sendUnread(socket, crowd, () => isOver))
    socket.once('close', () => {
      sockets.delete(socket)
      if (!isOver) setTimeout(() => isOver || open(), 100)
    })
  }
  for (let count = 0; count < crowd.connections; count++) open()
  return {
    stop: () => void (isOver = true),
    leave () {
      for (const socket of sockets) socket.destroy()
    }
  }
}

function residentMb (pid: number, field: 'VmHWM' | 'VmRSS'): number {
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024
}

/** What a process was seen to hold. */
export interface Seen {
  lives: boolean
  beforeMb: number
  peakMb: number
  mostDescriptors: number
}

/** Lets a crowd send to a listener of a process, and watches what the process holds. Resolves while the crowd is still connected, with a function that ends it. */
export async function watchCrowd (machines: Machines, name: string, host: string, port: number, crowd: Crowd): Promise<Seen & { leave: () => void }> {
  return await watchCrowds(machines, name, [[host, port]], crowd)
}

/** The same for a crowd that sends to several listeners of a process, with all its connections to each. */
export async function watchCrowds (machines: Machines, name: string, addresses: Array<[host: string, port: number]>, crowd: Crowd): Promise<Seen & { leave: () => void }> {
  const pid = machines.pidOf(name)
  const seen: Seen = { lives: true, beforeMb: residentMb(pid, 'VmRSS'), peakMb: 0, mostDescriptors: 0 }
  const crowds = addresses.map(([host, port]) => startCrowd(host, port, crowd))
  const stop = () => crowds.forEach((each) => each.stop())
  const until = performance.now() + crowdMs + settleMs
  while (performance.now() < until && machines.isRunning(name)) {
    if (performance.now() > until - settleMs) stop()
    try {
      seen.peakMb = Math.max(seen.peakMb, residentMb(pid, 'VmHWM'))
      seen.mostDescriptors = Math.max(seen.mostDescriptors, readdirSync(`/proc/${pid}/fd`).length)
    } catch {
      break // The process has ended.
    }
    await pause(50)
  }
  stop()
  seen.lives = machines.isRunning(name)
  return { ...seen, leave: () => crowds.forEach((each) => each.leave()) }
}

/** Starts three control instances and a node beside a server, configured with the routes of a document. */
export async function startSystem (program: BuiltProgram, document: object): Promise<Machines> {
  const machines = await createMachines()
  for (const number of [1, 2, 3]) machines.startCore(number, true, program.control)
  const server = await machines.startSidecar(1, 'shop', undefined, program.node)
  const beats = setInterval(() => void server.sendHeartbeat('ready'), 1000)
  const stop = async () => {
    clearInterval(beats)
    await machines.stop()
  }
  try {
    await eventually(async () => await server.sendHeartbeat('ready') === 200)
    await eventually(async () => (await machines.replaceConfiguration(1, '0', document)).status === 200)
    await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  } catch (error) {
    if (error instanceof Error) error.message += `\n${lastLogLines()}`
    await stop()
    throw error
  }
  return { ...machines, stop }
}
