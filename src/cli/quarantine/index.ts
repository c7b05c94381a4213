import { Command, Option } from 'clipanion'
import { AdminCommand, ChangeCommand } from '../admin-command.ts'

/** Lists banned request fingerprints. */
export class QuarantineListCommand extends AdminCommand {
  static override paths = [['quarantine', 'list']]
  static override usage = Command.Usage({ category: 'Operators', description: 'List fingerprints of crash-causing requests, which are refused' })

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: '/v1/quarantine' })
  }
}

/** Releases a banned request fingerprint. */
export class QuarantineReleaseCommand extends ChangeCommand {
  static override paths = [['quarantine', 'release']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Release a banned fingerprint' })

  fingerprint = Option.String()

  async execute (): Promise<number> {
    return await this.send({ method: 'DELETE', path: `/v1/quarantine/${encodeURIComponent(this.fingerprint)}`, change: true }, ['name', 'revision'])
  }
}
