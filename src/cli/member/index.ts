import { Command, Option } from 'clipanion'
import { AdminCommand } from '../admin-command.ts'

/** Adds a control instance as a learner; it votes once it has caught up. */
export class MemberAddCommand extends AdminCommand {
  static override paths = [['control', 'add']]
  static override usage = Command.Usage({ category: 'Control group', description: 'Add a control instance that runs with --join' })

  id = Option.String()
  address = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'PUT', path: `/v1/members/${encodeURIComponent(this.id)}`, body: { address: this.address } })
  }
}

/** Removes a control instance. */
export class MemberRemoveCommand extends AdminCommand {
  static override paths = [['control', 'remove']]
  static override usage = Command.Usage({ category: 'Control group', description: 'Remove a control instance' })

  id = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'DELETE', path: `/v1/members/${encodeURIComponent(this.id)}` })
  }
}

/** Lists the control instances. */
export class MemberListCommand extends AdminCommand {
  static override paths = [['control', 'members']]
  static override usage = Command.Usage({ category: 'Control group', description: 'List control instances' })

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: '/v1/members' }, ['id', 'address', 'voter'])
  }
}
