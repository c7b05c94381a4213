import type { Random } from '../random/index.ts'
import type { Deployment, DeploymentRoute, DeploymentWorkspace } from './schema.ts'

/** A deployment in the form that requests are looked up in. */
export interface DeploymentTable {
  deployment: Deployment
  /** The route with the longest prefix of the host that begins the path. */
  findRoute: (host: string, pathname: string) => DeploymentRoute | undefined
  /** Owner of a key, by the key's digest. */
  findOwner: (keyDigest: string) => DeploymentWorkspace | undefined
  findWorkspace: (name: string) => DeploymentWorkspace | undefined
}

/** All prefixes of a path that end with a slash, the longest first. */
function prefixesOf (pathname: string): string[] {
  const prefixes: string[] = []
  for (let end = pathname.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1)) {
    prefixes.push(pathname.slice(0, end + 1))
  }
  return prefixes
}

/** Host header in the form of the routes: lower case, without a port. */
export function hostName (header: string): string {
  const colon = header.indexOf(':')
  return (colon < 0 ? header : header.slice(0, colon)).toLowerCase()
}

/** Builds the table of a deployment. */
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

/** Draws the service of one request in proportion to the weights. */
export function drawService (route: DeploymentRoute, random: Random): string {
  const { destinations } = route
  const sum = destinations.reduce((total, { weight }) => total + weight, 0)
  let left = random.next() * sum
  for (const { service, weight } of destinations) {
    left -= weight
    if (left < 0) return service
  }
  return destinations[destinations.length - 1].service
}
