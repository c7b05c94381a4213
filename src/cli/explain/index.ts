import { createReadStream } from 'node:fs'
import type { Readable } from 'node:stream'
import { createInterface } from 'node:readline'
import { Command, Option } from 'clipanion'
import { printFailure, refusedExitCode, usageExitCode } from '../options.ts'

/** Shows the way of one request over the nodes, from the logs of their processes. */
export class ExplainCommand extends Command {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'Show the way of one request and the decision that ended it, from logs',
    examples: [['From files of several processes', 'dogwoodspring explain ID node-1.log node-2.log'], ['From standard input', 'dogwoodspring explain ID < logs']]
  })

  id = Option.String()
  files = Option.Rest()

  async execute (): Promise<number> {
    const { createCollector, renderFindings } = await import('../../core/explain/index.ts')
    const collector = createCollector(this.id)
    const inputs = this.files.length === 0 ? ['standard input'] : this.files
    for (const name of inputs) {
      const input = this.files.length === 0 ? this.context.stdin : createReadStream(name)
      const failure = await readLines(input, (line) => collector.add(line, name))
      if (failure === undefined) continue
      printFailure({ name: 'unreadable_log', message: `${name}: ${failure}`, hint: 'Give files with log lines, or send them to standard input.' })
      return usageExitCode
    }
    const findings = collector.findings()
    this.context.stdout.write(renderFindings(findings))
    return findings.entries.length > 0 ? 0 : refusedExitCode
  }
}

/** Passes on each line. Resolves with the reason when the input cannot be read. */
async function readLines (input: Readable, add: (line: string) => void): Promise<string | undefined> {
  let failure: string | undefined
  input.once('error', (error) => {
    failure = error.message
  })
  try {
    for await (const line of createInterface({ input, crlfDelay: Infinity })) add(line)
  } catch (error) {
    failure ??= error instanceof Error ? error.message : String(error)
  }
  return failure
}
