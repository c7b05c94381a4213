import * as v from 'valibot'

const text = (longest: number) => v.pipe(v.string(), v.maxLength(longest))

/** Schema of the question where a request would go. The key of its caller travels in a header, never in the question. */
export const questionSchema = v.strictObject({
  method: v.optional(v.pipe(v.string(), v.regex(/^[A-Z]{1,16}$/, 'a method has upper-case letters')), 'GET'),
  /** Host header; ignored by routes of templates. */
  host: v.optional(text(255), ''),
  path: v.pipe(text(8192), v.startsWith('/')),
  /** Workspace of the caller, in place of a key. */
  workspace: v.optional(text(512))
})

/** A request that is explained and not sent. */
export type Question = v.InferOutput<typeof questionSchema>
