import type { Deployment } from '../deployment/index.ts'
import type { Scope, Template, Workspace } from './schema.ts'

/** A stored item with the revision that last changed it. */
export interface Versioned<Value> {
  revision: number
  changedBy: string
  value: Value
}

/** A key as it is stored: only its hash. */
export interface Key {
  workspace: string
  hash: string
  withdrawn: boolean
}

/** An operator's credential as it is stored. */
export interface Operator {
  hash: string
  scopes: Scope[]
  withdrawn: boolean
}

/** One process that holds claims. A restarted process is a new holder. */
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
  /** Number of ready members that together hold every granted claim, whichever of them are chosen. */
  copyQuorum: number
  /** Wall-clock time in ms at which too few ready members remained, or 0. */
  blockedAt: number
}

/** Temporary ban of a request fingerprint. */
export interface Ban {
  /** End of the ban, wall-clock time in ms. */
  until: number
}

/** Part of the registry that is sent to nodes. */
export interface Configuration {
  revision: number
  templates: Record<string, Template>
  workspaces: Record<string, Workspace>
  /** Keys by key id, without withdrawn ones. */
  keys: Record<string, Key>
  slots: Record<string, ClaimSlot>
  bans: Record<string, Ban>
  /** The deployment, under the name `current`, for operators who replace the whole configuration at once; empty before the first. */
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

/** Differences between one revision and the revision before it. */
export interface Delta {
  revision: number
  differences: Difference[]
}
