import type { TestContext } from 'node:test'
import { createDepartureClient, serveDepartures } from '../../src/core/departures/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createTargetMessages } from '../../src/core/node/target-messages.ts'
import type { TargetMessages } from '../../src/core/node/target-messages.ts'
import { createOwnTarget } from '../../src/core/node/target.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import type { Environment, Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { unknownMethodReason } from '../../src/core/rpc/index.ts'
import type { Datagrams } from '../../src/core/rpc/index.ts'

export const drainMs = 1600

type Handler = (params: unknown, from: string) => unknown

/** A process that keeps departures for others; a node has a target, too. */
interface Process {
  member: Member
  handlers: Map<string, Handler>
  close: () => Promise<void>
}

/** A node with its target. */
export interface SimulatedNode extends Process {
  target: OwnTarget
  messages: TargetMessages
}

/** Processes on a network whose members all know each other, under a clock of the test. */
export interface SimulatedNodes {
  node: (id: string) => SimulatedNode
  /** Kills a process; its memory is gone. */
  kill: (id: string) => Promise<void>
  start: (id: string) => void
  /** Cuts processes off from all others. */
  cut: (...ids: string[]) => void
  heal: () => void
  /** Hides processes from the member lists of all others; they still answer. */
  hide: (...ids: string[]) => void
  /** Makes a process one of an earlier version, which keeps no departures. */
  downgrade: (id: string) => void
  /** Returns how often a method was called at a process. */
  calls: (id: string, method: string) => number
  /** Advances the clock. */
  run: (ms: number) => Promise<void>
  now: () => number
}

/** Creates processes; ids that begin with c are control instances. The last letter of an id is its failure domain. */
export async function withNodes (context: TestContext, ids: readonly string[], use: (nodes: SimulatedNodes) => Promise<void>): Promise<void> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  let now = 1000
  let starts = 0
  const clock = { now: () => now, date: () => new Date(now) }
  const environment: Environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  const processes = new Map<string, Process>()
  const cutOff = new Set<string>()
  const hidden = new Set<string>()
  const calls = new Map<string, number>()
  const hash = (text: string) => [...text].reduce((sum, letter) => Math.imul(sum, 31) + letter.charCodeAt(0) >>> 0, 7)

  const canReach = (from: string, to: string) => processes.has(to) && !cutOff.has(from) && !cutOff.has(to)
  const createFakeDatagrams = (id: string, handlers: Map<string, Handler>): Datagrams => ({
    notify () {},
    async request (address, method, params, { timeoutMs }) {
      await pause(1)
      if (canReach(id, address)) {
        const name = `${address} ${method}`
        calls.set(name, (calls.get(name) ?? 0) + 1)
        const handler = processes.get(address)?.handlers.get(method)
        const value = handler?.(structuredClone(params), id)
        await pause(1)
        if (handler === undefined) return { ok: false, reason: unknownMethodReason }
        if (canReach(id, address)) return { ok: true, value: structuredClone(value) as never }
      }
      await pause(timeoutMs)
      return { ok: false, reason: 'timeout' }
    },
    method: (name, handle) => void handlers.set(name, handle as Handler),
    close () {},
    sentBytes: () => 0
  })
  const start = (id: string) => {
    const role = id.startsWith('c') ? 'control' : 'node'
    const member: Member = { id, startedAt: now, boot: `${id}-${++starts}`, incarnation: 0, status: 'alive', role, domain: id.slice(-1), address: id }
    const handlers = new Map<string, Handler>()
    const datagrams = createFakeDatagrams(id, handlers)
    serveDepartures(datagrams, clock, () => {})
    if (role === 'control') return void processes.set(id, { member, handlers, close: async () => {} })
    const members = () => [...processes.values()].map((process) => process.member).filter((other) => other.id === id || (canReach(id, other.id) && !hidden.has(other.id)))
    const peers = { self: () => member, members, datagrams, controlAddresses: () => ids.filter((other) => other.startsWith('c')), setTarget () {} } as unknown as Peers
    const target = createOwnTarget(peers, environment, { drainMs, adaptiveLimit: false })
    const departures = createDepartureClient(peers, environment, hash, target.restore)
    const messages = createTargetMessages(target, departures, environment)
    const close = async () => {
      departures.close()
      await target.close()
    }
    processes.set(id, { member, handlers, close, target, messages } as SimulatedNode)
  }
  const kill = async (id: string) => {
    const killed = processes.get(id)
    processes.delete(id)
    await killed?.close()
  }
  for (const id of ids) start(id)
  try {
    await use({
      node: (id) => processes.get(id) as SimulatedNode,
      kill,
      start,
      cut: (...cut) => cut.forEach((id) => cutOff.add(id)),
      heal: () => {
        cutOff.clear()
        hidden.clear()
      },
      hide: (...ids) => ids.forEach((id) => hidden.add(id)),
      downgrade: (id) => processes.get(id)?.handlers.clear(),
      calls: (id, method) => calls.get(`${id} ${method}`) ?? 0,
      async run (ms) {
        for (const until = now + ms; now < until; now++) {
          context.mock.timers.tick(1)
          for (let turn = 0; turn < 6; turn++) await Promise.resolve()
        }
      },
      now: () => now
    })
  } finally {
    for (const id of ids) await kill(id)
    context.mock.timers.reset()
  }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
