import { join } from 'node:path'
import { randomId } from '../auth/index.ts'
import { decodeRecords, encodeRecord } from '../storage/index.ts'
import type { Disk } from '../storage/index.ts'
import { succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'

const suffixBytes = 4

/** Identity of an instance within its group, as stored on its disk. */
export interface Identity {
  /** Id in the member list. */
  id: string
  /** True when the instance waits to be added to a running group. */
  joins: boolean
}

/** Input for the identity of an instance that has none on its disk. */
export interface IdentityOptions {
  /** Name of the instance. */
  name: string
  /** True at the first start of the cluster, when empty disks are expected. */
  bootstrap: boolean
  /** Ids of the group's first members. */
  initialMembers: readonly string[]
}

/**
 * Reads the identity of an instance from its disk, or creates one. An instance whose disk is empty outside
 * the first start has lost its votes and its log. It joins as a new member under a new id, because under
 * its old id it could vote twice in a term.
 */
export function openIdentity (disk: Disk, folder: string, { name, bootstrap, initialMembers }: IdentityOptions): Outcome<Identity> {
  const path = join(folder, 'identity')
  disk.makeFolder(folder)
  const content = disk.read(path)
  const stored = content === undefined ? undefined : decodeRecords(path, content)
  if (stored?.ok === false) return stored
  const existing = stored?.value.records[0] as Identity | undefined
  if (existing !== undefined) return succeed(existing)
  const isInitialMember = bootstrap && initialMembers.includes(name)
  const identity: Identity = isInitialMember ? { id: name, joins: false } : { id: `${name}-${randomId(suffixBytes)}`, joins: true }
  disk.replace(path, encodeRecord(identity))
  return succeed(identity)
}
