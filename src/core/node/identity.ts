import { hashKey, parseKey, digest } from '../auth/index.ts'
import { createRouteTable, parametersOf } from '../config/index.ts'
import type { Configuration, EffectiveParameters, EffectiveRoute, RouteTable } from '../config/index.ts'
import { createDeploymentTable, drawService, normalizeHost } from '../deployment/index.ts'
import type { DeploymentTable } from '../deployment/index.ts'
import type { Random } from '../random/index.ts'
import type { Limit } from '../rate/index.ts'

/** Owner of the key of a request. */
export interface Identity {
  workspace: string
  keyId: string
}

/** Lookups for requests in the latest configuration revision. */
export interface Directory {
  /** Returns the route table of the templates. */
  routes: () => RouteTable
  /** Returns the owner of a key that the project issued, or undefined for an unknown or withdrawn one. */
  identify: (key: string) => Identity | undefined
  parametersOf: (workspace: string) => EffectiveParameters | undefined
  /** Returns the deployment in force, or undefined before the first. */
  deployment: () => DeploymentTable | undefined
  /** Returns true when the deployment in force has workspaces: only then do callers have keys. */
  callersHaveKeys: () => boolean
  /** Returns rate and burst of a workspace of the deployment in force, or else of the templates. */
  limitOf: (workspace: string) => Limit | undefined
  /** Returns false for a workspace without a rate in the deployment in force. */
  isLimited: (workspace: string) => boolean
  /** Finds the route in the deployment and draws one of its services at random. */
  findDeployed: (host: string, pathname: string) => EffectiveRoute | undefined
  /** Returns the owner of a key that the deployment lists; the id of such a key is its digest. */
  identifyDeployed: (key: string) => Identity | undefined
}

/** Creates a directory that derives its tables again when the configuration changes. */
export function createDirectory (configuration: () => Configuration, random: Random): Directory {
  let routedConfiguration: Configuration | undefined
  let routeTable: RouteTable | undefined
  let deploymentTable: DeploymentTable | undefined
  const refreshRoutes = () => {
    const latest = configuration()
    if (latest === routedConfiguration && routeTable !== undefined) return routeTable
    routedConfiguration = latest
    routeTable = createRouteTable(latest)
    return routeTable
  }
  const refreshDeploymentTable = () => {
    const deployment = configuration().deployments.current
    if (deploymentTable?.deployment !== deployment) deploymentTable = deployment && createDeploymentTable(deployment)
    return deploymentTable
  }
  const findParameters = (name: string) => {
    const { templates, workspaces } = configuration()
    const workspace = workspaces[name]
    const template = workspace && templates[workspace.template]
    return template && parametersOf(template, workspace)
  }
  return {
    routes: refreshRoutes,
    identify (clearKey) {
      const keyId = parseKey(clearKey)
      const key = keyId === undefined ? undefined : configuration().keys[keyId]
      if (keyId === undefined || key === undefined || key.hash !== hashKey(clearKey)) return undefined
      return { workspace: key.workspace, keyId }
    },
    parametersOf: findParameters,
    limitOf (name) {
      const { rate, burst } = refreshDeploymentTable()?.findWorkspace(name) ?? findParameters(name) ?? {}
      return rate === undefined || burst === undefined ? undefined : { rate, burst }
    },
    deployment: refreshDeploymentTable,
    isLimited: (workspace) => refreshDeploymentTable()?.findWorkspace(workspace)?.rate !== 0,
    callersHaveKeys: () => (refreshDeploymentTable()?.deployment.workspaces.length ?? 0) > 0,
    findDeployed (host, pathname) {
      const route = refreshDeploymentTable()?.findRoute(normalizeHost(host), pathname)
      if (route === undefined) return undefined
      const { name, priority, idempotent, open, timeoutMs, maxAttempts, objectiveMs } = route
      return { template: '', name, service: drawService(route, random), priority, idempotent, open, timeoutMs, maxAttempts, objectiveMs }
    },
    identifyDeployed (clearKey) {
      const keyId = digest(clearKey)
      const owner = refreshDeploymentTable()?.findOwner(keyId)
      return owner && { workspace: owner.name, keyId }
    }
  }
}
