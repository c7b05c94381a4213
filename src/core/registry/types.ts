import type { Deployment } from '../deployment/index.ts'
import type { Ban, Change, ClaimSlot, Configuration, Delta, Key, Operator, Template, Versioned, Workspace } from '../config/index.ts'
import type { Failure } from '../errors/index.ts'

/** Commands of the replicated log. Times are the proposing leader's wall clock, in ms. */
export type Command =
  | { type: 'change', operator: string, at: number, change: Change }
  | { type: 'refusal', operator: string, at: number, kind: string, name: string, changeId: string, reason: string }
  | { type: 'place', at: number, slots: Record<string, ClaimSlot> }
  | { type: 'ready', at: number, slots: Record<string, number>, boot: string }
  /** One target ended while it ran requests with these fingerprints. */
  | { type: 'crash', at: number, fingerprints: string[], target: string }
  | { type: 'exonerate', at: number, fingerprint: string }

/** One line of the audit trail. Holds no key and no hash of one. */
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

/** What an accepted change gives. */
export interface Receipt {
  /** Revision of the configuration after the change. */
  revision: number
  name: string
}

/** First answer to a change id. */
export interface Answered {
  digest: string
  result: Result
}

/** Result of a change: a receipt or a failure. */
export type Result = { ok: true, value: Receipt } | Failure

/** Crashes of targets that share a fingerprint. */
export interface CrashRecord {
  at: number
  targets: string[]
}

/** A deployment as it rests. */
export interface StoredDeployment {
  changedBy: string
  value: Deployment
  /** The document as the operator sent it. */
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
  /** The deployment in force, with its document as it was sent. */
  deployment?: StoredDeployment
  crashes: Record<string, CrashRecord>
  answered: Record<string, Answered>
  /** Change ids in the order of their first answers. */
  answeredOrder: string[]
  audit: AuditEntry[]
  auditSequence: number
  auditHash: string
  /** The newest differences, for nodes that are a little behind. */
  deltas: Delta[]
}

/** Registry and the configuration that nodes see. */
export type { Configuration }
