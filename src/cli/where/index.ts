import { Command, Option } from 'clipanion'
import { checkSettings, flag, printFailure, refusedExitCode, usageExitCode } from '../options.ts'

/** Explains where a request would go now, and why. */
export class WhereCommand extends Command {
  static override paths = [['where']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'Show where a request would go now, why, and what would refuse it, without sending it',
    details: 'Asks one node. The answer names the workspace of a key, never the key. Exit code 0: explained, also when something would refuse the request; 1: no such route, key or node; 2: invalid input.',
    examples: [
      ['A request of a workspace', 'dogwoodspring where --node 127.0.0.1:7070 --workspace odense /trays/17'],
      ['With the key in DOGWOODSPRING_KEY', 'dogwoodspring where --node 127.0.0.1:7070 --method POST --host a.example /orders']
    ]
  })

  node = flag('node')
  key = flag('key')
  workspace = Option.String('--workspace', { description: 'Workspace of the caller, in place of a key [name; default: none]' })
  method = Option.String('--method', 'GET', { description: 'Method [text; default: GET]' })
  host = Option.String('--host', '', { description: 'Host header, for routes of a deployment [text; default: none]' })
  json = Option.Boolean('--json', false, { description: 'Print JSON' })
  requestPath = Option.String({ name: 'path' })

  async execute (): Promise<number> {
    const settings = checkSettings(['node', 'key'], this)
    if (settings === undefined) return usageExitCode
    const { askNode } = await import('./ask.ts')
    const { renderExplanation } = await import('./render.ts')
    const question = { method: this.method.toUpperCase(), host: this.host, path: this.requestPath, workspace: this.workspace }
    const answer = await askNode(settings.node, question, settings.key === '' || this.workspace !== undefined ? undefined : settings.key)
    if (answer.ok) {
      this.context.stdout.write(this.json ? JSON.stringify(answer.value) + '\n' : renderExplanation(answer.value))
      return 0
    }
    const { name, message, hint } = answer
    if (this.json) this.context.stdout.write(JSON.stringify({ error: name, message, hint }) + '\n')
    else printFailure({ name, message, hint })
    return name === 'bad_request' ? usageExitCode : refusedExitCode
  }
}
