import * as v from 'valibot'
import { deploymentSchema } from '../deployment/index.ts'

/** False for the names of inherited properties, which cannot be keys of a record. */
const isOwnName = (text: string) => !(text in {})
const name = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name has lower-case letters, digits and hyphens, at most 63'),
  v.check(isOwnName, 'this name is reserved')
)
const positive = v.pipe(v.number(), v.finite(), v.minValue(0))

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
  /** Service that answers. */
  service: name,
  /** Which requests are shed last. Default: "normal". */
  priority: v.optional(prioritySchema, 'normal'),
  /** Whether the request may be repeated. Default: true for GET and HEAD, else false. */
  idempotent: v.optional(v.boolean()),
  /** Whether the route needs no key. Default: false. */
  open: v.optional(v.boolean(), false),
  /** Time for the whole call, in milliseconds. Default: 5000. */
  timeoutMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(600_000)), 5000)
})

/** A numeric parameter with its default and bounds. */
export const parameterSchema = v.strictObject({ default: positive, min: positive, max: positive })

/** Parameters that every template defines. */
export const parametersSchema = v.strictObject({
  /** Requests a second over all instances. */
  rate: v.optional(parameterSchema, { default: 100, min: 0, max: 1_000_000 }),
  /** Requests at once on top of the rate. */
  burst: v.optional(parameterSchema, { default: 100, min: 1, max: 1_000_000 }),
  /** Weight of the workspace's part under overload. */
  weight: v.optional(parameterSchema, { default: 1, min: 0.01, max: 1000 }),
  /** Extra attempts for one caller's request over the whole chain. */
  retryBudget: v.optional(parameterSchema, { default: 2, min: 0, max: 10 })
})

/** A template: routes, and parameters with defaults and bounds. */
export const templateSchema = v.strictObject({
  routes: v.pipe(v.array(routeSchema), v.minLength(1), v.maxLength(500)),
  parameters: v.optional(parametersSchema, {})
})

/** A workspace: a template with its parameters filled in. */
export const workspaceSchema = v.strictObject({
  template: name,
  /** Values of the template's parameters. */
  parameters: v.optional(v.strictObject({
    rate: v.optional(positive),
    burst: v.optional(positive),
    weight: v.optional(positive),
    retryBudget: v.optional(v.pipe(positive, v.integer()))
  }), {}),
  /** Priorities by route name, in place of the template's. */
  priorities: v.optional(v.record(name, prioritySchema), {}),
  /** Routes that may not be repeated, on top of the template's. */
  nonIdempotent: v.optional(v.array(name), [])
})

/** Scopes of an operator's credential. */
export const scopes = ['read', 'configuration', 'keys', 'operators'] as const
const scopeSchema = v.picklist(scopes)

const base = {
  /** Identifies the change; a resend under the same id gets the first answer. */
  changeId: v.pipe(
    v.string(),
    v.regex(/^[\w.:-]{1,128}$/, 'a change id has letters, digits, "_", ".", ":" and "-", at most 128'),
    v.check(isOwnName, 'this change id is reserved')
  ),
  /** Revision of the item that the change starts from; 0 for an item that does not exist yet. */
  expectRevision: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)))
}
const hash = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/))

/** A change that an operator asks for. */
export const changeSchema = v.variant('kind', [
  v.strictObject({ ...base, kind: v.literal('template'), name, value: templateSchema }),
  v.strictObject({ ...base, kind: v.literal('workspace'), name, value: workspaceSchema }),
  v.strictObject({ ...base, kind: v.literal('key-give'), name, workspace: name, hash }),
  v.strictObject({ ...base, kind: v.literal('key-withdraw'), name }),
  v.strictObject({ ...base, kind: v.literal('operator-give'), name, hash, scopes: v.pipe(v.array(scopeSchema), v.minLength(1)) }),
  v.strictObject({ ...base, kind: v.literal('operator-withdraw'), name }),
  v.strictObject({ ...base, kind: v.literal('quarantine-release'), name }),
  /** Replaces the whole configuration; `expectRevision` is the version that it builds on. */
  v.strictObject({
    ...base,
    kind: v.literal('deployment'),
    name: v.literal('current'),
    value: deploymentSchema,
    /** The document as the operator sent it, to be read back. */
    source: v.string()
  })
])

export type Priority = v.InferOutput<typeof prioritySchema>
export type Route = v.InferOutput<typeof routeSchema>
export type Template = v.InferOutput<typeof templateSchema>
export type Workspace = v.InferOutput<typeof workspaceSchema>
export type Scope = v.InferOutput<typeof scopeSchema>
export type Change = v.InferOutput<typeof changeSchema>

/** Checks a document against a schema. The message names the path of the first problem. */
export function check<Schema extends v.GenericSchema> (schema: Schema, document: unknown):
  { ok: true, value: v.InferOutput<Schema> } | { ok: false, reason: string } {
  const result = v.safeParse(schema, document)
  if (result.success) return { ok: true, value: result.output }
  const [issue] = result.issues
  return { ok: false, reason: `${v.getDotPath(issue) ?? 'document'}: ${issue.message}` }
}
