import { join } from 'node:path'
import { randomId } from '../auth/index.ts'
import { decodeRecords, encodeRecord } from '../storage/index.ts'
import type { Disk } from '../storage/index.ts'
import { succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'

const suffixBytes = 4

/** How an instance takes part in its group. */
export interface Identity {
  /** Id in the member list. */
  id: string
  /** True when the instance waits to be taken into a running group. */
  joins: boolean
}

/** What decides the identity of an instance that finds no identity on its disk. */
export interface IdentityOptions {
  /** Name of the instance. */
  name: string
  /** True at the first start of the whole system, when the disks are empty because nothing was written yet. */
  bootstrap: boolean
  /** Ids of the group's first members. */
  founders: readonly string[]
}

/**
 * Reads the identity of an instance from its disk, or makes one. An instance whose disk is empty outside
 * the first start has forgotten its votes and its log, so that it comes back under a new id, as
 * a new member: under its old id it could vote twice in a term.
 */
export function openIdentity (disk: Disk, folder: string, { name, bootstrap, founders }: IdentityOptions): Outcome<Identity> {
  const path = join(folder, 'identity')
  disk.makeFolder(folder)
  const content = disk.read(path)
  const stored = content === undefined ? undefined : decodeRecords(path, content)
  if (stored?.ok === false) return stored
  const known = stored?.value.records[0] as Identity | undefined
  if (known !== undefined) return succeed(known)
  const isFounder = bootstrap && founders.includes(name)
  const identity: Identity = isFounder ? { id: name, joins: false } : { id: `${name}-${randomId(suffixBytes)}`, joins: true }
  disk.replace(path, encodeRecord(identity))
  return succeed(identity)
}
