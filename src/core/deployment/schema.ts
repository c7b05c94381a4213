import * as v from 'valibot'
import { maxQuantity, maxTimeoutMs, priorityRanks } from './constants.ts'

const nonNegativeInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(0))
const positiveInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(1))
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(512))
const rank = v.pipe(nonNegativeInteger, v.maxValue(priorityRanks - 1))
/** A weight, a rate or a burst. Sums and products of such numbers stay finite. */
const nonNegative = v.pipe(v.number(), v.minValue(0), v.maxValue(maxQuantity))
const prefix = v.pipe(
  v.string(),
  v.check((path) => path.startsWith('/') && path.endsWith('/'), 'a prefix begins and ends with a slash')
)

/** A service that receives a part of a route's requests. */
export const destinationSchema = v.strictObject({
  service: text,
  /** Weight of the service relative to the route's other weights. */
  weight: nonNegative
})

/** A route for a host and a path prefix; the longest matching prefix wins. */
export const deploymentRouteSchema = v.strictObject({
  name: text,
  /** Value of the Host header, in lower case and without a port. */
  host: text,
  prefix,
  /** Whether a request may run more than once. */
  idempotent: v.boolean(),
  /** 0 is shed last. */
  priority: rank,
  /** Whether the route needs no key. */
  open: v.boolean(),
  /** Latency objective in ms: an answer within this time has its full value. */
  objectiveMs: positiveInteger,
  /** Timeout of the whole call, in ms. */
  timeoutMs: v.pipe(positiveInteger, v.maxValue(maxTimeoutMs)),
  /** Maximum number of targets that one request is sent to. */
  maxAttempts: positiveInteger,
  destinations: v.pipe(v.array(destinationSchema), v.minLength(1))
})

/** A service that routes refer to by name. */
export const deploymentServiceSchema = v.strictObject({
  name: text,
  /** Maximum number of connections to each target of the service. */
  maxConnections: positiveInteger
})

/** A workspace with the keys that its operator issued. */
export const deploymentWorkspaceSchema = v.strictObject({
  name: text,
  /** SHA-256 digests of the keys. */
  keys: v.array(v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal'))),
  /** Overrides the routes' priorities. */
  priority: v.optional(rank),
  /** Requests per second over all instances; 0 means no limit. */
  rate: nonNegative,
  /** Requests admitted at once on top of the rate. */
  burst: nonNegative
})

/** Size and time limits for requests of callers. */
export const callerLimitsSchema = v.strictObject({
  headerBytes: positiveInteger,
  bodyBytes: positiveInteger,
  headerTimeoutMs: positiveInteger,
  idleTimeoutMs: positiveInteger
})

/** The complete configuration in one document, which a new version replaces completely. */
export const deploymentSchema = v.strictObject({
  /** Version number set by the operator; must be greater than the one before. */
  version: positiveInteger,
  limits: callerLimitsSchema,
  routes: v.array(deploymentRouteSchema),
  services: v.array(deploymentServiceSchema),
  workspaces: v.array(deploymentWorkspaceSchema)
})

export type Destination = v.InferOutput<typeof destinationSchema>
export type DeploymentRoute = v.InferOutput<typeof deploymentRouteSchema>
export type DeploymentWorkspace = v.InferOutput<typeof deploymentWorkspaceSchema>
export type Deployment = v.InferOutput<typeof deploymentSchema>
