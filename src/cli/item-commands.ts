import { Option } from 'clipanion'
import { AdminCommand, ChangeCommand, readDocument } from './admin-command.ts'
import { printFailure, usageExitCode } from './options.ts'

/** Collections whose documents operators replace as a whole. */
export type Collection = 'templates' | 'workspaces'

function pathOf (collection: Collection, name: string): string {
  return `/v1/${collection}/${encodeURIComponent(name)}`
}

/** Creates or replaces a document. */
export abstract class SetItemCommand extends ChangeCommand {
  protected abstract readonly collection: Collection

  name = Option.String()
  file = Option.String('--file', '-', { description: 'JSON document [path, "-" for standard input; default: -]' })

  async execute (): Promise<number> {
    const document = await readDocument(this.file)
    if (!document.ok) {
      printFailure({ name: 'bad_document', message: document.reason, hint: 'Give a file with a JSON document.' })
      return usageExitCode
    }
    return await this.send({ method: 'PUT', path: pathOf(this.collection, this.name), body: document.value, change: true }, ['name', 'revision'])
  }
}

/** Shows a document. */
export abstract class GetItemCommand extends AdminCommand {
  protected abstract readonly collection: Collection

  name = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: pathOf(this.collection, this.name) })
  }
}

/** Lists all documents of a collection. */
export abstract class ListItemsCommand extends AdminCommand {
  protected abstract readonly collection: Collection

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: `/v1/${this.collection}` }, ['name', 'revision', 'changedBy', 'value'])
  }
}
