import { book, createCalendar } from './calendar.ts'
import type { Calendar } from './calendar.ts'
import { heededFraction, maxCalendars, maxReturnMs, maxSoonMs, maxSpreadMs, minReturnMs, promisedFraction } from './constants.ts'
import { countArrival, createDemand, rateOf } from './demand.ts'
import type { Demand } from './demand.ts'

/** What an entry node knows of the requests of one route and rank. */
interface RankReturns {
  arrivals: Demand
  /** Those of the arrivals for which room had been set aside. */
  booked: Demand
  calendar: Calendar
}

/** What one entry node has asked its refused callers to do. It is lost with the node; its callers then count as new. */
export interface Returns {
  /** By the key of the route, and the rank. */
  ranks: Map<string, RankReturns>
  /** Calendars of the callers that were refused over the rate of their workspace. */
  workspaces: Map<string, Calendar>
}

/** Returns the part of the requests of a route and rank that may begin, 0 to 1. */
export type ShareOf = (route: string, rank: number, now: number) => number

/** Time of a refused caller. */
export interface TimeLeft {
  /** Monotonic time until which the caller waits, in ms. */
  deadlineAt: number
  /** Time that its request usually takes, in ms. */
  usualMs: number
}

/** Requests of one route and rank. Each rank has its own share of the room, the higher ones the larger. */
export interface RankedRoute {
  /** Key of the route. */
  route: string
  /** Priority, from 0. */
  rank: number
}

/** A request of a caller that was refused. */
export type RefusedRequest = RankedRoute & TimeLeft

/**
 * When a caller is to return. `booked`: room is set aside for it then. `spread`: in the later half of the time that it can use, as no room could be set
 * aside. `soon`: another node can serve it at once. `late`: it has no time left in which its request could end.
 */
export interface PlannedReturn {
  type: 'booked' | 'spread' | 'soon' | 'late'
  afterMs: number
}

/** Creates the state of a node that has refused nobody. */
export function createReturns (): Returns {
  return { ranks: new Map(), workspaces: new Map() }
}

/** Returns the entry of a key, which becomes the most recently used one. */
function entryOf<Entry> (entries: Map<string, Entry>, key: string, create: () => Entry): Entry {
  const entry = entries.get(key) ?? create()
  entries.delete(key)
  entries.set(key, entry)
  const [oldest] = entries.keys()
  if (entries.size > maxCalendars) entries.delete(oldest)
  return entry
}

function rankOf (returns: Returns, { route, rank }: RankedRoute, now: number): RankReturns {
  return entryOf(returns.ranks, `${route} ${rank}`, () => ({ arrivals: createDemand(now), booked: createDemand(now), calendar: createCalendar(now) }))
}

/** Counts a request that arrived, whether it begins or not. `isBooked` is true for one that returns as told and for which room was set aside. */
export function recordArrival (returns: Returns, route: RankedRoute, isBooked: boolean, now: number): void {
  const { arrivals, booked } = rankOf(returns, route, now)
  countArrival(arrivals, now)
  if (isBooked) countArrival(booked, now)
}

/** Returns the part of the share that is left for requests for which no room was set aside, 0 to 1. */
export function partForOthers (returns: Returns, route: RankedRoute, share: number, now: number): number {
  if (share >= 1) return 1
  const { arrivals, booked } = rankOf(returns, route, now)
  const [all, promised] = [rateOf(arrivals, now), rateOf(booked, now)]
  if (promised === 0) return 1
  const begun = all * share
  return promised >= begun ? 0 : (begun - promised) / (all - promised) / share
}

/** Returns the longest time after which a caller heeds the request to return and its request can still end, in ms; at most 0 when there is none. */
function latestMsOf ({ deadlineAt, usualMs }: TimeLeft, now: number): number {
  const leftMs = deadlineAt - now
  return Math.min(maxReturnMs, leftMs * heededFraction, leftMs - usualMs)
}

/** Returns a time between two others. `draw` is uniform in [0, 1). */
function between (fromMs: number, toMs: number, draw: number): number {
  return fromMs + draw * Math.max(0, toMs - fromMs)
}

function planLate ({ deadlineAt }: TimeLeft, now: number): PlannedReturn {
  return { type: 'late', afterMs: Math.min(maxReturnMs, Math.max(0, (deadlineAt - now) * heededFraction)) }
}

/** Plans the return of a caller that another node can serve at once. `draw` is uniform in [0, 1). */
export function planSoon (time: TimeLeft, draw: number, now: number): PlannedReturn {
  const latestMs = latestMsOf(time, now)
  if (latestMs < minReturnMs) return planLate(time, now)
  return { type: 'soon', afterMs: between(minReturnMs, Math.min(latestMs, maxSoonMs), draw) }
}

/** Spreads returns over the later half of the time in which their callers can return: what kept them out may be over by then. */
function spread (latestMs: number, draw: number): PlannedReturn {
  return { type: 'spread', afterMs: between(Math.max(minReturnMs, latestMs / 2), latestMs, draw) }
}

/** Plans the return of a caller where nothing is known of the room. `draw` is uniform in [0, 1). */
export function planSpread (time: TimeLeft, draw: number, now: number): PlannedReturn {
  const latestMs = latestMsOf(time, now)
  return latestMs < minReturnMs ? planLate(time, now) : spread(Math.min(latestMs, maxSpreadMs), draw)
}

/** Books a return, or spreads it where there is no room in time. */
function bookOrSpread (calendar: Calendar, rate: number, latestMs: number, draw: number, now: number): PlannedReturn {
  const returnAt = book(calendar, { rate, earliestAt: now + minReturnMs, latestAt: now + latestMs }, now)
  return returnAt === undefined ? spread(latestMs, draw) : { type: 'booked', afterMs: returnAt - now }
}

/** Plans the return of a caller by the room of its route. `draw` is uniform in [0, 1). */
export function planReturn (returns: Returns, request: RefusedRequest, shareOf: ShareOf, draw: number, now: number): PlannedReturn {
  const { route, rank } = request
  const latestMs = latestMsOf(request, now)
  if (latestMs < minReturnMs) return planLate(request, now)
  const share = shareOf(route, rank, now)
  if (share >= 1) return planSpread(request, draw, now)
  const { arrivals, calendar } = rankOf(returns, request, now)
  return bookOrSpread(calendar, promisedFraction * rateOf(arrivals, now) * share, latestMs, draw, now)
}

/** Plans the return of a caller over the rate of its workspace, of which this node may admit `rate` requests per ms. `draw` is uniform in [0, 1). */
export function planRateReturn (returns: Returns, request: TimeLeft & { workspace: string, rate: number }, draw: number, now: number): PlannedReturn {
  const latestMs = latestMsOf(request, now)
  if (latestMs < minReturnMs) return planLate(request, now)
  const calendar = entryOf(returns.workspaces, request.workspace, () => createCalendar(now))
  return bookOrSpread(calendar, promisedFraction * request.rate, latestMs, draw, now)
}
