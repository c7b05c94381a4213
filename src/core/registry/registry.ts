import { digest } from '../auth/index.ts'
import { fail, succeed } from '../errors/index.ts'
import { dropSuperseded } from '../config/index.ts'
import type { Change, ClaimSlot, Configuration, Difference, Key, Versioned } from '../config/index.ts'
import { applyReady, isNextView } from '../claims/placement.ts'
import { appendAudit } from './audit.ts'
import { planChange } from './changes.ts'
import { banDurationMs, crashesToBan, crashWindowMs, firstAuditHash, maxRecordedResults, maxDeltas } from './constants.ts'
import type { Command, Registry, Result } from './types.ts'

/** Creates the initial state, before the first command. */
export function createRegistry (): Registry {
  return {
    revision: 0,
    templates: {},
    workspaces: {},
    keys: {},
    operators: {},
    slots: {},
    bans: {},
    crashes: {},
    answered: {},
    answeredOrder: [],
    audit: [],
    auditSequence: 0,
    auditHash: firstAuditHash,
    deltas: []
  }
}

/** Applies one command. Deterministic: every replica gets the same state and the same result. */
export function applyCommand (registry: Registry, command: Command): Result {
  switch (command.type) {
    case 'change': return applyChange(registry, command.operator, command.at, command.change)
    case 'refusal': return applyRefusal(registry, command)
    case 'place': return applyPlacement(registry, command.slots)
    case 'ready': return applyReadiness(registry, command.slots, command.boot)
    case 'crash': return applyCrash(registry, command)
    case 'exonerate': return applyExoneration(registry, command.fingerprint)
    case 'ceilings':
      registry.ceilings = { ...registry.ceilings, ...command.ceilings }
      return createReceipt(registry, 'ceilings')
  }
}

function createReceipt (registry: Registry, name: string): Result {
  return succeed({ revision: registry.revision, name })
}

/** Starts the next revision and records its delta, even without differences: nodes compare their revision with the one in beacons and must be able to reach it. */
function nextRevision (registry: Registry, differences: Difference[]): void {
  registry.revision++
  registry.deltas.push({ revision: registry.revision, differences })
  registry.deltas = dropSuperseded(registry.deltas)
  if (registry.deltas.length > maxDeltas) registry.deltas.shift()
}

function recordResult (registry: Registry, changeId: string, changeDigest: string, result: Result): void {
  registry.answered[changeId] = { digest: changeDigest, result }
  registry.answeredOrder.push(changeId)
  if (registry.answeredOrder.length <= maxRecordedResults) return
  const oldest = registry.answeredOrder.shift()
  if (oldest !== undefined) delete registry.answered[oldest]
}

function applyChange (registry: Registry, operator: string, at: number, change: Change): Result {
  const changeDigest = digest(JSON.stringify([operator, change]))
  const recorded = registry.answered[change.changeId]
  if (recorded !== undefined) {
    return recorded.digest === changeDigest ? recorded.result : fail('changeIdReused', { changeId: change.changeId })
  }
  const result = decideChange(registry, operator, at, change)
  if (canRetryWithSameId(change, result)) return result
  recordResult(registry, change.changeId, changeDigest, result)
  return result
}

/**
 * Returns true for a refused deployment. Its change id is the digest of its document, and the operator may
 * retry the same document once it is valid; therefore only its acceptance is recorded.
 */
function canRetryWithSameId (change: Change, result: Result): boolean {
  return change.kind === 'deployment' && !result.ok
}

function decideChange (registry: Registry, operator: string, at: number, change: Change): Result {
  const plan = planChange(registry, change)
  const auditFields = { at: new Date(at).toISOString(), operator, changeId: change.changeId, kind: change.kind, name: change.name }
  const recordRefusal = (failure: Result): Result => {
    const reason = failure.ok ? '' : failure.message
    appendAudit(registry, { ...auditFields, accepted: false, reason, revision: registry.revision })
    return failure
  }
  if (!plan.ok) return recordRefusal(plan)
  const { item, current, changedBy, workspace, before, after } = plan.value
  if (change.expectRevision !== undefined && change.expectRevision !== current) {
    return recordRefusal(fail('conflict', { item, expected: change.expectRevision, found: current, winner: changedBy }))
  }
  const differences = plan.value.store(registry.revision + 1, operator)
  nextRevision(registry, differences)
  appendAudit(registry, { ...auditFields, workspace, accepted: true, before, after, revision: registry.revision })
  return createReceipt(registry, change.name)
}

function applyRefusal (registry: Registry, command: Extract<Command, { type: 'refusal' }>): Result {
  const { operator, at, kind, name, changeId, reason } = command
  appendAudit(registry, { at: new Date(at).toISOString(), operator, changeId, kind, name, accepted: false, reason, revision: registry.revision })
  return createReceipt(registry, name)
}

function applyPlacement (registry: Registry, slots: Record<string, ClaimSlot>): Result {
  const differences: Difference[] = []
  for (const [name, slot] of Object.entries(slots)) {
    if (!isNextView(registry.slots[name], slot)) continue
    registry.slots[name] = slot
    differences.push({ collection: 'slots', name, value: slot })
  }
  if (differences.length > 0) nextRevision(registry, differences)
  return createReceipt(registry, 'slots')
}

function applyReadiness (registry: Registry, slots: Record<string, number>, boot: string): Result {
  const differences: Difference[] = []
  for (const [name, view] of Object.entries(slots)) {
    const slot = registry.slots[name]
    const next = slot?.view === view ? applyReady(slot, boot) : undefined
    if (next === undefined) continue
    registry.slots[name] = next
    differences.push({ collection: 'slots', name, value: next })
  }
  if (differences.length > 0) nextRevision(registry, differences)
  return createReceipt(registry, 'slots')
}

function applyCrash (registry: Registry, command: Extract<Command, { type: 'crash' }>): Result {
  const { at, fingerprints, target } = command
  dropExpiredCrashes(registry, at)
  const differences: Difference[] = []
  for (const [name, ban] of Object.entries(registry.bans)) {
    if (ban.until > at) continue
    delete registry.bans[name]
    differences.push({ collection: 'bans', name })
  }
  for (const fingerprint of fingerprints) {
    const record = registry.crashes[fingerprint] ?? { at, targets: [] }
    if (!record.targets.includes(target)) record.targets.push(target)
    registry.crashes[fingerprint] = { at, targets: record.targets }
    if (record.targets.length < crashesToBan) continue
    registry.bans[fingerprint] = { until: at + banDurationMs }
    differences.push({ collection: 'bans', name: fingerprint, value: registry.bans[fingerprint] })
  }
  if (differences.length > 0) nextRevision(registry, differences)
  return createReceipt(registry, 'crashes')
}

/** Removes the crash record and the ban of a fingerprint after a node reported that a request with it completed. */
function applyExoneration (registry: Registry, fingerprint: string): Result {
  delete registry.crashes[fingerprint]
  if (registry.bans[fingerprint] === undefined) return createReceipt(registry, fingerprint)
  delete registry.bans[fingerprint]
  nextRevision(registry, [{ collection: 'bans', name: fingerprint }])
  return createReceipt(registry, fingerprint)
}

function dropExpiredCrashes (registry: Registry, at: number): void {
  for (const [name, crash] of Object.entries(registry.crashes)) {
    if (crash.at + crashWindowMs < at) delete registry.crashes[name]
  }
}

function valuesOf<Value> (items: Record<string, Versioned<Value>>): Record<string, Value> {
  return Object.fromEntries(Object.entries(items).map(([name, item]) => [name, item.value]))
}

function validKeys (registry: Registry): Record<string, Key> {
  const keys: Record<string, Key> = {}
  for (const [id, { value }] of Object.entries(registry.keys)) {
    if (!value.withdrawn) keys[id] = value
  }
  return keys
}

/** Returns the part of the registry that is sent to nodes. */
export function configurationOf (registry: Registry): Configuration {
  return {
    revision: registry.revision,
    templates: valuesOf(registry.templates),
    workspaces: valuesOf(registry.workspaces),
    keys: validKeys(registry),
    slots: { ...registry.slots },
    bans: { ...registry.bans },
    deployments: registry.deployment === undefined ? {} : { current: registry.deployment.value }
  }
}
