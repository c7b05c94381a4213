import { Command } from 'clipanion'
import { clientSettings } from '../../core/settings/index.ts'
import { checkSettings, flag, printFailure, ServiceCommand, usageExitCode } from '../options.ts'
import { createEnvironment, printAddresses } from '../runtime.ts'

/** Runs a control instance. */
export class ControlCommand extends ServiceCommand {
  static override paths = [['control']]
  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Run a control instance',
    details: 'Keeps templates, workspaces, keys and the audit trail in a replicated log, and serves the administration API. Run 3 to 7 of them, in at least three failure domains.'
  })

  id = flag('id')
  domain = flag('domain')
  peer = flag('peer')
  admin = flag('admin')
  data = flag('data')
  members = flag('members')
  join = flag('join')
  autoMembers = flag('autoMembers')
  bootstrap = flag('bootstrap')
  faultTolerance = flag('faultTolerance')
  claims = flag('claims')
  rateWindowMs = flag('rateWindowMs')
  seeds = flag('seeds')
  secrets = flag('secrets')
  operatorToken = flag('operatorToken')
  clientConnections = flag('clientConnections')
  clientRequests = flag('clientRequests')
  connectionRequests = flag('connectionRequests')
  clientBytes = flag('clientBytes')
  clientHeadBytes = flag('clientHeadBytes')
  connectionBytes = flag('connectionBytes')
  jsonLog = flag('jsonLog')

  async execute (): Promise<number> {
    const options = checkSettings(
      ['id', 'domain', 'peer', 'admin', 'data', 'members', 'join', 'autoMembers', 'bootstrap', 'faultTolerance', 'claims', 'rateWindowMs', 'seeds', 'secrets', 'operatorToken', 'jsonLog', ...clientSettings], this)
    if (options === undefined) return usageExitCode
    if (await this.isStopRequested()) return 0
    const { startControl } = await import('../../core/control/index.ts')
    const { loadHash } = await import('../../core/hash/index.ts')
    const { createProcessClients } = await import('../../core/http/index.ts')
    const environment = createEnvironment(options.jsonLog)
    const clients = createProcessClients(options, environment)
    const started = await startControl({ ...options, clients }, environment, await loadHash())
    if (!started.ok) {
      printFailure(started)
      return usageExitCode
    }
    const control = started.value
    printAddresses({ peer: control.peerAddress, admin: control.adminAddress })
    return await this.runUntilStopped(control.stop)
  }
}
