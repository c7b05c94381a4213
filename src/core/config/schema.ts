import * as v from 'valibot'
import { deploymentSchema } from '../deployment/index.ts'
import { shorten } from '../log/index.ts'

/** Returns false for names of inherited object properties, such as `constructor`, which cannot be keys of a record. */
const isUsableAsRecordKey = (text: string) => !(text in {})
const name = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name has lower-case letters, digits and hyphens, at most 63'),
  v.check(isUsableAsRecordKey, 'this name is reserved')
)
const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0))

/** Priority classes, most important first. */
export const priorities = ['critical', 'high', 'normal', 'low'] as const

/** Priority class of a route. */
export const prioritySchema = v.picklist(priorities)

/** One route of a template. */
export const routeSchema = v.strictObject({
  /** Name, unique within the template. */
  name,
  /** HTTP method. Example: "POST". */
  method: v.picklist(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path pattern. Example: "/tickets/:id". */
  path: v.pipe(v.string(), v.startsWith('/'), v.maxLength(512)),
  /** Service that handles the requests. */
  service: name,
  /** Priority class; more important classes are shed later. Default: "normal". */
  priority: v.optional(prioritySchema, 'normal'),
  /** Whether a request may run more than once. Default: true for GET and HEAD, else false. */
  idempotent: v.optional(v.boolean()),
  /** Whether the route needs no key. Default: false. */
  open: v.optional(v.boolean(), false),
  /** Timeout of the whole call, in milliseconds. Default: 5000. */
  timeoutMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(600_000)), 5000)
})

/** A numeric parameter with its default and bounds. */
export const parameterSchema = v.strictObject({ default: nonNegative, min: nonNegative, max: nonNegative })

/** Parameters of a template. */
export const parametersSchema = v.strictObject({
  /** Requests per second over all instances. */
  rate: v.optional(parameterSchema, { default: 100, min: 0, max: 1_000_000 }),
  /** Requests admitted at once on top of the rate. */
  burst: v.optional(parameterSchema, { default: 100, min: 1, max: 1_000_000 }),
  /** Weight of the workspace when capacity is divided under overload. */
  weight: v.optional(parameterSchema, { default: 1, min: 0.01, max: 1000 }),
  /** Extra attempts for one request over the whole call chain. */
  retryBudget: v.optional(parameterSchema, { default: 2, min: 0, max: 10 })
})

/** A template: routes, and parameters with their defaults and bounds. */
export const templateSchema = v.strictObject({
  routes: v.pipe(v.array(routeSchema), v.minLength(1), v.maxLength(500)),
  parameters: v.optional(parametersSchema, {})
})

/** A workspace: a template name with values for its parameters. */
export const workspaceSchema = v.strictObject({
  template: name,
  /** Parameter values; a missing one defaults to the template's. */
  parameters: v.optional(v.strictObject({
    rate: v.optional(nonNegative),
    burst: v.optional(nonNegative),
    weight: v.optional(nonNegative),
    retryBudget: v.optional(v.pipe(nonNegative, v.integer()))
  }), {}),
  /** Priority classes by route name; they override the template's. */
  priorities: v.optional(v.record(name, prioritySchema), {}),
  /** Names of further routes whose requests may run only once, in addition to the template's. */
  nonIdempotent: v.optional(v.array(name), [])
})

/** Scopes of an operator's credential. */
export const scopes = ['read', 'configuration', 'keys', 'operators'] as const
const scopeSchema = v.picklist(scopes)

const changeFields = {
  /** Identifies the change; a retry with the same id gets the first result. */
  changeId: v.pipe(
    v.string(),
    v.regex(/^[\w.:-]{1,128}$/, 'a change id has letters, digits, "_", ".", ":" and "-", at most 128'),
    v.check(isUsableAsRecordKey, 'this change id is reserved')
  ),
  /** Revision of the item that the change is based on; 0 for an item that does not exist yet. */
  expectRevision: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)))
}
const hash = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/))

/** A change requested by an operator. */
export const changeSchema = v.variant('kind', [
  v.strictObject({ ...changeFields, kind: v.literal('template'), name, value: templateSchema }),
  v.strictObject({ ...changeFields, kind: v.literal('workspace'), name, value: workspaceSchema }),
  v.strictObject({ ...changeFields, kind: v.literal('key-give'), name, workspace: name, hash }),
  v.strictObject({ ...changeFields, kind: v.literal('key-withdraw'), name }),
  v.strictObject({ ...changeFields, kind: v.literal('operator-give'), name, hash, scopes: v.pipe(v.array(scopeSchema), v.minLength(1)) }),
  v.strictObject({ ...changeFields, kind: v.literal('operator-withdraw'), name }),
  v.strictObject({ ...changeFields, kind: v.literal('quarantine-release'), name }),
  /** Replaces the whole configuration; `expectRevision` is the version that it is based on. */
  v.strictObject({
    ...changeFields,
    kind: v.literal('deployment'),
    name: v.literal('current'),
    value: deploymentSchema,
    /** The document as sent by the operator, returned when it is read. */
    source: v.string()
  })
])

export type Priority = v.InferOutput<typeof prioritySchema>
export type Route = v.InferOutput<typeof routeSchema>
export type Template = v.InferOutput<typeof templateSchema>
export type Workspace = v.InferOutput<typeof workspaceSchema>
export type Scope = v.InferOutput<typeof scopeSchema>
export type Change = v.InferOutput<typeof changeSchema>

/** Validates a document against a schema. The reason starts with the path of the first error and is short, although both may repeat keys of the document. */
export function check<Schema extends v.GenericSchema> (schema: Schema, document: unknown):
  { ok: true, value: v.InferOutput<Schema> } | { ok: false, reason: string } {
  const result = v.safeParse(schema, document)
  if (result.success) return { ok: true, value: result.output }
  const [issue] = result.issues
  return { ok: false, reason: shorten(`${v.getDotPath(issue) ?? 'document'}: ${issue.message}`) }
}
