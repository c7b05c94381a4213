import type { Deployment } from './schema.ts'

function firstRepeated (names: Iterable<string>): string | undefined {
  const seen = new Set<string>()
  for (const name of names) {
    if (seen.has(name)) return name
    seen.add(name)
  }
  return undefined
}

/** Says what is wrong with a deployment whose form is right, or undefined. */
export function deploymentProblem (deployment: Deployment): string | undefined {
  const services = new Set(deployment.services.map((service) => service.name))
  for (const route of deployment.routes) {
    const unknown = route.destinations.find(({ service }) => !services.has(service))
    if (unknown !== undefined) return `route ${route.name} names service ${unknown.service}, which is not defined`
    const weights = route.destinations.reduce((sum, { weight }) => sum + weight, 0)
    if (weights <= 0) return `the weights of route ${route.name} add up to 0`
  }
  const place = firstRepeated(deployment.routes.map(({ host, prefix }) => `${host}${prefix}`))
  if (place !== undefined) return `${place} stands twice`
  const workspace = firstRepeated(deployment.workspaces.map(({ name }) => name))
  if (workspace !== undefined) return `workspace ${workspace} stands twice`
  const key = firstRepeated(deployment.workspaces.flatMap(({ keys }) => keys))
  return key === undefined ? undefined : 'a key belongs to two workspaces'
}
