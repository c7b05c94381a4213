import type { Deployment } from './schema.ts'

function firstDuplicate (names: Iterable<string>): string | undefined {
  const seen = new Set<string>()
  for (const name of names) {
    if (seen.has(name)) return name
    seen.add(name)
  }
  return undefined
}

/** Returns the first semantic error of a deployment that matches the schema, or undefined. */
export function findDeploymentProblem (deployment: Deployment): string | undefined {
  const services = new Set(deployment.services.map((service) => service.name))
  for (const route of deployment.routes) {
    const unknown = route.destinations.find(({ service }) => !services.has(service))
    if (unknown !== undefined) return `route ${route.name} names service ${unknown.service}, which is not defined`
    const weights = route.destinations.reduce((sum, { weight }) => sum + weight, 0)
    if (weights <= 0) return `the weights of route ${route.name} add up to 0`
  }
  const duplicatePrefix = firstDuplicate(deployment.routes.map(({ host, prefix }) => `${host}${prefix}`))
  if (duplicatePrefix !== undefined) return `${duplicatePrefix} stands twice`
  const duplicateWorkspace = firstDuplicate(deployment.workspaces.map(({ name }) => name))
  if (duplicateWorkspace !== undefined) return `workspace ${duplicateWorkspace} stands twice`
  const duplicateKey = firstDuplicate(deployment.workspaces.flatMap(({ keys }) => keys))
  return duplicateKey === undefined ? undefined : 'a key belongs to two workspaces'
}
