import { Command, Option } from 'clipanion'
import { consola } from 'consola'
import type { Failure } from '../core/errors/index.ts'
import { readSettings, settings } from '../core/settings/index.ts'
import type { SettingName, Settings, SettingTexts } from '../core/settings/index.ts'

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

/** Base class of commands that run until SIGTERM or SIGINT. */
export abstract class ServiceCommand extends Command {
  /** Calls `stop` on SIGTERM or SIGINT and resolves with the exit code: 0, or 1 if `stop` fails. */
  protected runUntilStopped (stop: () => Promise<void>): Promise<number> {
    return new Promise((resolve) => {
      let stopping = false
      const stopAndResolve = (exitCode: number) => {
        if (stopping) return
        stopping = true
        stop().then(() => resolve(exitCode), (error: Error) => {
          consola.error(error)
          resolve(1)
        })
      }
      process.on('SIGTERM', () => stopAndResolve(0))
      process.on('SIGINT', () => stopAndResolve(0))
    })
  }
}
