// Program of a test: prints more than a pipe holds through the command line of the product.
import { Command } from 'clipanion'
import { runCli } from '../../src/cli/run.ts'

class LongCommand extends Command {
  static override paths = [['long']]

  async execute (): Promise<number> {
    this.context.stdout.write('x'.repeat(2_000_000))
    return 3
  }
}

class LogCommand extends Command {
  static override paths = [['log']]

  async execute (): Promise<number> {
    this.context.stderr.write('x'.repeat(2_000_000))
    return 4
  }
}

runCli([LongCommand, LogCommand])
