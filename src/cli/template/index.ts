import { Command } from 'clipanion'
import { GetItemCommand, ListItemsCommand, SetItemCommand } from '../item-commands.ts'

const category = 'Operators'

/** Creates or replaces a template. */
export class TemplateSetCommand extends SetItemCommand {
  static override paths = [['template', 'set']]
  static override usage = Command.Usage({ category, description: 'Create or replace a template', details: 'A template has routes, and parameters with defaults and bounds. See docs/operators/templates.md.' })
  protected readonly collection = 'templates'
}

/** Shows a template. */
export class TemplateGetCommand extends GetItemCommand {
  static override paths = [['template', 'get']]
  static override usage = Command.Usage({ category, description: 'Show a template' })
  protected readonly collection = 'templates'
}

/** Lists all templates. */
export class TemplateListCommand extends ListItemsCommand {
  static override paths = [['template', 'list']]
  static override usage = Command.Usage({ category, description: 'List templates' })
  protected readonly collection = 'templates'
}
