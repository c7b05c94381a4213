import { parametersOf } from './routes.ts'
import type { Configuration } from './types.ts'

/** Rate limit of a workspace over all instances. */
export interface RateLimit {
  /** Requests per second. */
  rate: number
  /** Requests admitted at once on top of the rate. */
  burst: number
}

/** Returns the rate limit of a workspace, or undefined when the workspace is unknown or unlimited. */
export function rateLimitOf (configuration: Configuration, name: string): RateLimit | undefined {
  const workspace = configuration.workspaces[name]
  const template = workspace && configuration.templates[workspace.template]
  if (template !== undefined) return parametersOf(template, workspace)
  const deployedWorkspace = configuration.deployments.current?.workspaces.find((candidate) => candidate.name === name)
  return deployedWorkspace === undefined || deployedWorkspace.rate === 0 ? undefined : { rate: deployedWorkspace.rate, burst: Math.max(1, deployedWorkspace.burst) }
}

/** Returns the names of all workspaces that have a rate limit. */
export function workspacesWithRateLimit (configuration: Configuration): string[] {
  const deployed = configuration.deployments.current?.workspaces ?? []
  return [...Object.keys(configuration.workspaces), ...deployed.filter(({ rate }) => rate > 0).map(({ name }) => name)]
}
