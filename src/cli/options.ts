import { setImmediate as nextTurn } from 'node:timers/promises'
import { Command, Option } from 'clipanion'
import { consola } from 'consola'
import type { Failure } from '../core/errors/index.ts'
import { readSettings, settings } from '../core/settings/index.ts'
import type { SettingName, Settings, SettingTexts } from '../core/settings/index.ts'
import { holdStopSignal } from '../signals/index.ts'
import type { ServiceSignals } from '../signals/index.ts'

/** Exit code for an invalid setting or invalid input. */
export const usageExitCode = 2

/** Exit code for a refused change or an unreachable control instance. */
export const refusedExitCode = 1

/** Declares the option of a setting, with its environment variable and its help text. */
export function flag (name: SettingName): string | undefined {
  const { flag: flagName, variable, description, unit, fallback } = settings[name]
  const defaultText = fallback === undefined ? 'required' : `default: ${fallback === '' ? 'none' : fallback}`
  return Option.String(flagName, { env: variable, description: `${description} [${unit}; ${defaultText}; ${variable}]` })
}

/** Prints a failure and its hint to standard error, one line each. */
export function printFailure (failure: Pick<Failure, 'name' | 'message' | 'hint'>): void {
  process.stderr.write(`${failure.name}: ${failure.message}\n${failure.hint}\n`)
}

/** Parses settings. Prints the failure and returns undefined if one of them is invalid. */
export function checkSettings<Name extends SettingName> (names: readonly Name[], texts: SettingTexts<Name>): Settings<Name> | undefined {
  const result = readSettings(names, texts)
  if (result.ok) return result.value
  printFailure(result)
  return undefined
}

let heldSignals: ServiceSignals | undefined

/** Takes over the signals that a program holds since its first statement. */
export function adoptSignals (signals: ServiceSignals): void {
  heldSignals = signals
}

/** Base class of commands that run until SIGTERM or SIGINT. */
export abstract class ServiceCommand extends Command {
  /** Returns the signals to this process. Called before a service opens its listeners: requests may come from then on, which no signal may cut. */
  protected signals (): ServiceSignals {
    heldSignals ??= { stop: holdStopSignal() }
    return heldSignals
  }

  /** Returns true when a stop was asked for before the service starts. It has taken nothing then, and can end at once. */
  protected async isStopRequested (): Promise<boolean> {
    const { stop } = this.signals()
    await nextTurn()
    return stop.hasArrived()
  }

  /**
   * Calls `stop` on the first SIGTERM or SIGINT, also when it arrived while the service started, and resolves with the exit code: 0, or 1 if
   * `stop` fails. Later ones change nothing. `requestedAt` is when the first arrived, in monotonic ms, as whoever sent it counts from then.
   */
  protected runUntilStopped (stop: (requestedAt: number) => Promise<void>): Promise<number> {
    return new Promise((resolve) => {
      let stopping = false
      this.signals().stop.handle((requestedAt) => {
        if (stopping) return
        stopping = true
        stop(requestedAt).then(() => resolve(0), (error: Error) => {
          consola.error(error)
          resolve(1)
        })
      })
    })
  }
}
