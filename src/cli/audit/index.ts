import { Command, Option } from 'clipanion'
import { AdminCommand } from '../admin-command.ts'

const columns = ['sequence', 'at', 'operator', 'kind', 'name', 'accepted', 'reason', 'revision']

/** Shows the audit trail. */
export class AuditCommand extends AdminCommand {
  static override paths = [['audit']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Show the audit trail, refused changes included' })

  workspace = Option.String('--workspace', { description: 'Only changes of this workspace [name; default: all]' })
  since = Option.String('--since', { description: 'Only changes from this time on [ISO 8601; default: all]' })
  operator = Option.String('--operator', { description: 'Only changes of this operator [name; default: all]' })
  kind = Option.String('--kind', { description: 'Only changes of this kind [for example key-give; default: all]' })
  limit = Option.String('--limit', '1000', { description: 'Newest entries to show [number; default: 1000]' })

  async execute (): Promise<number> {
    const query = new URLSearchParams({ limit: this.limit })
    const filters = { workspace: this.workspace, since: this.since, operator: this.operator, kind: this.kind }
    for (const [name, value] of Object.entries(filters)) {
      if (value !== undefined) query.set(name, value)
    }
    return await this.send({ method: 'GET', path: `/v1/audit?${query.toString()}` }, columns)
  }
}

/** Checks the hash chain of the audit trail. */
export class AuditVerifyCommand extends AdminCommand {
  static override paths = [['audit', 'verify']]
  static override usage = Command.Usage({ category: 'Operators', description: 'Check the hash chain of the audit trail' })

  async execute (): Promise<number> {
    return await this.send({ method: 'GET', path: '/v1/audit?verify=true' }, ['ok', 'entries', 'sequence', 'reason'])
  }
}
