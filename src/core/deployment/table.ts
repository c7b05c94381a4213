import type { Random } from '../random/index.ts'
import type { Deployment, DeploymentRoute, DeploymentWorkspace } from './schema.ts'

/** Index of a deployment for request lookups. */
export interface DeploymentTable {
  deployment: Deployment
  /** Returns the host's route whose prefix is the longest one that matches the path. */
  findRoute: (host: string, pathname: string) => DeploymentRoute | undefined
  /** Returns the workspace that owns the key with this digest. */
  findOwner: (keyDigest: string) => DeploymentWorkspace | undefined
  findWorkspace: (name: string) => DeploymentWorkspace | undefined
}

/** Returns all prefixes of a path that end with a slash, longest first. */
function prefixesOf (pathname: string): string[] {
  const prefixes: string[] = []
  for (let end = pathname.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1)) {
    prefixes.push(pathname.slice(0, end + 1))
  }
  return prefixes
}

/** Normalizes a Host header for comparison with routes: lower case, without a port. */
export function normalizeHost (header: string): string {
  const colon = header.indexOf(':')
  return (colon < 0 ? header : header.slice(0, colon)).toLowerCase()
}

/** Creates the lookup table of a deployment. */
export function createDeploymentTable (deployment: Deployment): DeploymentTable {
  const routes = new Map<string, DeploymentRoute>()
  const owners = new Map<string, DeploymentWorkspace>()
  const workspaces = new Map<string, DeploymentWorkspace>()
  for (const route of deployment.routes) routes.set(`${route.host}${route.prefix}`, route)
  for (const workspace of deployment.workspaces) {
    workspaces.set(workspace.name, workspace)
    for (const key of workspace.keys) owners.set(key, workspace)
  }
  return {
    deployment,
    findRoute (host, pathname) {
      for (const prefix of prefixesOf(pathname)) {
        const route = routes.get(`${host}${prefix}`)
        if (route !== undefined) return route
      }
      return undefined
    },
    findOwner: (keyDigest) => owners.get(keyDigest),
    findWorkspace: (name) => workspaces.get(name)
  }
}

/** Selects the service for one request at random, in proportion to the weights. */
export function drawService (route: DeploymentRoute, random: Random): string {
  const { destinations } = route
  const sum = destinations.reduce((total, { weight }) => total + weight, 0)
  let remainingWeight = random.next() * sum
  for (const { service, weight } of destinations) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  return destinations[destinations.length - 1].service
}
