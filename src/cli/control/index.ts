import { Command } from 'clipanion'
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
  claims = flag('claims')
  rateWindowMs = flag('rateWindowMs')
  seeds = flag('seeds')
  secrets = flag('secrets')
  operatorToken = flag('operatorToken')
  jsonLog = flag('jsonLog')

  async execute (): Promise<number> {
    const options = checkSettings(
      ['id', 'domain', 'peer', 'admin', 'data', 'members', 'join', 'autoMembers', 'bootstrap', 'claims', 'rateWindowMs', 'seeds', 'secrets', 'operatorToken', 'jsonLog'], this)
    if (options === undefined) return usageExitCode
    if (await this.isStopRequested()) return 0
    const { startControl } = await import('../../core/control/index.ts')
    const { loadHash } = await import('../../core/hash/index.ts')
    const started = await startControl(options, createEnvironment(options.jsonLog), await loadHash())
    if (!started.ok) {
      printFailure(started)
      return usageExitCode
    }
    const control = started.value
    printAddresses({ peer: control.peerAddress, admin: control.adminAddress })
    return await this.runUntilStopped(control.stop)
  }
}
