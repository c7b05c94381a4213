import type { Member } from '../consensus/index.ts'
import type { Scope } from '../config/index.ts'

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
   * Keeps the group complete without an operator: instances that are found join as standbys and take the place of lost ones.
   * An instance whose disk is empty outside the first start comes back under a new id.
   */
  autoMembers: boolean
  /** With `autoMembers`: the whole system starts for the first time. */
  bootstrap: boolean
  /** Window over which rate and burst hold, in ms; 0: at every moment, as a token bucket. */
  rateWindowMs: number
  /** Places claims among the nodes; without, non-idempotent requests rely on entering at one node only. */
  claims: boolean
  seeds: string[]
  secrets: string[]
  /** Token of the first operator, who may do everything. */
  operatorToken: string
}

/** Actions of the administration API, with the scope that each needs. */
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

/** One request to the administration API, as instances pass it on to the leader. */
export interface AdminRequest {
  action: Action
  /** Hash of the operator's token. */
  credential: string
  /** Operator whom an interface of this process vouches for, in place of a credential. */
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
