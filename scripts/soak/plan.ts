import { pick } from '../../src/core/random/index.ts'
import type { Random } from '../../src/core/random/index.ts'
import type { LinkState } from './proxy.ts'

/** A fault. Numbers name processes by their position, modulo how many there are. */
export type Fault =
  /** The process gets SIGSTOP, and SIGCONT after `ms`. */
  | { kind: 'freeze', role: Role, number: number, ms: number }
  /** The process gets SIGKILL and is started again after `ms`. */
  | { kind: 'kill', role: Role, number: number, ms: number }
  /** The process gets SIGTERM and is started again after it has ended. */
  | { kind: 'stop', role: 'node' | 'target', number: number }
  /** The link between a node and its target, or between the callers and a node, is disturbed for `ms`. */
  | { kind: 'link', side: 'target' | 'caller', number: number, state: LinkState, ms: number }

/** An operator's change. */
export type Change =
  | { kind: 'change-workspace', number: number, rate: number }
  | { kind: 'withdraw-key' }

/** A fault or an operator's change. */
export type Step = Fault | Change

/** What a process is. */
export type Role = 'node' | 'target' | 'control'

/** A step with its time since the start of the traffic, in milliseconds. */
export interface TimedStep {
  at: number
  step: Step
}

const meanIntervalMs = 900
const roles: readonly Role[] = ['node', 'node', 'target', 'target', 'control']
const linkStates: readonly LinkState[] = [
  { kind: 'delay', ms: 80 }, { kind: 'delay', ms: 600 }, { kind: 'reset' }, { kind: 'one-way' }, { kind: 'silence' }, { kind: 'endless-head' }, { kind: 'endless-body' }
]
const callerLinkKinds = new Set(['delay', 'reset', 'one-way', 'silence'])

function between (random: Random, low: number, high: number): number {
  return Math.round(low + random.next() * (high - low))
}

function drawStep (random: Random): Step {
  const draw = random.next()
  const number = random.below(1000)
  const role = pick(random, roles) ?? 'node'
  if (draw < 0.2) return { kind: 'freeze', role, number, ms: between(random, 100, 3500) }
  if (draw < 0.4) return { kind: 'kill', role, number, ms: between(random, 0, 3000) }
  if (draw < 0.55) return { kind: 'stop', role: random.next() < 0.6 ? 'node' : 'target', number }
  if (draw < 0.85) return drawLinkStep(random, number)
  if (draw < 0.95) return { kind: 'change-workspace', number, rate: between(random, 120, 400) }
  return { kind: 'withdraw-key' }
}

function drawLinkStep (random: Random, number: number): Step {
  const side = random.next() < 0.7 ? 'target' : 'caller'
  const states = side === 'target' ? linkStates : linkStates.filter(({ kind }) => callerLinkKinds.has(kind))
  return { kind: 'link', side, number, state: pick(random, states) ?? { kind: 'pass' }, ms: between(random, 100, 4000) }
}

/** Draws the steps of a run: single ones and series in quick succession, which overlap. */
export function drawPlan (random: Random, durationMs: number): TimedStep[] {
  const steps: TimedStep[] = []
  let at = 500
  while (at < durationMs) {
    const count = random.next() < 0.25 ? between(random, 2, 5) : 1
    for (let index = 0; index < count; index++) steps.push({ at: at + index * between(random, 0, 150), step: drawStep(random) })
    at += between(random, meanIntervalMs / 2, meanIntervalMs * 3 / 2)
  }
  return steps.sort((left, right) => left.at - right.at)
}
