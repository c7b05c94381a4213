import type { Deployment } from '../deployment/index.ts'
import type { Scope, Template, Workspace } from './schema.ts'

/** A stored item with the revision that last changed it. */
export interface Versioned<Value> {
  revision: number
  changedBy: string
  value: Value
}

/** A key as it rests: hash only. */
export interface Key {
  workspace: string
  hash: string
  withdrawn: boolean
}

/** An operator's credential as it rests. */
export interface Operator {
  hash: string
  scopes: Scope[]
  withdrawn: boolean
}

/** One process that holds claims. A restart makes another holder. */
export interface Holder {
  /** Node id. */
  node: string
  /** Boot id, new at every start of the process. */
  boot: string
  domain: string
}

/** Placement of one claim slot. See docs/design/0003-at-most-once.md. */
export interface ClaimSlot {
  view: number
  members: Holder[]
  /** Boot ids of the members that may vote. */
  ready: string[]
  /** How many ready members hold every granted claim between them. */
  copyQuorum: number
  /** Wall-clock time in ms when too few ready members were left, or 0. */
  blockedAt: number
}

/** A request fingerprint that is refused for a while. */
export interface Ban {
  /** Wall-clock time in ms. */
  until: number
}

/** What nodes need of the replicated state. */
export interface Configuration {
  revision: number
  templates: Record<string, Template>
  workspaces: Record<string, Workspace>
  /** By key id. Withdrawn keys are left out. */
  keys: Record<string, Key>
  slots: Record<string, ClaimSlot>
  bans: Record<string, Ban>
  /** The whole configuration of operators who replace it at once, under the name `current`; empty before the first. */
  deployments: Record<string, Deployment>
}

/** Collections that are distributed to nodes. */
export type Collection = 'templates' | 'workspaces' | 'keys' | 'slots' | 'bans' | 'deployments'

/** One item that a revision changed; a missing value removes it. */
export interface Difference {
  collection: Collection
  name: string
  value?: unknown
}

/** The differences that lead to one revision. */
export interface Delta {
  revision: number
  differences: Difference[]
}
