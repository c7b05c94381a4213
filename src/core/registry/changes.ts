import { digest } from '../auth/index.ts'
import { deploymentProblem } from '../deployment/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Failure, Outcome } from '../errors/index.ts'
import type { Change, Difference, Template, Versioned, Workspace } from '../config/index.ts'
import type { Registry } from './types.ts'

/** An accepted change, not yet written: how to store it, and what the audit trail shows. */
export interface Plan {
  item: string
  /** Revision of the item before the change, 0 when it is new. */
  current: number
  changedBy: string
  /** Stores the change under the next revision. */
  write: (revision: number, changedBy: string) => Difference[]
  before?: unknown
  after?: unknown
  workspace?: string
}

type ChangeOf<Kind extends Change['kind']> = Extract<Change, { kind: Kind }>

function invalid (reason: string): Failure {
  return fail('invalidChange', { reason })
}

function parameterProblem (workspaceName: string, template: Template, workspace: Workspace): string | undefined {
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

function templateProblem (template: Template): string | undefined {
  const names = new Set<string>()
  const places = new Set<string>()
  for (const route of template.routes) {
    const place = `${route.method} ${route.path}`
    if (names.has(route.name)) return `route ${route.name} stands twice`
    if (places.has(place)) return `${place} stands twice`
    names.add(route.name)
    places.add(place)
  }
  for (const [name, bounds] of Object.entries(template.parameters)) {
    if (bounds === undefined) continue
    if (!(bounds.min <= bounds.default && bounds.default <= bounds.max)) return `the default of ${name} is outside its bounds`
  }
  return undefined
}

function planTemplate (registry: Registry, change: ChangeOf<'template'>): Outcome<Plan> {
  const problem = templateProblem(change.value)
  if (problem !== undefined) return invalid(problem)
  for (const [name, workspace] of Object.entries(registry.workspaces)) {
    if (workspace.value.template !== change.name) continue
    const broken = parameterProblem(name, change.value, workspace.value)
    if (broken !== undefined) return invalid(broken)
  }
  return planItem(registry.templates, 'templates', change.name, change.value)
}

function planWorkspace (registry: Registry, change: ChangeOf<'workspace'>): Outcome<Plan> {
  const template = registry.templates[change.value.template]
  if (template === undefined) return invalid(`template ${change.value.template} does not exist`)
  const problem = parameterProblem(change.name, template.value, change.value)
  if (problem !== undefined) return invalid(problem)
  return planItem(registry.workspaces, 'workspaces', change.name, change.value)
}

function planItem<Value> (items: Record<string, Versioned<Value>>, collection: 'templates' | 'workspaces', name: string, value: Value): Outcome<Plan> {
  const known = items[name]
  return succeed({
    item: `${collection.slice(0, -1)} ${name}`,
    current: known?.revision ?? 0,
    changedBy: known?.changedBy ?? 'nobody',
    before: known?.value,
    after: value,
    write (revision, changedBy) {
      items[name] = { revision, changedBy, value }
      return [{ collection, name, value }]
    }
  })
}

function planKeyGive (registry: Registry, change: ChangeOf<'key-give'>): Outcome<Plan> {
  if (registry.workspaces[change.workspace] === undefined) return fail('notFound', { item: `workspace ${change.workspace}` })
  if (registry.keys[change.name] !== undefined) return invalid(`key ${change.name} exists already`)
  const value = { workspace: change.workspace, hash: change.hash, withdrawn: false }
  return succeed({
    item: `key ${change.name}`,
    current: 0,
    changedBy: 'nobody',
    workspace: change.workspace,
    after: { withdrawn: false },
    write (revision, changedBy) {
      registry.keys[change.name] = { revision, changedBy, value }
      return [{ collection: 'keys', name: change.name, value }]
    }
  })
}

function planKeyWithdraw (registry: Registry, change: ChangeOf<'key-withdraw'>): Outcome<Plan> {
  const known = registry.keys[change.name]
  if (known === undefined) return fail('notFound', { item: `key ${change.name}` })
  return succeed({
    item: `key ${change.name}`,
    current: known.revision,
    changedBy: known.changedBy,
    workspace: known.value.workspace,
    before: { withdrawn: known.value.withdrawn },
    after: { withdrawn: true },
    write (revision, changedBy) {
      registry.keys[change.name] = { revision, changedBy, value: { ...known.value, withdrawn: true } }
      return [{ collection: 'keys', name: change.name }]
    }
  })
}

function planOperatorGive (registry: Registry, change: ChangeOf<'operator-give'>): Outcome<Plan> {
  const known = registry.operators[change.name]
  const value = { hash: change.hash, scopes: change.scopes, withdrawn: false }
  return succeed({
    item: `operator ${change.name}`,
    current: known?.revision ?? 0,
    changedBy: known?.changedBy ?? 'nobody',
    before: known && { scopes: known.value.scopes, withdrawn: known.value.withdrawn },
    after: { scopes: change.scopes },
    write (revision, changedBy) {
      registry.operators[change.name] = { revision, changedBy, value }
      return []
    }
  })
}

function planOperatorWithdraw (registry: Registry, change: ChangeOf<'operator-withdraw'>): Outcome<Plan> {
  const known = registry.operators[change.name]
  if (known === undefined) return fail('notFound', { item: `operator ${change.name}` })
  return succeed({
    item: `operator ${change.name}`,
    current: known.revision,
    changedBy: known.changedBy,
    before: { withdrawn: known.value.withdrawn },
    after: { withdrawn: true },
    write (revision, changedBy) {
      registry.operators[change.name] = { revision, changedBy, value: { ...known.value, withdrawn: true } }
      return []
    }
  })
}

function planRelease (registry: Registry, change: ChangeOf<'quarantine-release'>): Outcome<Plan> {
  const known = registry.bans[change.name]
  if (known === undefined) return fail('notFound', { item: `banned fingerprint ${change.name}` })
  return succeed({
    item: `fingerprint ${change.name}`,
    current: 0,
    changedBy: 'nobody',
    before: known,
    write () {
      delete registry.bans[change.name]
      delete registry.crashes[change.name]
      return [{ collection: 'bans', name: change.name }]
    }
  })
}

/** What the audit trail shows of a deployment; the document itself holds keys. */
function deploymentSummary (version: number, source: string): { version: number, sha256: string } {
  return { version, sha256: digest(source) }
}

function planDeployment (registry: Registry, change: ChangeOf<'deployment'>): Outcome<Plan> {
  const known = registry.deployment
  const current = known?.value.version ?? 0
  const problem = deploymentProblem(change.value)
  if (problem !== undefined) return invalid(problem)
  if (change.expectRevision === current && change.value.version <= current) {
    return invalid(`version ${change.value.version} is not above ${current}`)
  }
  return succeed({
    item: 'deployment',
    current,
    changedBy: known?.changedBy ?? 'nobody',
    before: known && deploymentSummary(current, known.source),
    after: deploymentSummary(change.value.version, change.source),
    write (_revision, changedBy) {
      registry.deployment = { changedBy, value: change.value, source: change.source }
      return [{ collection: 'deployments', name: 'current', value: change.value }]
    }
  })
}

/** Checks a change against the schema's meaning and against what depends on it. */
export function planChange (registry: Registry, change: Change): Outcome<Plan> {
  switch (change.kind) {
    case 'template': return planTemplate(registry, change)
    case 'workspace': return planWorkspace(registry, change)
    case 'key-give': return planKeyGive(registry, change)
    case 'key-withdraw': return planKeyWithdraw(registry, change)
    case 'operator-give': return planOperatorGive(registry, change)
    case 'operator-withdraw': return planOperatorWithdraw(registry, change)
    case 'deployment': return planDeployment(registry, change)
    case 'quarantine-release': return planRelease(registry, change)
  }
}
