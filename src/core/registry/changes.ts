import { digest } from '../auth/index.ts'
import { findDeploymentProblem } from '../deployment/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Failure, Outcome } from '../errors/index.ts'
import type { Change, Difference, Template, Versioned, Workspace } from '../config/index.ts'
import type { Registry } from './types.ts'

/** A valid change that is not stored yet, with its audit trail fields. */
export interface ChangePlan {
  item: string
  /** Revision of the item before the change; 0 for a new item. */
  current: number
  changedBy: string
  /** Stores the change under the next revision and returns the differences for nodes. */
  store: (revision: number, changedBy: string) => Difference[]
  before?: unknown
  after?: unknown
  workspace?: string
}

type ChangeOf<Kind extends Change['kind']> = Extract<Change, { kind: Kind }>

function rejectChange (reason: string): Failure {
  return fail('invalidChange', { reason })
}

function findWorkspaceProblem (workspaceName: string, template: Template, workspace: Workspace): string | undefined {
  for (const [name, value] of Object.entries(workspace.parameters)) {
    const bounds = template.parameters[name as keyof Template['parameters']]
    if (bounds === undefined || value === undefined) continue
    if (value < bounds.min || value > bounds.max) {
      return `${name} of workspace ${workspaceName} is ${value}; template ${workspace.template} allows ${bounds.min} to ${bounds.max}`
    }
  }
  const routes = new Set(template.routes.map((route) => route.name))
  for (const route of [...Object.keys(workspace.priorities), ...workspace.nonIdempotent]) {
    if (!routes.has(route)) return `workspace ${workspaceName} names route ${route}, which template ${workspace.template} lacks`
  }
  return undefined
}

function findTemplateProblem (template: Template): string | undefined {
  const names = new Set<string>()
  const patterns = new Set<string>()
  for (const route of template.routes) {
    const pattern = `${route.method} ${route.path}`
    if (names.has(route.name)) return `route ${route.name} stands twice`
    if (patterns.has(pattern)) return `${pattern} stands twice`
    names.add(route.name)
    patterns.add(pattern)
  }
  for (const [name, bounds] of Object.entries(template.parameters)) {
    if (bounds === undefined) continue
    if (!(bounds.min <= bounds.default && bounds.default <= bounds.max)) return `the default of ${name} is outside its bounds`
  }
  return undefined
}

function planTemplate (registry: Registry, change: ChangeOf<'template'>): Outcome<ChangePlan> {
  const problem = findTemplateProblem(change.value)
  if (problem !== undefined) return rejectChange(problem)
  for (const [name, workspace] of Object.entries(registry.workspaces)) {
    if (workspace.value.template !== change.name) continue
    const workspaceProblem = findWorkspaceProblem(name, change.value, workspace.value)
    if (workspaceProblem !== undefined) return rejectChange(workspaceProblem)
  }
  return planItem(registry.templates, 'templates', change.name, change.value)
}

function planWorkspace (registry: Registry, change: ChangeOf<'workspace'>): Outcome<ChangePlan> {
  const template = registry.templates[change.value.template]
  if (template === undefined) return rejectChange(`template ${change.value.template} does not exist`)
  const problem = findWorkspaceProblem(change.name, template.value, change.value)
  if (problem !== undefined) return rejectChange(problem)
  return planItem(registry.workspaces, 'workspaces', change.name, change.value)
}

function planItem<Value> (items: Record<string, Versioned<Value>>, collection: 'templates' | 'workspaces', name: string, value: Value): Outcome<ChangePlan> {
  const existing = items[name]
  return succeed({
    item: `${collection.slice(0, -1)} ${name}`,
    current: existing?.revision ?? 0,
    changedBy: existing?.changedBy ?? 'nobody',
    before: existing?.value,
    after: value,
    store (revision, changedBy) {
      items[name] = { revision, changedBy, value }
      return [{ collection, name, value }]
    }
  })
}

function planKeyGive (registry: Registry, change: ChangeOf<'key-give'>): Outcome<ChangePlan> {
  if (registry.workspaces[change.workspace] === undefined) return fail('notFound', { item: `workspace ${change.workspace}` })
  if (registry.keys[change.name] !== undefined) return rejectChange(`key ${change.name} exists already`)
  const value = { workspace: change.workspace, hash: change.hash, withdrawn: false }
  return succeed({
    item: `key ${change.name}`,
    current: 0,
    changedBy: 'nobody',
    workspace: change.workspace,
    after: { withdrawn: false },
    store (revision, changedBy) {
      registry.keys[change.name] = { revision, changedBy, value }
      return [{ collection: 'keys', name: change.name, value }]
    }
  })
}

function planKeyWithdraw (registry: Registry, change: ChangeOf<'key-withdraw'>): Outcome<ChangePlan> {
  const existing = registry.keys[change.name]
  if (existing === undefined) return fail('notFound', { item: `key ${change.name}` })
  return succeed({
    item: `key ${change.name}`,
    current: existing.revision,
    changedBy: existing.changedBy,
    workspace: existing.value.workspace,
    before: { withdrawn: existing.value.withdrawn },
    after: { withdrawn: true },
    store (revision, changedBy) {
      registry.keys[change.name] = { revision, changedBy, value: { ...existing.value, withdrawn: true } }
      return [{ collection: 'keys', name: change.name }]
    }
  })
}

function planOperatorGive (registry: Registry, change: ChangeOf<'operator-give'>): Outcome<ChangePlan> {
  const existing = registry.operators[change.name]
  const value = { hash: change.hash, scopes: change.scopes, withdrawn: false }
  return succeed({
    item: `operator ${change.name}`,
    current: existing?.revision ?? 0,
    changedBy: existing?.changedBy ?? 'nobody',
    before: existing && { scopes: existing.value.scopes, withdrawn: existing.value.withdrawn },
    after: { scopes: change.scopes },
    store (revision, changedBy) {
      registry.operators[change.name] = { revision, changedBy, value }
      return []
    }
  })
}

function planOperatorWithdraw (registry: Registry, change: ChangeOf<'operator-withdraw'>): Outcome<ChangePlan> {
  const existing = registry.operators[change.name]
  if (existing === undefined) return fail('notFound', { item: `operator ${change.name}` })
  return succeed({
    item: `operator ${change.name}`,
    current: existing.revision,
    changedBy: existing.changedBy,
    before: { withdrawn: existing.value.withdrawn },
    after: { withdrawn: true },
    store (revision, changedBy) {
      registry.operators[change.name] = { revision, changedBy, value: { ...existing.value, withdrawn: true } }
      return []
    }
  })
}

function planQuarantineRelease (registry: Registry, change: ChangeOf<'quarantine-release'>): Outcome<ChangePlan> {
  const existing = registry.bans[change.name]
  if (existing === undefined) return fail('notFound', { item: `banned fingerprint ${change.name}` })
  return succeed({
    item: `fingerprint ${change.name}`,
    current: 0,
    changedBy: 'nobody',
    before: existing,
    store () {
      delete registry.bans[change.name]
      delete registry.crashes[change.name]
      return [{ collection: 'bans', name: change.name }]
    }
  })
}

/** Returns a deployment's audit trail fields. The document itself is left out, because it holds key digests. */
function summarizeDeployment (version: number, source: string): { version: number, sha256: string } {
  return { version, sha256: digest(source) }
}

function planDeployment (registry: Registry, change: ChangeOf<'deployment'>): Outcome<ChangePlan> {
  const existing = registry.deployment
  const current = existing?.value.version ?? 0
  const problem = findDeploymentProblem(change.value)
  if (problem !== undefined) return rejectChange(problem)
  if (change.expectRevision === current && change.value.version <= current) {
    return rejectChange(`version ${change.value.version} is not above ${current}`)
  }
  return succeed({
    item: 'deployment',
    current,
    changedBy: existing?.changedBy ?? 'nobody',
    before: existing && summarizeDeployment(current, existing.source),
    after: summarizeDeployment(change.value.version, change.source),
    store (_revision, changedBy) {
      registry.deployment = { changedBy, value: change.value, source: change.source }
      return [{ collection: 'deployments', name: 'current', value: change.value }]
    }
  })
}

/** Checks a change for semantic errors and against the items that depend on it, and plans how to store it. */
export function planChange (registry: Registry, change: Change): Outcome<ChangePlan> {
  switch (change.kind) {
    case 'template': return planTemplate(registry, change)
    case 'workspace': return planWorkspace(registry, change)
    case 'key-give': return planKeyGive(registry, change)
    case 'key-withdraw': return planKeyWithdraw(registry, change)
    case 'operator-give': return planOperatorGive(registry, change)
    case 'operator-withdraw': return planOperatorWithdraw(registry, change)
    case 'deployment': return planDeployment(registry, change)
    case 'quarantine-release': return planQuarantineRelease(registry, change)
  }
}
