import { Command, Option } from 'clipanion'
import { readDocument } from '../admin-command.ts'
import { printFailure, usageExitCode } from '../options.ts'

/** Checks a template or a workspace document without sending it. */
export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Check a template or workspace document without sending it' })

  kind = Option.String('--kind', 'template', { description: 'What the document is [template or workspace; default: template]' })
  file = Option.String()

  async execute (): Promise<number> {
    const { check, templateSchema, workspaceSchema } = await import('../../core/config/index.ts')
    if (this.kind !== 'template' && this.kind !== 'workspace') {
      printFailure({ name: 'invalid_setting', message: `--kind is ${JSON.stringify(this.kind)}; allowed: template, workspace`, hint: 'See --help.' })
      return usageExitCode
    }
    const document = await readDocument(this.file)
    if (!document.ok) {
      printFailure({ name: 'bad_document', message: document.reason, hint: 'Give a file with a JSON document.' })
      return usageExitCode
    }
    const checked = check(this.kind === 'template' ? templateSchema : workspaceSchema, document.value)
    if (!checked.ok) {
      printFailure({ name: 'invalid_document', message: checked.reason, hint: 'See docs/operators/templates.md.' })
      return usageExitCode
    }
    this.context.stdout.write(`${this.file}: valid ${this.kind}\n`)
    return 0
  }
}
