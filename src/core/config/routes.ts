import { addRoute, createRouter, findRoute } from 'rou3'
import { priorities } from './schema.ts'
import type { Route, Template, Workspace } from './schema.ts'
import type { Configuration } from './types.ts'

/** A route with the overrides of one workspace applied. */
export interface EffectiveRoute {
  template: string
  name: string
  service: string
  /** 0 is shed last. */
  priority: number
  idempotent: boolean
  open: boolean
  timeoutMs: number
  /** Maximum number of targets that one request is sent to; missing where the workspace's retry budget applies. */
  maxAttempts?: number
  /** Latency objective in ms: an answer within this time has its full value. Missing where none is set. */
  objectiveMs?: number
}

/** Parameters of a workspace with defaults applied. */
export interface EffectiveParameters {
  rate: number
  burst: number
  weight: number
  retryBudget: number
}

/** Looks up routes of a workspace, or open routes without a workspace. */
export interface RouteTable {
  find: (workspace: string, method: string, path: string) => EffectiveRoute | undefined
  findOpen: (method: string, path: string) => EffectiveRoute | undefined
}

type Router = ReturnType<typeof createRouter<EffectiveRoute>>

const idempotentMethods = new Set(['GET', 'HEAD'])

function toEffectiveRoute (templateName: string, route: Route, workspace?: Workspace): EffectiveRoute {
  const isIdempotent = route.idempotent ?? idempotentMethods.has(route.method)
  return {
    template: templateName,
    name: route.name,
    service: route.service,
    priority: priorities.indexOf(workspace?.priorities[route.name] ?? route.priority),
    idempotent: isIdempotent && !(workspace?.nonIdempotent.includes(route.name) ?? false),
    open: route.open,
    timeoutMs: route.timeoutMs
  }
}

function createTable (templateName: string, template: Template, workspace?: Workspace): Router {
  const router = createRouter<EffectiveRoute>()
  for (const route of template.routes) {
    if (workspace === undefined && !route.open) continue
    addRoute(router, route.method, route.path, toEffectiveRoute(templateName, route, workspace))
  }
  return router
}

/** Returns a workspace's parameters, with its template's defaults for missing ones. */
export function parametersOf (template: Template, workspace: Workspace): EffectiveParameters {
  const { parameters } = template
  return {
    rate: workspace.parameters.rate ?? parameters.rate?.default ?? 100,
    burst: workspace.parameters.burst ?? parameters.burst?.default ?? 100,
    weight: workspace.parameters.weight ?? parameters.weight?.default ?? 1,
    retryBudget: workspace.parameters.retryBudget ?? parameters.retryBudget?.default ?? 2
  }
}

/** Creates the route table of one configuration. The router of a workspace is built on first use. */
export function createRouteTable (configuration: Configuration): RouteTable {
  const byWorkspace = new Map<string, Router>()
  let openTables: Router[] | undefined
  const getTable = (workspaceName: string): Router | undefined => {
    const cached = byWorkspace.get(workspaceName)
    if (cached !== undefined) return cached
    const workspace = configuration.workspaces[workspaceName]
    const template = workspace && configuration.templates[workspace.template]
    if (template === undefined) return undefined
    const table = createTable(workspace.template, template, workspace)
    byWorkspace.set(workspaceName, table)
    return table
  }
  return {
    find (workspace, method, path) {
      const table = getTable(workspace)
      return table && findRoute(table, method, path)?.data
    },
    findOpen (method, path) {
      openTables ??= Object.entries(configuration.templates).map(([name, template]) => createTable(name, template))
      for (const table of openTables) {
        const found = findRoute(table, method, path)
        if (found !== undefined) return found.data
      }
      return undefined
    }
  }
}
