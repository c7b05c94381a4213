import type { Effect, Snapshot, HardState, Entry } from './types.ts'

/** Durable writes of an instance. Each returns after the data is synced, or throws. */
export interface EffectStore {
  save: (hardState: HardState | undefined, entries: readonly Entry[]) => void
  saveSnapshot: (snapshot: Snapshot, hardState: HardState, entries: readonly Entry[]) => void
}

/** Performs the effects of an instance in order, across failures of its storage. */
export interface EffectRunner {
  /** Performs effects. Does nothing while earlier ones wait: their instance must not take events then. */
  run: (effects: readonly Effect[]) => void
  /** Performs the effects that wait, from the refused write on. Returns false if it is refused again. */
  retry: () => boolean
  /** Returns the error of the refused write, or undefined when none waits. */
  failure: () => string | undefined
}

/**
 * Creates a runner. A write that the storage refuses, as on a full disk, waits together with the effects behind it, so that nothing is
 * sent or applied that rests on it. To the group the instance looks like one whose disk is slow: its state is not advanced, and
 * the same write is tried again before any other. `perform` gets every effect, writes once they are durable.
 */
export function createEffectRunner (store: EffectStore, hardState: () => HardState, perform: (effect: Effect) => void): EffectRunner {
  let waiting: readonly Effect[] = []
  let failure: string | undefined

  /** Performs the write of an effect, if it has one. Returns the error of a write that the storage refused. */
  const refusedWrite = (effect: Effect): string | undefined => {
    try {
      if (effect.type === 'save') store.save(effect.hardState, effect.entries ?? [])
      if (effect.type === 'snapshot') store.saveSnapshot(effect.snapshot, hardState(), effect.entries)
      return undefined
    } catch (error) {
      return error instanceof Error ? error.message : String(error)
    }
  }
  const performAll = (effects: readonly Effect[]) => {
    waiting = []
    for (const [position, effect] of effects.entries()) {
      failure = refusedWrite(effect)
      if (failure !== undefined) {
        waiting = effects.slice(position)
        return
      }
      perform(effect)
    }
  }
  return {
    run (effects) {
      if (waiting.length === 0) performAll(effects)
    },
    retry () {
      performAll(waiting)
      return failure === undefined
    },
    failure: () => failure
  }
}
