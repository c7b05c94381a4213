import { Command } from 'clipanion'
import { GetItemCommand, ListItemsCommand, SetItemCommand } from '../item-commands.ts'

const category = 'Operators'

/** Creates or replaces a workspace. */
export class WorkspaceSetCommand extends SetItemCommand {
  static override paths = [['workspace', 'set']]
  static override usage = Command.Usage({ category, description: 'Create or replace a workspace', details: 'A workspace names its template and fills in parameters. See docs/operators/templates.md.' })
  protected readonly collection = 'workspaces'
}

/** Shows a workspace. */
export class WorkspaceGetCommand extends GetItemCommand {
  static override paths = [['workspace', 'get']]
  static override usage = Command.Usage({ category, description: 'Show a workspace' })
  protected readonly collection = 'workspaces'
}

/** Lists all workspaces. */
export class WorkspaceListCommand extends ListItemsCommand {
  static override paths = [['workspace', 'list']]
  static override usage = Command.Usage({ category, description: 'List workspaces' })
  protected readonly collection = 'workspaces'
}
