import { Command } from 'clipanion'
import { AdminCommand } from '../admin-command.ts'

/** Shows the state of the cluster. */
export class StatusCommand extends AdminCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Show leader, revision, control instances, failure domains and claim slots' })

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: '/v1/status' })
  }
}
