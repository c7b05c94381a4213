import type { ProcessClients } from '../http/index.ts'
import type { Member } from '../consensus/index.ts'
import type { Scope } from '../config/index.ts'
import type { Tolerance } from '../rate/index.ts'

/** Settings of a control instance. */
export interface ControlOptions {
  id: string
  domain: string
  /** Peer address, host:port. */
  peer: string
  /** Address of the administration API, host:port. */
  admin: string
  /** Folder for the replicated log. */
  data: string
  /** Members of a new group; ignored once the data folder holds a log. */
  members: Member[]
  /** Joins an existing group as a learner. */
  join: boolean
  /**
   * Reconciles the group members without an operator: discovered instances are added as standbys and replace lost members.
   * An instance whose disk is empty outside the first start joins under a new id.
   */
  autoMembers: boolean
  /** With `autoMembers`: true at the first start of the cluster. */
  bootstrap: boolean
  /** With `autoMembers`: number of disks that may be lost at once without losing a change. Default: 1. */
  faultTolerance?: number
  /** Window over which rate and burst are enforced, in ms; 0 enforces them at every moment, as a token bucket. */
  rateWindowMs: number
  /** How far the allowances of a workspace may exceed its limit over such a window. Default: not at all. */
  rateTolerance?: Tolerance
  /** Places claim slots on the nodes. Without claims, a non-idempotent request runs at most once only if all its attempts are sent to the same node. */
  claims: boolean
  seeds: string[]
  secrets: string[]
  /** Token of the first operator, who has every scope. */
  operatorToken: string
  /** Bounds what is held for clients. Default: no bounds. */
  clients?: ProcessClients
}

/** Actions of the administration API with the scope that each requires. */
export const actions = {
  status: 'read',
  'deployment.get': 'read',
  'deployment.set': 'configuration',
  'template.list': 'read',
  'template.get': 'read',
  'template.set': 'configuration',
  'workspace.list': 'read',
  'workspace.get': 'read',
  'workspace.set': 'configuration',
  'key.list': 'read',
  'key.give': 'keys',
  'key.withdraw': 'keys',
  'operator.list': 'operators',
  'operator.give': 'operators',
  'operator.withdraw': 'operators',
  'quarantine.list': 'read',
  'quarantine.release': 'configuration',
  'member.list': 'read',
  'member.add': 'operators',
  'member.remove': 'operators',
  audit: 'read'
} as const satisfies Record<string, Scope>

/** Name of an action. */
export type Action = keyof typeof actions

/** A request to the administration API, in the form that instances forward to the leader. */
export interface AdminRequest {
  action: Action
  /** Hash of the operator's token. */
  credential: string
  /** Operator whom another part of this process has already authenticated; replaces the credential. */
  vouchedFor?: string
  name?: string
  body?: unknown
  changeId?: string
  expectRevision?: number
  query?: Record<string, string>
}

/** Answer of the administration API. */
export interface AdminAnswer {
  status: number
  body: unknown
}
