/**
 * This module imports nothing, so that a program can hold its signals before anything else of it is read: until then the default action of a
 * signal ends the process.
 */

/** Signals of one meaning, held from some moment on. Times are monotonic, in ms. */
export interface HeldSignal {
  /** Returns true once one has arrived. The event loop delivers them: one that came while code was loaded counts from its next turn on. */
  hasArrived: () => boolean
  /** Sets what each of them does. Those that have arrived before are passed on at once. */
  handle: (handler: (arrivedAt: number) => void) => void
}

/** Signals to a service. */
export interface ServiceSignals {
  /** Asks the service to stop. */
  stop: HeldSignal
  /** Tells the service that its settings have changed; undefined where SIGHUP keeps its default action. */
  reload?: HeldSignal
}

/** Catches signals from now on, and keeps those that arrive before there is a handler. */
export function holdSignal (...names: NodeJS.Signals[]): HeldSignal {
  const arrivals: number[] = []
  let handler: ((arrivedAt: number) => void) | undefined
  const record = () => {
    const arrivedAt = performance.now()
    arrivals.push(arrivedAt)
    handler?.(arrivedAt)
  }
  for (const name of names) process.on(name, record)
  return {
    hasArrived: () => arrivals.length > 0,
    handle (next) {
      handler = next
      for (const arrivedAt of arrivals) next(arrivedAt)
    }
  }
}

/** Catches the signals that ask a service to stop. */
export function holdStopSignal (): HeldSignal {
  return holdSignal('SIGTERM', 'SIGINT')
}
