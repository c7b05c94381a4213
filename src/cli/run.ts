import { Cli } from 'clipanion'
import type { CommandClass } from 'clipanion'

/** Time for which the end of the process waits for the reader of its log, in milliseconds. */
const maxLogWaitMs = 500

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
    exitOnceWritten(exitCode)
  })
}

/**
 * Ends the process once all output was handed to the system: a pipe takes a long text only as fast as its reader. Standard error may be a log
 * that nobody reads, for which a stop does not wait.
 */
function exitOnceWritten (exitCode: number): void {
  process.stdout.write('', () => {
    setTimeout(() => process.exit(exitCode), maxLogWaitMs)
    process.stderr.write('', () => process.exit(exitCode))
  })
}
