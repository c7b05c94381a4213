import * as v from 'valibot'
import { maxTimeoutMs, priorityRanks } from './constants.ts'

const count = v.pipe(v.number(), v.integer(), v.minValue(0))
const positive = v.pipe(v.number(), v.integer(), v.minValue(1))
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(512))
const rank = v.pipe(count, v.maxValue(priorityRanks - 1))
const amount = v.pipe(v.number(), v.finite(), v.minValue(0))
const prefix = v.pipe(
  v.string(),
  v.check((path) => path.startsWith('/') && path.endsWith('/'), 'a prefix begins and ends with a slash')
)

/** One of the services that a route sends its requests to. */
export const destinationSchema = v.strictObject({
  service: text,
  /** Part of the requests, relative to the route's other weights. */
  weight: amount
})

/** A route by host and path prefix; among the prefixes that match, the longest wins. */
export const deploymentRouteSchema = v.strictObject({
  name: text,
  /** Value of the Host header, lower case, without a port. */
  host: text,
  prefix,
  /** Whether a request may run more than once. */
  idempotent: v.boolean(),
  /** 0 is shed last. */
  priority: rank,
  /** Whether the route needs no key. */
  open: v.boolean(),
  /** Time within which an answer has its full worth, in ms. */
  objectiveMs: positive,
  /** Time for the whole call, in ms. */
  timeoutMs: v.pipe(positive, v.maxValue(maxTimeoutMs)),
  /** Targets that one request may be sent to. */
  maxAttempts: positive,
  destinations: v.pipe(v.array(destinationSchema), v.minLength(1))
})

/** A service that routes may name. */
export const deploymentServiceSchema = v.strictObject({
  name: text,
  /** Connections that each target of the service accepts. */
  maxConnections: positive
})

/** A workspace with the keys that its operator made. */
export const deploymentWorkspaceSchema = v.strictObject({
  name: text,
  /** SHA-256 digests of the keys. */
  keys: v.array(v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal'))),
  /** Takes the place of the routes' priorities. */
  priority: v.optional(rank),
  /** Requests a second over all instances; 0 is no limit. */
  rate: amount,
  /** Requests at once on top of the rate. */
  burst: amount
})

/** Bounds on what callers may send. */
export const callerLimitsSchema = v.strictObject({
  headerBytes: positive,
  bodyBytes: positive,
  headerTimeoutMs: positive,
  idleTimeoutMs: positive
})

/** The whole configuration in one document, replaced at once. */
export const deploymentSchema = v.strictObject({
  /** Number that the operator gave it; each one is above the one before. */
  version: positive,
  limits: callerLimitsSchema,
  routes: v.array(deploymentRouteSchema),
  services: v.array(deploymentServiceSchema),
  workspaces: v.array(deploymentWorkspaceSchema)
})

export type Destination = v.InferOutput<typeof destinationSchema>
export type DeploymentRoute = v.InferOutput<typeof deploymentRouteSchema>
export type DeploymentWorkspace = v.InferOutput<typeof deploymentWorkspaceSchema>
export type Deployment = v.InferOutput<typeof deploymentSchema>
