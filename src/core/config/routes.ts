import { addRoute, createRouter, findRoute } from 'rou3'
import { priorities } from './schema.ts'
import type { Route, Template, Workspace } from './schema.ts'
import type { Configuration } from './types.ts'

/** A route as it holds for one workspace. */
export interface EffectiveRoute {
  template: string
  name: string
  service: string
  /** 0 is shed last. */
  priority: number
  idempotent: boolean
  open: boolean
  timeoutMs: number
  /** Targets that one request may be sent to; missing where the workspace's retry budget decides. */
  maxAttempts?: number
  /** Time within which an answer has its full worth, in ms, where it is known. */
  objectiveMs?: number
}

/** Parameters of a workspace after defaults. */
export interface EffectiveParameters {
  rate: number
  burst: number
  weight: number
  retryBudget: number
}

/** Finds routes by workspace, or open ones without. */
export interface RouteTable {
  find: (workspace: string, method: string, path: string) => EffectiveRoute | undefined
  findOpen: (method: string, path: string) => EffectiveRoute | undefined
}

type Router = ReturnType<typeof createRouter<EffectiveRoute>>

const repeatableMethods = new Set(['GET', 'HEAD'])

function effective (templateName: string, route: Route, workspace?: Workspace): EffectiveRoute {
  const repeatable = route.idempotent ?? repeatableMethods.has(route.method)
  return {
    template: templateName,
    name: route.name,
    service: route.service,
    priority: priorities.indexOf(workspace?.priorities[route.name] ?? route.priority),
    idempotent: repeatable && !(workspace?.nonIdempotent.includes(route.name) ?? false),
    open: route.open,
    timeoutMs: route.timeoutMs
  }
}

function createTable (templateName: string, template: Template, workspace?: Workspace): Router {
  const router = createRouter<EffectiveRoute>()
  for (const route of template.routes) {
    if (workspace === undefined && !route.open) continue
    addRoute(router, route.method, route.path, effective(templateName, route, workspace))
  }
  return router
}

/** Fills in a workspace's parameters from its template. */
export function parametersOf (template: Template, workspace: Workspace): EffectiveParameters {
  const { parameters } = template
  return {
    rate: workspace.parameters.rate ?? parameters.rate?.default ?? 100,
    burst: workspace.parameters.burst ?? parameters.burst?.default ?? 100,
    weight: workspace.parameters.weight ?? parameters.weight?.default ?? 1,
    retryBudget: workspace.parameters.retryBudget ?? parameters.retryBudget?.default ?? 2
  }
}

/** Builds the route table of one configuration. Tables per workspace are built on first use. */
export function createRouteTable (configuration: Configuration): RouteTable {
  const byWorkspace = new Map<string, Router>()
  let openTables: Router[] | undefined
  const tableOf = (workspaceName: string): Router | undefined => {
    const known = byWorkspace.get(workspaceName)
    if (known !== undefined) return known
    const workspace = configuration.workspaces[workspaceName]
    const template = workspace && configuration.templates[workspace.template]
    if (template === undefined) return undefined
    const table = createTable(workspace.template, template, workspace)
    byWorkspace.set(workspaceName, table)
    return table
  }
  return {
    find (workspace, method, path) {
      const table = tableOf(workspace)
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
