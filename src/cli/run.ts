import { Cli } from 'clipanion'
import type { CommandClass } from 'clipanion'

/** Runs the command given by the arguments and exits with its exit code. */
export function runCli (commands: readonly CommandClass[]): void {
  const cli = new Cli({
    binaryLabel: 'dogwoodspring',
    binaryName: 'dogwoodspring',
    binaryVersion: process.env.DOGWOODSPRING_VERSION ?? 'development'
  })
  for (const command of commands) cli.register(command)
  void cli.run(process.argv.slice(2), Cli.defaultContext).then((exitCode) => {
    process.exitCode = exitCode
    setImmediate(() => process.exit(exitCode))
  })
}
