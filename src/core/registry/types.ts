import type { Deployment } from '../deployment/index.ts'
import type { Ban, Change, ClaimSlot, Configuration, Delta, Key, Operator, Template, Versioned, Workspace } from '../config/index.ts'
import type { Failure } from '../errors/index.ts'

/** Commands of the replicated log. Times are the proposing leader's wall clock, in ms. */
export type Command =
  | { type: 'change', operator: string, at: number, change: Change }
  | { type: 'refusal', operator: string, at: number, kind: string, name: string, changeId: string, reason: string }
  | { type: 'place', at: number, slots: Record<string, ClaimSlot> }
  | { type: 'ready', at: number, slots: Record<string, number>, boot: string }
  /** One target crashed while it ran requests with these fingerprints. */
  | { type: 'crash', at: number, fingerprints: string[], target: string }
  | { type: 'exonerate', at: number, fingerprint: string }
  /** The leader will let nodes hold at most these allowances in total, by workspace. */
  | { type: 'ceilings', ceilings: Record<string, number> }

/** One entry of the audit trail. Contains neither keys nor hashes of keys. */
export interface AuditEntry {
  sequence: number
  at: string
  operator: string
  changeId: string
  kind: string
  name: string
  workspace?: string
  accepted: boolean
  reason?: string
  before?: unknown
  after?: unknown
  revision: number
  previousHash: string
  hash: string
}

/** Value returned for an accepted change. */
export interface Receipt {
  /** Revision of the configuration after the change. */
  revision: number
  name: string
}

/** First result for a change id, with the digest of its change. */
export interface RecordedResult {
  digest: string
  result: Result
}

/** Result of a change: a receipt or a failure. */
export type Result = { ok: true, value: Receipt } | Failure

/** Targets that crashed on one fingerprint, with the time of the last crash. */
export interface CrashRecord {
  at: number
  targets: string[]
}

/** A deployment as it is stored. */
export interface StoredDeployment {
  changedBy: string
  value: Deployment
  /** The document as sent by the operator. */
  source: string
}

/** Replicated state of the control group. */
export interface Registry {
  revision: number
  templates: Record<string, Versioned<Template>>
  workspaces: Record<string, Versioned<Workspace>>
  keys: Record<string, Versioned<Key>>
  operators: Record<string, Versioned<Operator>>
  slots: Record<string, ClaimSlot>
  bans: Record<string, Ban>
  /** The current deployment; missing before the first. */
  deployment?: StoredDeployment
  crashes: Record<string, CrashRecord>
  /** Most requests in a window that leaders let nodes hold, by workspace; missing before the first. */
  ceilings?: Record<string, number>
  /** First results of the newest changes, by change id. */
  answered: Record<string, RecordedResult>
  /** Change ids in the order of their first results. */
  answeredOrder: string[]
  audit: AuditEntry[]
  auditSequence: number
  auditHash: string
  /** The newest deltas, for nodes that are a few revisions behind. */
  deltas: Delta[]
}

/** Part of the registry that is sent to nodes. */
export type { Configuration }
