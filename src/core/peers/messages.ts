import * as v from 'valibot'

const list = v.array(v.unknown())

/** Domain of a process and versions of all its records, with which it asks for a sync. */
export const syncRequestSchema = v.object({ domain: v.string(), versions: list })

/** Records that the asking process lacks or has in an older version, and ids of the records wanted from it. */
export const syncReplySchema = v.object({ domain: v.string(), newer: list, wanted: v.array(v.string()) })

/** Records that the other side of a sync wanted. */
export const mergeRequestSchema = v.object({ domain: v.string(), members: list })
