import type { Clock } from '../clock/index.ts'

/** What this process knows of the planned stop of another one. Times are monotonic, in ms. */
export interface KnownStop {
  /** Time at which this process learned of the stop. */
  knownAt: number
  /** Estimated end of the stop. It is late by the time that the news took; Infinity when the other process did not state it. */
  endsAt: number
}

/** Properties of a process that may stop. */
export interface StoppingProcess {
  /** Id of this run of the process. */
  boot: string
  leaving?: boolean
  /** Time from the start of its stop to its end, in ms. */
  stopMs?: number
}

/** Planned stops of other processes. Durations travel in place of times, because the processes' clocks may differ. */
export interface KnownStops {
  /** Takes over a changed list of processes. */
  update: (processes: readonly StoppingProcess[]) => void
  /** Returns the stop of a process; undefined for one that does not stop. */
  of: (boot: string) => KnownStop | undefined
}

/** Creates an empty record of stops. */
export function createKnownStops (clock: Clock): KnownStops {
  let stops = new Map<string, KnownStop>()
  return {
    update (processes) {
      const now = clock.now()
      const next = new Map<string, KnownStop>()
      for (const { boot, leaving, stopMs = Infinity } of processes) {
        if (leaving === true) next.set(boot, stops.get(boot) ?? { knownAt: now, endsAt: now + stopMs })
      }
      stops = next
    },
    of: (boot) => stops.get(boot)
  }
}
