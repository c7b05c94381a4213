import { createHash } from 'node:crypto'
import { createRandom, pick } from '../../src/core/random/index.ts'

/** An action that is possible in a state. */
export interface Step<State> {
  action: string
  /** Computes the state that the action leads to. */
  reach: () => State
}

/** A protocol modelled as a graph of states. */
export interface Model<State> {
  initial: State
  /** Yields all actions that are possible in a state. */
  next: (state: State) => Iterable<Step<State>>
  /** Returns the invariant that a state violates, or undefined. */
  check: (state: State) => string | undefined
}

/** Result of a search. */
export interface Exploration {
  states: number
  /** True when every state within the model's bounds was visited. */
  complete: boolean
  /** Path to a state that violates an invariant; the shortest one if found by `explore`. */
  violation?: { reason: string, path: string[] }
}

/** Converts maps and sets to arrays, which JSON can represent. */
function collectionsToArrays (_name: string, value: unknown): unknown {
  return value instanceof Map || value instanceof Set ? [...value] : value
}

function keyOf (state: unknown): string {
  return createHash('md5').update(JSON.stringify(state, collectionsToArrays)).digest('base64')
}

/** Searches breadth-first over at most `maxStates` states. */
export function explore<State> (model: Model<State>, maxStates: number): Exploration {
  const parents = new Map<string, { parent: string, action: string } | undefined>()
  const pathTo = (key: string): string[] => {
    const path: string[] = []
    let step = parents.get(key)
    while (step !== undefined) {
      path.unshift(step.action)
      step = parents.get(step.parent)
    }
    return path
  }
  let level: Array<{ key: string, state: State }> = [{ key: keyOf(model.initial), state: model.initial }]
  parents.set(level[0].key, undefined)
  while (level.length > 0) {
    const nextLevel: typeof level = []
    for (const { key, state } of level) {
      for (const { action, reach } of model.next(state)) {
        const reached = reach()
        const reachedKey = keyOf(reached)
        if (parents.has(reachedKey)) continue
        parents.set(reachedKey, { parent: key, action })
        const reason = model.check(reached)
        if (reason !== undefined) return { states: parents.size, complete: false, violation: { reason, path: pathTo(reachedKey) } }
        if (parents.size >= maxStates) return { states: parents.size, complete: false }
        nextLevel.push({ key: reachedKey, state: reached })
      }
    }
    level = nextLevel
  }
  return { states: parents.size, complete: true }
}

/** Walks randomly from the initial state to find violations deeper than an exhaustive search reaches. */
export function walk<State> (model: Model<State>, seed: number, walks: number, depth: number): Exploration {
  const random = createRandom(seed)
  let states = 0
  for (let count = 0; count < walks; count++) {
    let state = model.initial
    const path: string[] = []
    while (path.length < depth) {
      const chosen = pick(random, [...model.next(state)])
      if (chosen === undefined) break
      state = chosen.reach()
      path.push(chosen.action)
      states++
      const reason = model.check(state)
      if (reason !== undefined) return { states, complete: false, violation: { reason, path } }
    }
  }
  return { states, complete: false }
}

/** Executes the named actions in order. Returns the last state and the first action that was not possible, if any. */
export function executeActions<State> (model: Model<State>, actions: readonly string[]): { state: State, impossibleAction?: string } {
  let state = model.initial
  for (const action of actions) {
    const found = [...model.next(state)].find((step) => step.action === action)
    if (found === undefined) return { state, impossibleAction: action }
    state = found.reach()
  }
  return { state }
}
