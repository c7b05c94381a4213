import type { Random } from '../random/index.ts'
import { advanceFraction, askedMemoryMs, askedSmoothing, maxAdvance, maxWorkspaces, windowMs } from './constants.ts'
import { bisect } from './divide.ts'

/** Name under which workspaces beyond the largest number are counted; no workspace has it. */
const otherWorkspaces = '\n'

/** Count below which a workspace is forgotten, in requests. */
const forgottenBelow = 0.05

/** Part of the difference to the share that each request makes up for. Parts of workspaces rest on few requests and miss it. */
const correction = 0.1

/** Largest difference to the share that is remembered, in requests. */
const maxDifference = 4

/** What one workspace asks for at this node. */
interface Asking {
  /** Decayed count of requests. */
  asked: number
  weight: number
}

/** Requests of one route and rank at an entry node, while there is not room for all of them. */
interface RouteCredit {
  /** Requests that may be begun; a request is begun for each whole one. */
  credit: number
  /** Requests that expected retries may take ahead of the credit. */
  advance: number
  /** Requests by which the begun ones are behind the share. */
  behind: number
  workspaces: Map<string, Asking>
  /** Part per unit of weight up to which the requests of a workspace are begun. */
  level: number
  leveledAt: number
  usedAt: number
}

/** Begun requests of an entry node, by route and rank. */
export type Credits = Map<string, RouteCredit>

/** A new request of a route for which there is not room for all. */
export interface NewRequest {
  /** Names route and rank. */
  key: string
  workspace: string
  weight: number
  /** True for a caller that was told to return now. */
  isExpectedRetry: boolean
}

/** Creates a collection without requests. */
export function createCredits (): Credits {
  return new Map()
}

function fractionOf ({ asked, weight }: Asking, level: number): number {
  return Math.min(1, level * weight / (asked + askedSmoothing))
}

/** Updates the level of max-min fairness at which `share` of all requests is begun. */
function updateLevel (route: RouteCredit, share: number, now: number): void {
  const decay = Math.exp(-(now - route.leveledAt) / askedMemoryMs)
  route.leveledAt = now
  let [total, highest] = [0, 0]
  for (const [workspace, asking] of route.workspaces) {
    asking.asked *= decay
    total += asking.asked
    highest = Math.max(highest, (asking.asked + askedSmoothing) / asking.weight)
    if (asking.asked < forgottenBelow) route.workspaces.delete(workspace)
  }
  const begunAt = (level: number) => {
    let begun = 0
    for (const asking of route.workspaces.values()) begun += asking.asked * fractionOf(asking, level)
    return begun
  }
  route.level = bisect(highest, share * total, begunAt)
}

/** Returns the part of one request that this request adds to the credit, and keeps the sum of such parts at the share. */
function takePart (route: RouteCredit, asking: Asking, share: number): number {
  const part = Math.min(1, Math.max(0, fractionOf(asking, route.level) + correction * route.behind))
  route.behind = Math.min(maxDifference, Math.max(-maxDifference, route.behind + share - part))
  return part
}

/** Counts a request of a workspace and returns what the workspace asks for. */
function recordAsking ({ workspaces }: RouteCredit, { workspace, weight }: NewRequest): Asking {
  const name = workspaces.has(workspace) || workspaces.size < maxWorkspaces ? workspace : otherWorkspaces
  const asking = workspaces.get(name) ?? { asked: 0, weight }
  workspaces.set(name, asking)
  asking.asked++
  return asking
}

/**
 * Returns true when a new request is begun at this entry node. Of the requests of a route, `share` is begun, divided among workspaces by
 * max-min fairness. Fractions add up to whole requests (error diffusion), as an entry node often sees too few requests for lots. Expected
 * retries may go ahead of the credit, which others then lack, with at most `advanceFraction` of what is begun.
 */
export function mayBegin (credits: Credits, newRequest: NewRequest, share: number, now: number, random: Random): boolean {
  let route = credits.get(newRequest.key)
  if (route === undefined) {
    route = { credit: random.next(), advance: 0, behind: 0, workspaces: new Map(), level: 0, leveledAt: now, usedAt: now }
    credits.set(newRequest.key, route)
  }
  const asking = recordAsking(route, newRequest)
  if (route.level === 0 || now - route.leveledAt >= windowMs) updateLevel(route, share, now)
  route.usedAt = now
  const part = takePart(route, asking, share)
  route.credit += part
  route.advance = Math.min(maxAdvance, route.advance + advanceFraction * part)
  const goesAhead = newRequest.isExpectedRetry && route.advance >= 1
  if (goesAhead) route.advance--
  else if (route.credit < 1) return false
  route.credit--
  return true
}

/** Drops routes for which there has been room for a while. */
export function pruneCredits (credits: Credits, now: number): void {
  for (const [key, { usedAt }] of credits) if (now - usedAt > askedMemoryMs) credits.delete(key)
}
