import * as v from 'valibot'
import type { AnyDemand, AnyGrant } from './meters.ts'

const count = v.pipe(v.number(), v.integer())
const windowDemandSchema = v.tuple([v.string(), count, count, count, v.nullable(v.tuple([count, count, count])), v.optional(count), v.optional(v.boolean())])
const bucketDemandSchema = v.tuple([v.string(), v.number(), count, v.nullable(v.tuple([v.string(), count, v.number(), v.number()]))])
const windowGrantSchema = v.tuple([v.string(), count, count, count, v.number(), v.number()])
const bucketGrantSchema = v.tuple([v.string(), v.string(), count, v.number(), v.number(), v.number(), v.boolean(), v.number(), v.number()])

const demandsSchema = v.union([
  v.strictObject({ window: v.array(windowDemandSchema) }),
  v.strictObject({ bucket: v.array(bucketDemandSchema) })
])
const grantsSchema = v.union([
  v.strictObject({ window: v.array(windowGrantSchema) }),
  v.strictObject({ bucket: v.array(bucketGrantSchema) })
])

/**
 * Demands of one kind of limit as they are sent: fields in a fixed order, without their names.
 * Window: workspace, arrived, admitted, waiting, held (term, sequence, allowance) or null, expected, whether it is a lender (both missing from earlier versions).
 * Bucket: workspace, rate (requests/s), waiting, held (generation, sequence, rate, burst) or null.
 */
export type EncodedDemands = v.InferOutput<typeof demandsSchema>

/**
 * Grants of one kind of limit as they are sent.
 * Window: workspace, term, sequence, allowance, next report (ms), lease (ms).
 * Bucket: workspace, generation, sequence, rate (requests/s), burst, tokens, open, next token (ms), lease (ms).
 */
export type EncodedGrants = v.InferOutput<typeof grantsSchema>

/** Encodes the demands of one report. All are of the same kind, because a node has one kind of meter. */
export function encodeDemands (demands: readonly AnyDemand[]): EncodedDemands {
  const window: Array<v.InferOutput<typeof windowDemandSchema>> = []
  const bucket: Array<v.InferOutput<typeof bucketDemandSchema>> = []
  for (const demand of demands) {
    if ('arrived' in demand) {
      const { workspace, arrived, expected, admitted, waiting, held, isLender = false } = demand
      window.push([workspace, arrived, admitted, waiting, held === undefined ? null : [held.term, held.sequence, held.allowance], expected ?? arrived, isLender])
    } else {
      const { workspace, rate, waiting, held } = demand
      bucket.push([workspace, rate, waiting, held === undefined ? null : [held.generation, held.sequence, held.rate, held.burst]])
    }
  }
  return bucket.length > 0 ? { bucket } : { window }
}

/** Decodes the demands of a report. Returns undefined for a value of another version of the program. */
export function decodeDemands (value: unknown): AnyDemand[] | undefined {
  if (!v.is(demandsSchema, value)) return undefined
  if ('bucket' in value) {
    return value.bucket.map(([workspace, rate, waiting, held]) => {
      if (held === null) return { workspace, rate, waiting }
      const [generation, sequence, heldRate, burst] = held
      return { workspace, rate, waiting, held: { generation, sequence, rate: heldRate, burst } }
    })
  }
  return value.window.map(([workspace, arrived, admitted, waiting, held, expected, isLender]) => {
    const demand = { workspace, arrived, admitted, waiting, ...(expected === undefined || expected <= arrived ? {} : { expected }), ...(isLender === true ? { isLender } : {}) }
    if (held === null) return demand
    const [term, sequence, allowance] = held
    return { ...demand, held: { term, sequence, allowance } }
  })
}

/** Encodes the grants that answer one report. */
export function encodeGrants (grants: readonly AnyGrant[]): EncodedGrants {
  const window: Array<v.InferOutput<typeof windowGrantSchema>> = []
  const bucket: Array<v.InferOutput<typeof bucketGrantSchema>> = []
  for (const grant of grants) {
    if ('allowance' in grant) {
      const { workspace, term, sequence, allowance, nextMs, leaseMs } = grant
      window.push([workspace, term, sequence, allowance, nextMs, leaseMs])
    } else {
      const { workspace, generation, sequence, rate, burst, tokens, open, nextMs, leaseMs } = grant
      bucket.push([workspace, generation, sequence, rate, burst, tokens, open, nextMs, leaseMs])
    }
  }
  return bucket.length > 0 ? { bucket } : { window }
}

/** Decodes the grants that answer a report. Returns undefined for a value of another version of the program. */
export function decodeGrants (value: unknown): AnyGrant[] | undefined {
  if (!v.is(grantsSchema, value)) return undefined
  if ('bucket' in value) {
    return value.bucket.map(([workspace, generation, sequence, rate, burst, tokens, open, nextMs, leaseMs]) =>
      ({ workspace, generation, sequence, rate, burst, tokens, open, nextMs, leaseMs }))
  }
  return value.window.map(([workspace, term, sequence, allowance, nextMs, leaseMs]) => ({ workspace, term, sequence, allowance, nextMs, leaseMs }))
}
