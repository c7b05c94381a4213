import { digest } from '../auth/index.ts'
import { firstAuditHash, maxAuditEntries } from './constants.ts'
import type { AuditEntry, Registry } from './types.ts'

type AuditEntryDraft = Omit<AuditEntry, 'sequence' | 'previousHash' | 'hash'>

function hashOf (entry: Omit<AuditEntry, 'hash'>): string {
  const { sequence, at, operator, changeId, kind, name, workspace, accepted, reason, before, after, revision, previousHash } = entry
  return digest(JSON.stringify([sequence, at, operator, changeId, kind, name, workspace, accepted, reason, before, after, revision, previousHash]))
}

/** Appends an entry to the hash chain and drops the oldest entry above the limit. */
export function appendAudit (registry: Registry, draft: AuditEntryDraft): void {
  const entry = { ...draft, sequence: registry.auditSequence + 1, previousHash: registry.auditHash }
  const complete: AuditEntry = { ...entry, hash: hashOf(entry) }
  registry.audit.push(complete)
  registry.auditSequence = complete.sequence
  registry.auditHash = complete.hash
  if (registry.audit.length > maxAuditEntries) registry.audit.shift()
}

/** Result of verifying a hash chain; on failure, with the first entry that breaks it. */
export type AuditVerification = { ok: true, entries: number } | { ok: false, sequence: number, reason: string }

/** Verifies that the entries are consecutive and unaltered. */
export function verifyAudit (entries: readonly AuditEntry[]): AuditVerification {
  let previous: AuditEntry | undefined
  for (const entry of entries) {
    const expectedHash = previous?.hash ?? (entry.sequence === 1 ? firstAuditHash : entry.previousHash)
    if (entry.previousHash !== expectedHash) return { ok: false, sequence: entry.sequence, reason: 'does not follow the entry before it' }
    if (previous !== undefined && entry.sequence !== previous.sequence + 1) return { ok: false, sequence: entry.sequence, reason: 'an entry is missing before it' }
    if (hashOf(entry) !== entry.hash) return { ok: false, sequence: entry.sequence, reason: 'was altered' }
    previous = entry
  }
  return { ok: true, entries: entries.length }
}
