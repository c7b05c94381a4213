import type { CallContext, Call, Report } from './types.ts'
import type { Unanswered } from './sinks.ts'

/** First message of a call between nodes. The body follows as bytes. */
export interface CallOpening {
  context: CallContext
  method: string
  path: string
  /** Header names and values, alternating. */
  headers: string[]
  bodyBytes: number
}

/** Message that precedes the bytes of an answer or replaces them. */
export type CallReply =
  | { type: 'head', status: number, headers: string[], report: Report }
  | { type: 'unanswered', unanswered: Unanswered }

/** Fields of a context in the order in which they are sent between nodes, without their names. */
const contextFields = [
  'attempt', 'chain', 'lineage', 'workspace', 'keyId', 'template', 'route', 'service', 'priority', 'rank', 'weight', 'idempotent', 'needsClaim', 'host',
  'digest', 'fingerprint', 'suspect', 'resendable', 'depth', 'budget', 'remainingMs', 'waitMs', 'heardShare'
] as const satisfies ReadonlyArray<keyof CallContext>

const openingLength = 5
const absentValue = null

/** Empties what the receiver does not need or can restore: the digest serves claims only, and the lineage is the chain for requests without a key of their own. */
function omitRedundantFields (context: CallContext): CallContext {
  return { ...context, digest: context.needsClaim ? context.digest : '', lineage: context.lineage === context.chain ? '' : context.lineage }
}

/** Encodes the first message of a call. */
export function encodeOpening ({ context, method, path, headers, bodyBytes }: CallOpening): unknown[] {
  const fieldsToSend = omitRedundantFields(context)
  return [contextFields.map((field) => fieldsToSend[field] ?? absentValue), method, path, headers, bodyBytes]
}

function decodeContext (values: unknown[]): CallContext {
  const fields: Record<string, unknown> = {}
  for (let index = 0; index < contextFields.length; index++) fields[contextFields[index]] = values[index]
  const context = fields as unknown as CallContext
  if (context.lineage === '') context.lineage = context.chain
  context.waitMs ??= undefined
  context.heardShare ??= undefined
  return context
}

/** Decodes the first message of a call. Returns undefined for a value of another version of the program. */
export function decodeOpening (value: unknown): CallOpening | undefined {
  if (!Array.isArray(value) || value.length !== openingLength) return undefined
  const [values, method, path, headers, bodyBytes] = value as unknown[]
  if (!Array.isArray(values) || values.length !== contextFields.length || !Array.isArray(headers)) return undefined
  if (typeof method !== 'string' || typeof path !== 'string' || typeof bodyBytes !== 'number') return undefined
  const context = decodeContext(values)
  return Number.isFinite(context.remainingMs) ? { context, method, path, headers: headers as string[], bodyBytes } : undefined
}

/** Encodes the head of an answer. */
export function encodeHead (status: number, headers: string[], { used, load, shed, share, room, workMs, ownFailures }: Report): unknown[] {
  return [status, headers, used, load, shed, share ?? absentValue, room ?? absentValue, workMs ?? absentValue, ownFailures ?? absentValue]
}

/** Encodes the reason why there is no answer. */
export function encodeUnanswered (unanswered: Unanswered): unknown {
  return unanswered
}

/** Returns the fields that are present. */
function withoutAbsent (fields: Record<string, number | null>): Record<string, number> {
  const present: Record<string, number> = {}
  for (const [name, value] of Object.entries(fields)) if (value !== absentValue) present[name] = value
  return present
}

/** Decodes a reply. Returns undefined for a value of another version of the program. */
export function decodeReply (value: unknown): CallReply | undefined {
  if (Array.isArray(value)) {
    const [status, headers, used, load, shed, share, room, workMs, ownFailures = absentValue] = value as [number, string[], number, number, boolean, number | null, number | null, number | null, number | null | undefined]
    return { type: 'head', status, headers, report: { used, load, shed, ...withoutAbsent({ share, room, workMs, ownFailures }) } }
  }
  const unanswered = value as Unanswered | null
  return unanswered !== null && typeof unanswered === 'object' && 'failure' in unanswered ? { type: 'unanswered', unanswered } : undefined
}

/** Creates the first message that forwards a call with `budget` extra attempts and `remainingMs` left. */
export function createOpening (call: Call, budget: number, remainingMs: number): CallOpening {
  const { context, method, path, headers, body } = call
  return { context: { ...context, budget, remainingMs }, method, path, headers, bodyBytes: body.length }
}
