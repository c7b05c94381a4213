import { Command } from 'clipanion'
import { clientSettings } from '../../core/settings/index.ts'
import { checkSettings, flag, ServiceCommand, usageExitCode } from '../options.ts'
import { createEnvironment, printAddresses, limitHeapSize } from '../runtime.ts'

/** Runs a node beside a target. */
export class NodeCommand extends ServiceCommand {
  static override paths = [['node']]
  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Run a node beside a target',
    details: 'Accepts callers\' requests for every service, admits calls to its own target and forwards the target\'s outgoing calls. SIGTERM stops it without interrupting a request.'
  })

  id = flag('id')
  domain = flag('domain')
  listen = flag('listen')
  peer = flag('peer')
  local = flag('local')
  seeds = flag('seeds')
  secrets = flag('secrets')
  rateWindowMs = flag('rateWindowMs')
  roomPlacement = flag('roomPlacement')
  roomShares = flag('roomShares')
  rankedWaiting = flag('rankedWaiting')
  plannedReturns = flag('plannedReturns')
  stopTimeoutMs = flag('stopTimeoutMs')
  clientConnections = flag('clientConnections')
  clientRequests = flag('clientRequests')
  connectionRequests = flag('connectionRequests')
  clientBytes = flag('clientBytes')
  clientHeadBytes = flag('clientHeadBytes')
  connectionBytes = flag('connectionBytes')
  jsonLog = flag('jsonLog')

  async execute (): Promise<number> {
    const options = checkSettings(['id', 'domain', 'listen', 'peer', 'local', 'seeds', 'secrets', 'rateWindowMs', 'roomPlacement', 'roomShares', 'rankedWaiting', 'plannedReturns', 'stopTimeoutMs', 'jsonLog', ...clientSettings], this)
    if (options === undefined) return usageExitCode
    limitHeapSize()
    if (await this.isStopRequested()) return 0
    const { startNode } = await import('../../core/node/index.ts')
    const { loadHash } = await import('../../core/hash/index.ts')
    const { createProcessClients } = await import('../../core/http/index.ts')
    const environment = createEnvironment(options.jsonLog)
    const clients = createProcessClients(options, environment)
    const node = await startNode({ ...options, clients }, environment, await loadHash())
    printAddresses({ listen: node.listenAddress, peer: node.peerAddress, local: node.localAddress })
    return await this.runUntilStopped(node.stop)
  }
}
