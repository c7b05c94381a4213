import * as v from 'valibot'
import { isAddress } from '../address/index.ts'

const list = v.array(v.unknown())

/** Domain of a process and versions of all its records, with which it asks for a sync. */
export const syncRequestSchema = v.object({ domain: v.string(), versions: list })

/** Records that the asking process lacks or has in an older version, and ids of the records wanted from it. */
export const syncReplySchema = v.object({ domain: v.string(), newer: list, wanted: v.array(v.string()) })

/** Records that the other side of a sync wanted. */
export const mergeRequestSchema = v.object({ domain: v.string(), members: list })

const items = v.record(v.string(), v.unknown())
const revision = v.pipe(v.number(), v.safeInteger(), v.minValue(0))

/** Request to fetch a revision from the process at an address. */
export const obtainRequestSchema = v.object({ revision, source: v.pipe(v.string(), v.check(isAddress, 'an address is IP:PORT')) })

const collections = { templates: items, workspaces: items, keys: items, slots: items, bans: items, deployments: items }

/** Reply to a request for a newer configuration, of which only the form is checked: a leader has validated the content. */
export const fetchReplySchema = v.object({
  deltas: v.optional(v.array(v.looseObject({
    revision, differences: v.array(v.looseObject({ collection: v.picklist(['templates', 'workspaces', 'keys', 'slots', 'bans', 'deployments']), name: v.string() }))
  }))),
  full: v.optional(v.looseObject({ revision, ...collections }))
})
