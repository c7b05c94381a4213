import { createRandom } from '../random/index.ts'
import type { Random } from '../random/index.ts'

/** Choices that are drawn to find out how many requests each target would get. */
const draws = 200

/** Seed of these draws. They have a source of their own, so that they change no other choice. */
const drawSeed = 1

/** What a node knows of a target. Missing values are not known yet. */
export interface KnownTarget {
  node: string
  domain: string
  /** Whether the target stays, or leaves by itself or with its node. */
  state: 'stays' | 'leaves'
  /** False for one that leaves too early for the request, while others stay. */
  isUsable: boolean
  /** True for one that fails most requests by its own fault and gets probes only. */
  isFailing: boolean
  slots: number
  /** Requests that the target works on well at once, as its node states. */
  room?: number
  /** Mean working time of such requests at the target, in ms. */
  workMs?: number
  /** Calls of this node under way. */
  inFlight: number
  /** Load that the target's node reported last: running and waiting requests over its limit. */
  load?: number
  loadAgeMs?: number
  /** Moving average of this node's calls, in ms. */
  latencyMs?: number
  /** Time for which the target still gets no calls after failures, in ms; 0 for none. */
  ejectedForMs: number
}

/** A target with the part of the requests that it would get, and why. */
export interface ExplainedTarget extends KnownTarget {
  /** 0 to 1. */
  part: number
  reason: string
}

/** Targets of a service as a node sees them. */
export interface TargetView {
  targets: readonly KnownTarget[]
  ownDomain: string
  /** Returns the node that the next request would be sent to, as the node decides it, and changes nothing. */
  choose: (random: Random) => string | undefined
}

function describe ({ load, latencyMs }: KnownTarget): string {
  const loadText = load === undefined ? 'no load known' : `load ${load.toFixed(2)}`
  return latencyMs === undefined ? loadText : `${loadText}, ${Math.round(latencyMs)} ms`
}

function reasonOf (target: KnownTarget, part: number, ownDomain: string): string {
  const { isUsable, isFailing, ejectedForMs, domain } = target
  if (part > 0) return `${Math.round(100 * part)}% of such requests: ${domain === ownDomain ? 'own failure domain' : 'other failure domain'}, ${describe(target)}`
  if (!isUsable) return 'leaves, and others stay or leave later'
  if (ejectedForMs > 0) return `left out for ${Math.round(ejectedForMs)} ms after failures in a row`
  if (isFailing) return 'fails requests by its own fault, and gets single ones that show whether it still does'
  return domain === ownDomain ? `others are preferred: ${describe(target)}` : 'in another failure domain, while the own one has room'
}

/** Returns the targets with their parts, the largest first. */
export function explainTargets ({ targets, ownDomain, choose }: TargetView): ExplainedTarget[] {
  const random = createRandom(drawSeed)
  const counts = new Map<string, number>()
  for (let draw = 0; draw < draws; draw++) {
    const node = choose(random)
    if (node === undefined) break
    counts.set(node, (counts.get(node) ?? 0) + 1)
  }
  const explained = targets.map((target) => {
    const part = (counts.get(target.node) ?? 0) / draws
    return { ...target, part, reason: reasonOf(target, part, ownDomain) }
  })
  return explained.sort((one, other) => other.part - one.part || one.node.localeCompare(other.node))
}
