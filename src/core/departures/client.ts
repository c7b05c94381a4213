import * as v from 'valibot'
import { check } from '../config/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { unknownMethodReason } from '../rpc/index.ts'
import type { RpcResult } from '../rpc/index.ts'
import { keepMethod, recallMethod } from './holder.ts'
import type { KeepRequest, RecallReply, RecallRequest } from './holder.ts'
import { rankHolders } from './ranking.ts'
import { departureSchema, isSameDeparture, mergeDepartures } from './record.ts'
import type { Departure } from './record.ts'

/** Control instances, and nodes, that are told of a departure, and that are asked after a restart. */
const toldOfEach = 2
const askedOfEach = 4

/** Times of one message to a holder, in milliseconds. */
const messageTimeouts = { retryMs: 80, timeoutMs: 400 }

/** Time for which a departure waits for its second holder, and for its first one, in milliseconds. */
const secondHolderMs = 150
const firstHolderMs = 500

/** Interval at which holders are told again, and time for which they are, in milliseconds: holders are restarted too. */
const retellIntervalMs = 1000
const retellForMs = 30_000

/** Time after the start of a node for which it waits until others have said what its earlier process knew, in milliseconds. */
export const recallLimitMs = 1000

/** Interval at which a starting node asks the members that it has found meanwhile, in milliseconds. */
const askIntervalMs = 50

const replySchema = v.object({ departures: v.array(departureSchema) })

/** Makes departures known beyond this process, and brings back those of its earlier process. */
export interface DepartureClient {
  /** Tells others of a departure. Resolves with whether another process has it by then; false means that it must not be acknowledged. */
  tell: (departure: Departure) => Promise<boolean>
  /** Resolves when the others have said what they know, or the time for it is over; false if nobody answered. Then they are asked on. */
  recall: () => Promise<boolean>
  /** Returns true once anybody has answered this process. */
  isAnswered: () => boolean
  close: () => void
}

/** A departure of the own target, with the boot ids or addresses of those who have it. */
interface ToldDeparture {
  departure: Departure
  holders: Set<string>
  toldAt: number
}

interface Holder {
  key: string
  address: string
  role: 'control' | 'node'
}

/** Returns true for the answer of an earlier version, which keeps nothing. Beside such members only, departures are acknowledged as in that version. */
function isEarlierVersion (reply: RpcResult<unknown>): boolean {
  return !reply.ok && reply.reason === unknownMethodReason
}

type ClientPeers = Pick<Peers, 'self' | 'members' | 'controlAddresses' | 'datagrams'>

/** Creates the client. `restore` gets the departures of the earlier process, whenever somebody names them. */
export function createDepartureClient (peers: ClientPeers, { clock, log, metrics }: Environment, hash: (text: string) => number, restore: (departures: readonly Departure[]) => void): DepartureClient {
  let told: ToldDeparture[] = []
  /** Addresses that were asked: a control instance is first known by its address alone. */
  const asked = new Set<string>()
  const answered: Record<Holder['role'], number> = { control: 0, node: 0 }
  let isClosed = false

  /** Returns the preferred holders; where no control instance is known, the addresses through which this process joins. */
  const findHolders = (ofEach: number): Holder[] => {
    const { control, nodes } = rankHolders(peers.self(), peers.members(), hash)
    const members = [...control.slice(0, ofEach), ...nodes.slice(0, ofEach)].map(({ boot, address, role }) => ({ key: boot, address, role }))
    if (control.length > 0) return members
    return [...peers.controlAddresses().map((address) => ({ key: address, address, role: 'control' as const })), ...members]
  }
  const keepAt = async (entry: ToldDeparture, { key, address }: Holder) => {
    const { departure, holders } = entry
    const request = { node: peers.self().id, departures: [departure] } satisfies KeepRequest
    const reply = await peers.datagrams.request<boolean>(address, keepMethod, request, messageTimeouts)
    if (reply.ok ? reply.value === true : isEarlierVersion(reply)) holders.add(key)
    metrics.count(`departures_told_total{outcome="${reply.ok ? 'kept' : 'lost'}"}`)
  }
  const tellHolders = (entry: ToldDeparture): number => {
    const holders = findHolders(toldOfEach)
    for (const holder of holders) {
      if (!entry.holders.has(holder.key)) void keepAt(entry, holder)
    }
    return holders.length
  }
  const timer = setInterval(() => {
    told = told.filter(({ holders, toldAt }) => holders.size === 0 || clock.now() - toldAt < retellForMs)
    for (const entry of told) tellHolders(entry)
  }, retellIntervalMs)
  const record = (departure: Departure): ToldDeparture => {
    const known = told.find((entry) => isSameDeparture(entry.departure, departure))
    if (known === undefined) {
      const entry = { departure, holders: new Set<string>(), toldAt: clock.now() }
      told.push(entry)
      return entry
    }
    const [combined] = mergeDepartures([known.departure], [departure])
    const isNews = combined.state !== known.departure.state || combined.isCertain !== known.departure.isCertain || combined.sequence > known.departure.sequence
    return isNews ? Object.assign(known, { departure: combined, holders: new Set<string>(), toldAt: clock.now() }) : known
  }

  const ask = async ({ address, role }: Holder) => {
    asked.add(address)
    const reply = await peers.datagrams.request<RecallReply>(address, recallMethod, { node: peers.self().id } satisfies RecallRequest, messageTimeouts)
    if (isClosed) return
    const checked = check(replySchema, reply.ok ? reply.value : { departures: [] })
    if (!checked.ok || !(reply.ok || isEarlierVersion(reply))) return void asked.delete(address)
    answered[role]++
    if (checked.value.departures.length > 0) restore(checked.value.departures)
  }
  const askAll = () => {
    for (const holder of findHolders(askedOfEach)) {
      if (!asked.has(holder.address)) void ask(holder)
    }
  }
  const isAnswered = () => answered.control > 0 || answered.node > 0
  const hasEnoughAnswers = () => answered.control >= toldOfEach && answered.node >= toldOfEach
  const askOn = async () => {
    while (!isClosed && !isAnswered()) {
      askAll()
      await pause(retellIntervalMs)
    }
  }
  return {
    async tell (departure) {
      const entry = record(departure)
      const holders = tellHolders(entry)
      if (holders === 0) return true // Nobody else belongs to this cluster.
      const startedAt = clock.now()
      const isWaiting = () => {
        const waited = clock.now() - startedAt
        return entry.holders.size === 0 ? waited < firstHolderMs : entry.holders.size < Math.min(2, holders) && waited < secondHolderMs
      }
      while (isWaiting() && !isClosed) await pause(askIntervalMs / 5)
      const { instance, state } = departure
      if (entry.holders.size === 0) log.warn('departure known to no other process, not acknowledged', { instance, state })
      return entry.holders.size > 0
    },
    async recall () {
      const startedAt = clock.now()
      while (!isClosed && !hasEnoughAnswers() && clock.now() - startedAt < recallLimitMs) {
        askAll()
        await pause(askIntervalMs)
      }
      log.info('earlier departures recalled', { ...answered, afterMs: Math.round(clock.now() - startedAt) })
      if (!isAnswered()) void askOn()
      return isAnswered()
    },
    isAnswered,
    close () {
      isClosed = true
      clearInterval(timer)
    }
  }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
