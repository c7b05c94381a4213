import { Command, Option } from 'clipanion'
import { AdminCommand, ChangeCommand } from '../admin-command.ts'

/** Creates or replaces the credential of an operator. */
export class OperatorGiveCommand extends ChangeCommand {
  static override paths = [['operator', 'give']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Create or replace the credential of an operator' })

  name = Option.String()
  scopes = Option.String('--scopes', 'read', { description: 'What the operator may do [read,configuration,keys,operators; default: read]' })
  newToken = Option.String('--new-token', { required: true, env: 'DOGWOODSPRING_NEW_TOKEN', description: 'Token of the operator [at least 16 characters; required; DOGWOODSPRING_NEW_TOKEN]' })

  async execute (): Promise<number> {
    const body = { token: this.newToken, scopes: this.scopes.split(',') }
    return await this.send({ method: 'PUT', path: `/v1/operators/${encodeURIComponent(this.name)}`, body, change: true }, ['name', 'revision'])
  }
}

/** Withdraws an operator's credential. */
export class OperatorWithdrawCommand extends ChangeCommand {
  static override paths = [['operator', 'withdraw']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Withdraw an operator\'s credential' })

  name = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'DELETE', path: `/v1/operators/${encodeURIComponent(this.name)}`, change: true }, ['name', 'revision'])
  }
}

/** Lists operators. */
export class OperatorListCommand extends AdminCommand {
  static override paths = [['operator', 'list']]
  static override usage = Command.Usage({ category: 'Operators', description: 'List operators' })

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: '/v1/operators' }, ['name', 'scopes', 'withdrawn', 'revision', 'changedBy'])
  }
}
