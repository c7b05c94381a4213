import { Command, Option } from 'clipanion'
import { AdminCommand, ChangeCommand } from '../admin-command.ts'

/** Creates a key for a workspace. */
export class KeyGiveCommand extends ChangeCommand {
  static override paths = [['key', 'give']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'Create a key for a workspace',
    details: 'The key is shown once and stored as a hash. A retry under the same --change-id by the same operator shows the same key.'
  })

  workspace = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'POST', path: '/v1/keys', body: { workspace: this.workspace }, change: true }, ['id', 'workspace', 'key', 'revision'])
  }
}

/** Withdraws a key. */
export class KeyWithdrawCommand extends ChangeCommand {
  static override paths = [['key', 'withdraw']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Withdraw a key', details: 'The key stops working everywhere within 5 seconds, also on open connections.' })

  id = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'DELETE', path: `/v1/keys/${encodeURIComponent(this.id)}`, change: true }, ['name', 'revision'])
  }
}

/** Lists keys. */
export class KeyListCommand extends AdminCommand {
  static override paths = [['key', 'list']]
  static override usage = Command.Usage({ category: 'Operators', description: 'List keys, without their secrets' })

  workspace = Option.String('--workspace', { description: 'Only keys of this workspace [name; default: all]' })

  async execute (): Promise<number> {
    const query = this.workspace === undefined ? '' : `?workspace=${encodeURIComponent(this.workspace)}`
    return await this.send({ method: 'GET', path: `/v1/keys${query}` }, ['id', 'workspace', 'withdrawn', 'revision', 'changedBy'])
  }
}
