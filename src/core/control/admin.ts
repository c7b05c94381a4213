import { equalDigests, randomId } from '../auth/index.ts'
import { changeSchema, check } from '../config/index.ts'
import type { Change } from '../config/index.ts'
import { holdsLease, hasCommittedInTerm, membersOf } from '../consensus/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Failure, Outcome } from '../errors/index.ts'
import type { Member as FleetMember } from '../membership/index.ts'
import { verifyAudit } from '../registry/index.ts'
import type { AuditEntry, Command, Registry, Result } from '../registry/index.ts'
import type { Group } from './group.ts'
import type { NodeReports } from './reports.ts'
import { actions } from './types.ts'
import type { AdminAnswer, AdminRequest } from './types.ts'

/** State and services that the administration API reads and changes. */
export interface AdminContext {
  registry: () => Registry
  group: Group
  now: () => number
  date: () => Date
  /** Returns the members of the cluster that this instance sees as alive. */
  fleet: () => readonly FleetMember[]
  /** Newest reports of the nodes about the configuration they apply. */
  reports: NodeReports
}

/** Operator on whose behalf a request is made. */
interface Caller {
  operator: string
}

function toAdminAnswer (outcome: Outcome<unknown>): AdminAnswer {
  if (outcome.ok) return { status: 200, body: outcome.value }
  const { name, message, hint, status } = outcome
  return { status, body: { error: name, message, hint } }
}

/** Handles one request at the leader, to which the other instances forward theirs. */
export async function handleAdmin (request: AdminRequest, context: AdminContext): Promise<AdminAnswer> {
  const { state } = context.group
  if (!holdsLease(state, context.now()) || !hasCommittedInTerm(state)) {
    return toAdminAnswer(fail('noLeader', { reason: context.group.storageFailure() ?? 'the group has no leader with a quorum' }))
  }
  const caller = authorize(request, context.registry())
  if (!caller.ok) return toAdminAnswer(caller)
  return toAdminAnswer(await performAction(request, caller.value, context))
}

function authorize (request: AdminRequest, registry: Registry): Outcome<Caller> {
  const scope = actions[request.action]
  if (scope === undefined) return fail('badRequest', { reason: `unknown action ${request.action}` })
  if (request.vouchedFor !== undefined) return succeed({ operator: request.vouchedFor })
  for (const [operator, { value }] of Object.entries(registry.operators)) {
    if (value.withdrawn || !equalDigests(value.hash, request.credential)) continue
    return value.scopes.includes(scope) ? succeed({ operator }) : fail('forbidden', { scope })
  }
  return fail('unauthorized', { reason: 'the operator token is missing or not valid' })
}

async function performAction (request: AdminRequest, caller: Caller, context: AdminContext): Promise<Outcome<unknown>> {
  const registry = context.registry()
  const name = request.name ?? ''
  switch (request.action) {
    case 'status': return succeed(describeStatus(context))
    case 'deployment.get': return await readDeployment(context)
    case 'template.list': return succeed(listItems(registry.templates))
    case 'template.get': return getItem(registry.templates, 'template', name)
    case 'workspace.list': return succeed(listItems(registry.workspaces))
    case 'workspace.get': return getItem(registry.workspaces, 'workspace', name)
    case 'key.list': return succeed(listKeys(registry, request.query?.workspace))
    case 'operator.list': return succeed(listOperators(registry))
    case 'quarantine.list': return succeed(registry.bans)
    case 'member.list': return succeed(membersOf(context.group.state))
    case 'member.add': return await addMember(request, context)
    case 'member.remove': return await removeMember(name, context)
    case 'audit': return queryAudit(registry, request.query ?? {})
    default: return await proposeChange(request, caller, context)
  }
}

/** Reads the deployment. Confirms with a quorum first that no other leader has acknowledged a newer one. */
async function readDeployment ({ group, registry }: AdminContext): Promise<Outcome<unknown>> {
  const confirmed = await group.confirmLeadership()
  if (!confirmed.ok) return confirmed
  const { deployment } = registry()
  if (deployment === undefined) return fail('notFound', { item: 'deployment' })
  return succeed({ version: deployment.value.version, source: deployment.source })
}

function listItems (items: Record<string, { revision: number, changedBy: string, value: unknown }>): unknown {
  return Object.entries(items).map(([name, item]) => ({ name, ...item }))
}

function getItem (items: Record<string, { revision: number, changedBy: string, value: unknown }>, kind: string, name: string): Outcome<unknown> {
  const item = items[name]
  return item === undefined ? fail('notFound', { item: `${kind} ${name}` }) : succeed({ name, ...item })
}

function listKeys (registry: Registry, workspace: string | undefined): unknown {
  const keys = []
  for (const [id, { revision, changedBy, value }] of Object.entries(registry.keys)) {
    if (workspace !== undefined && value.workspace !== workspace) continue
    keys.push({ id, workspace: value.workspace, withdrawn: value.withdrawn, revision, changedBy })
  }
  return keys
}

function listOperators (registry: Registry): unknown {
  return Object.entries(registry.operators).map(([name, { revision, changedBy, value }]) =>
    ({ name, scopes: value.scopes, withdrawn: value.withdrawn, revision, changedBy }))
}

function describeStatus (context: AdminContext): unknown {
  const { state } = context.group
  const registry = context.registry()
  const domains = new Map<string, { domain: string, nodes: string[], targetsUp: number }>()
  for (const member of context.fleet()) {
    const row = domains.get(member.domain) ?? { domain: member.domain, nodes: [], targetsUp: 0 }
    if (member.role === 'node') row.nodes.push(member.id)
    if (member.target?.state === 'up') row.targetsUp++
    domains.set(member.domain, row)
  }
  const slots = Object.values(registry.slots)
  const boots = new Set(context.fleet().map((member) => member.boot))
  return {
    leader: state.leader,
    term: state.hardState.term,
    revision: registry.revision,
    commit: state.commit,
    members: membersOf(state).map(({ id, address, voter }) => ({ id, address, voter, match: state.progress[id]?.matchIndex ?? state.commit })),
    domains: [...domains.values()].map((row) => ({ ...row, nodes: row.nodes.length, ...context.reports.describeDomain(row.nodes, context.now()) })),
    claimSlots: {
      placed: slots.length,
      ready: slots.filter((slot) => slot.members.every(({ boot }) => slot.ready.includes(boot) && boots.has(boot))).length,
      blocked: slots.filter((slot) => slot.blockedAt > 0).length
    },
    bans: Object.keys(registry.bans).length
  }
}

function queryAudit (registry: Registry, query: Record<string, string>): Outcome<unknown> {
  const verification = verifyAudit(registry.audit)
  if (query.verify !== undefined) return succeed(verification)
  const entries = registry.audit.filter((entry) => matchesQuery(entry, query))
  const limit = Number(query.limit ?? 1000)
  return succeed(entries.slice(-limit))
}

function matchesQuery (entry: AuditEntry, { workspace, since, operator, kind }: Record<string, string>): boolean {
  const concernsWorkspace = entry.workspace === workspace || (entry.kind === 'workspace' && entry.name === workspace)
  if (workspace !== undefined && !concernsWorkspace) return false
  if (since !== undefined && entry.at < since) return false
  if (operator !== undefined && entry.operator !== operator) return false
  return kind === undefined || entry.kind === kind
}

const changeKinds: Partial<Record<AdminRequest['action'], Change['kind']>> = {
  'deployment.set': 'deployment',
  'template.set': 'template',
  'workspace.set': 'workspace',
  'key.give': 'key-give',
  'key.withdraw': 'key-withdraw',
  'operator.give': 'operator-give',
  'operator.withdraw': 'operator-withdraw',
  'quarantine.release': 'quarantine-release'
}

async function proposeChange (request: AdminRequest, caller: Caller, context: AdminContext): Promise<Outcome<unknown>> {
  const kind = changeKinds[request.action]
  const changeId = request.changeId ?? randomId()
  const { name, expectRevision } = request
  const document = { kind, changeId, expectRevision, name, ...(request.body as object) }
  const validated = check(changeSchema, document)
  const at = context.date().getTime()
  const { operator } = caller
  if (!validated.ok) {
    const refusal: Command = { type: 'refusal', operator, at, kind: kind ?? '', name: String(name ?? ''), changeId: changeId.slice(0, 128), reason: validated.reason }
    const recorded = await context.group.propose(refusal)
    return recorded.ok ? fail('invalidChange', { reason: validated.reason }) : recorded
  }
  const command: Command = { type: 'change', operator, at, change: validated.value }
  const applied = await context.group.propose(command)
  return applied.ok ? (applied.value as Result) : applied
}

function invalidMember (reason: string): Failure {
  return fail('invalidChange', { reason })
}

async function addMember (request: AdminRequest, context: AdminContext): Promise<Outcome<unknown>> {
  const id = request.name ?? ''
  const address = (request.body as { address?: unknown } | undefined)?.address
  if (!/^[a-z0-9][a-z0-9-]{0,62}$/.test(id)) return invalidMember('a member id has lower-case letters, digits and hyphens')
  if (typeof address !== 'string' || !/^[0-9.]+:\d+$/.test(address)) return invalidMember('a member needs an address such as 10.0.0.1:7000')
  if (membersOf(context.group.state).some((member) => member.id === id)) return invalidMember(`${id} is a member already`)
  if (membersOf(context.group.state).length >= 7) return invalidMember('the group has 7 members at most')
  return await changeMembers(context, (members) => [...members, { id, address, voter: false }])
}

async function removeMember (id: string, context: AdminContext): Promise<Outcome<unknown>> {
  if (!membersOf(context.group.state).some((member) => member.id === id)) return fail('notFound', { item: `member ${id}` })
  return await changeMembers(context, (members) => members.filter((member) => member.id !== id))
}

/** Changes the member list and returns the new list. */
async function changeMembers (context: AdminContext, change: Parameters<Group['changeMembers']>[0]): Promise<Outcome<unknown>> {
  const outcome = await context.group.changeMembers(change)
  return outcome.ok ? succeed(membersOf(context.group.state)) : outcome
}
