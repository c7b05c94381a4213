import { Command, Option } from 'clipanion'
import { printFailure, usageExitCode } from '../options.ts'
import { formatTable } from '../table.ts'

const columns = ['scenario', 'deployment', 'variant', 'goodput', 'important', 'recoveryMs', 'worstWorkspace', 'refusedInRate', 'extraAttemptsMax', 'targetsLost']

/** Runs simulated overload scenarios with and without the decision modules. */
export class BenchCommand extends Command {
  static override paths = [['bench']]
  static override usage = Command.Usage({
    category: 'Measuring',
    description: 'Run an overload scenario, or all of them, under a virtual clock',
    details: 'Runs the same load in three variants: without overload control, with a fixed limit and plain retries, and with the product. Scenarios: surge, slow-deep, large-tenant, cold, poison, lying-health, all.'
  })

  scenario = Option.String()
  seed = Option.String('--seed', '1', { description: 'Seed of the load [number; default: 1]' })
  deployment = Option.String('--deployment', 'mamxanh', { description: 'Deployment that gives the sizes [mamxanh, haelvaerk or both; default: mamxanh]' })
  json = Option.Boolean('--json', false, { description: 'Print one JSON line for each variant' })

  async execute (): Promise<number> {
    const { deployments, runScenario, scenarios } = await import('../../core/bench/index.ts')
    const selectedScenarios = this.scenario === 'all' ? Object.values(scenarios) : [scenarios[this.scenario]]
    const selectedDeployments = this.deployment === 'both' ? Object.values(deployments) : [deployments[this.deployment as keyof typeof deployments]]
    if (selectedScenarios[0] === undefined || selectedDeployments[0] === undefined) {
      const allowed = `${Object.keys(scenarios).join(', ')}, all; ${Object.keys(deployments).join(', ')}, both`
      printFailure({ name: 'invalid_setting', message: `SCENARIO or --deployment is ${JSON.stringify([this.scenario, this.deployment])}; allowed: ${allowed}`, hint: 'See --help.' })
      return usageExitCode
    }
    const rows = []
    for (const deploymentSize of selectedDeployments) {
      for (const scenario of selectedScenarios) {
        for (const variant of ['none', 'fixed', 'product'] as const) {
          const result = runScenario(scenario, deploymentSize, variant, Number(this.seed))
          rows.push(result)
          if (this.json) this.context.stdout.write(JSON.stringify(result) + '\n')
        }
      }
    }
    if (!this.json) this.context.stdout.write(formatTable(rows, columns))
    return 0
  }
}
