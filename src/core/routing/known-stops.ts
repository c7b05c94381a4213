import type { Clock } from '../clock/index.ts'

/** What this process knows of the time in which another one still takes calls. Times are monotonic, in ms. */
export interface KnownStop {
  /** Time at which this process learned that the other one stops, or that its target leaves. */
  knownAt: number
  /** Estimated end of that time. It is late by the time that the news took. */
  endsAt: number
}

/** Properties of a process that may stop. */
export interface StoppingProcess {
  /** Id of this run of the process. */
  boot: string
  leaving?: boolean
  /** Time from the start of its stop to its end, in ms; missing in records of earlier versions. */
  stopMs?: number
  target?: { state: string }
}

/** Planned stops of other processes. Durations travel in place of times, because the processes' clocks may differ. */
export interface KnownStops {
  /** Takes over a changed list of processes. */
  update: (processes: readonly StoppingProcess[]) => void
  /** Returns the stop of a process; undefined for one that does not stop and whose target does not leave. */
  of: (boot: string) => KnownStop | undefined
}

/** Time for which a process takes calls after it has begun to leave, in ms; undefined when it does not leave. A stop of unknown duration counts as over. */
function leaveTimeMs ({ leaving, stopMs = 0, target }: StoppingProcess, drainMs: number): number | undefined {
  if (leaving === true) return stopMs
  return target?.state === 'leaving' ? drainMs : undefined
}

/** Creates an empty record of stops. A target that leaves by itself gets requests for `drainMs`. */
export function createKnownStops (clock: Clock, drainMs: number): KnownStops {
  /** The stops, with the duration from which their end was reckoned. */
  let stops = new Map<string, KnownStop & { durationMs: number }>()
  return {
    update (processes) {
      const now = clock.now()
      const next: typeof stops = new Map()
      for (const process of processes) {
        const durationMs = leaveTimeMs(process, drainMs)
        if (durationMs === undefined) continue
        const known = stops.get(process.boot)
        const isSame = known?.durationMs === durationMs
        next.set(process.boot, isSame ? known : { knownAt: known?.knownAt ?? now, endsAt: now + durationMs, durationMs })
      }
      stops = next
    },
    of: (boot) => stops.get(boot)
  }
}
