import type { Statement } from './statements.ts'

/** Load up to which the free part of a target's room counts as it is. Beyond it, it falls by the same factor for each step, because loads are known late. */
const steadyLoad = 0.75
const free = 1 - steadyLoad

/** Load of the own failure domain from which calls leave it, and from which every call may. */
const overflowFrom = 0.6
const overflowUntil = 0.9

/** Working time below which a call is short, in milliseconds: the way to another failure domain costs as much as some waiting here. */
const shortMs = 4

/** Load from which short calls leave the own failure domain, and from which all of them may. */
const shortOverflowFrom = 0.8
const shortOverflowUntil = 0.98

/** Lead in free room, as a fraction of the room, at which a target of another failure domain gets its whole part. */
const fullLead = 0.2

/** A target that may be chosen, with what is known about it for one callee. */
export interface Place {
  /** True for a target of the node's own failure domain. */
  isLocal: boolean
  slots: number
  /** Load without what the statement does not know of, and calls that were begun since, of this node only. */
  load: number
  newCalls: number
  /** Time for which the target has ended no call, relative to the longest one that is usual. Above 1 it may stand still. */
  silence: number
  /** Part of its usual calls that it should get, below 1 where it fails more requests than others of its service. */
  successPart: number
  statement: Statement | undefined
}

/** What a target has for one callee. */
export interface PlaceWeight {
  room: number
  workMs: number
  load: number
  freeRoom: number
  /** Probability of being chosen. */
  weight: number
}

/** Returns the mean working time of the targets that have stated one, weighted by their room and by the age of the statement; undefined for none. */
function meanWorkMs (places: readonly Place[]): number | undefined {
  let sum = 0
  let weights = 0
  for (const { statement } of places) {
    if (statement === undefined) continue
    const weight = statement.weight * statement.room
    sum += weight * statement.workMs
    weights += weight
  }
  return weights > 0 ? sum / weights : undefined
}

/** Returns the free part of a room relative to the one of the least loaded target: with none below the steady load, all parts would round to 0 at high loads. */
function freePart (load: number, leastLoad: number): number {
  return load <= steadyLoad ? 1 - load : free * Math.exp((Math.max(steadyLoad, leastLoad) - load) / free)
}

/** Returns how far `value` is from `from` to `until`, 0 to 1, with a smooth start and end. */
function rise (value: number, from: number, until: number): number {
  const part = Math.max(0, Math.min(1, (value - from) / (until - from)))
  return part * part * (3 - 2 * part)
}

/** Returns the part of the calls that may leave the own failure domain. */
function leavingPart (domainLoad: number, workMs: number): number {
  return workMs < shortMs ? rise(domainLoad, shortOverflowFrom, shortOverflowUntil) : rise(domainLoad, overflowFrom, overflowUntil)
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

/**
 * Weighs targets of one service for one callee: by what each completes in a time, times the free part of its room. The own failure domain comes first.
 * As its load nears the knee, a growing part of the calls goes to all targets, where those elsewhere count as far as they have more free room. Returns
 * undefined when no target has stated anything.
 */
export function weighPlaces (places: readonly Place[]): PlaceWeight[] | undefined {
  const meanMs = meanWorkMs(places)
  if (meanMs === undefined) return undefined
  const known = places.map(({ slots, load, newCalls, statement }) => {
    const age = statement?.weight ?? 0
    const room = statement === undefined ? slots : slots + age * (statement.room - slots)
    const workMs = statement === undefined ? meanMs : meanMs + age * (statement.workMs - meanMs)
    const currentLoad = load + newCalls / room
    return { room, workMs, load: currentLoad, freeRoom: Math.max(0, room * (1 - currentLoad)) }
  })
  const leastLoad = known.reduce((least, { load }) => Math.min(least, load), Infinity)
  const local = known.filter((_, index) => places[index].isLocal)
  const localRoom = sumOf(local.map(({ room }) => room))
  const domainLoad = localRoom > 0 ? sumOf(local.map(({ room, load }) => room * load)) / localRoom : Infinity
  const leaving = localRoom > 0 ? leavingPart(domainLoad, meanMs) : 1
  const rates = known.map(({ room, workMs, load }, index) => {
    const { isLocal, silence, successPart } = places[index]
    const rate = successPart * room / workMs * freePart(load, leastLoad) / Math.max(1, silence) ** 2
    return isLocal ? rate : rate * Math.max(0, Math.min(1, (domainLoad - load) / fullLead))
  })
  const localRate = sumOf(rates.filter((_, index) => places[index].isLocal))
  const totalRate = sumOf(rates)
  return known.map(({ room, workMs, load, freeRoom }, index) => {
    const staying = leaving < 1 && places[index].isLocal ? (1 - leaving) * rates[index] / localRate : 0
    return { room, workMs, load, freeRoom, weight: staying + leaving * rates[index] / totalRate }
  })
}
