import { parametersOf } from './routes.ts'
import type { Configuration } from './types.ts'

/** Rate and burst of a workspace over all instances. */
export interface RateLimit {
  /** Requests a second. */
  rate: number
  /** Requests at once on top of the rate. */
  burst: number
}

/** Limit of a workspace, or undefined when it is unknown or has none. */
export function limitOf (configuration: Configuration, name: string): RateLimit | undefined {
  const workspace = configuration.workspaces[name]
  const template = workspace && configuration.templates[workspace.template]
  if (template !== undefined) return parametersOf(template, workspace)
  const owner = configuration.deployments.current?.workspaces.find((candidate) => candidate.name === name)
  return owner === undefined || owner.rate === 0 ? undefined : { rate: owner.rate, burst: Math.max(1, owner.burst) }
}

/** Names of all workspaces that have a limit. */
export function limitedWorkspaces (configuration: Configuration): string[] {
  const deployed = configuration.deployments.current?.workspaces ?? []
  return [...Object.keys(configuration.workspaces), ...deployed.filter(({ rate }) => rate > 0).map(({ name }) => name)]
}
