import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EffectiveParameters, EffectiveRoute } from '../config/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import type { RateClient } from '../rate/client.ts'
import type { CallSender } from './attempts.ts'
import { readBody } from './body.ts'
import type { ReadBody } from './body.ts'
import type { BodyBudget } from './body-budget.ts'
import { maxBodyBytes, ownPathPrefix, waitFraction } from './constants.ts'
import type { Decisions } from './decisions.ts'
import type { Dependencies } from './dependencies.ts'
import type { CallerRequest, Dialect } from './dialect.ts'
import type { Gate } from './gate.ts'
import { containsKey } from './headers.ts'
import type { Directory, Identity } from './identity.ts'
import type { OwnFailures } from './own-failures.ts'
import type { Refusals } from './refusals.ts'
import type { KeyCheck } from './key-check.ts'
import { isInProgress } from './origin.ts'
import type { StoppingRequest } from './stop.ts'

const maxIdempotencyKeyLength = 256

/** A caller's request while the filters process it. */
export interface Arrival {
  request: IncomingMessage
  /** Monotonic time at which its head was read, in ms. */
  arrivedAt: number
  callerRequest: CallerRequest
  method: string
  path: string
  pathname: string
  identity: Identity | undefined
  /** Missing until the route is found. */
  route: EffectiveRoute | undefined
  parameters: EffectiveParameters
  /** Time at which the request was counted against the rate of its workspace; missing when it was not counted. */
  rateCountedAt: number | undefined
  idempotencyKey: string | undefined
  /** The body, once it has been received. */
  body: ReadBody | undefined
}

/** Services and state that the filters use. */
export interface EntryContext {
  dialect: Dialect
  peers: Peers
  directory: Directory
  rates: RateClient
  callSender: CallSender
  dependencies: Dependencies
  refusals: Refusals
  bodyBudget: BodyBudget
  findKeyFailure: KeyCheck
  /** Returns false for a request that this node no longer begins because it stops. */
  mayBegin: (request: StoppingRequest) => boolean
  /** Returns the rank of the request for which the node's own target calls a route; targets do not name it. */
  estimateRank: (route: EffectiveRoute) => number
  /** Gate of the node's own target, which learns of the calls that the target has under way. */
  gate: Pick<Gate, 'startCall'>
  /** Failures of the node's own target; undefined where they are not stated. */
  ownFailures?: OwnFailures
  /** Returns true while the node's own target works on a request. */
  isTargetWorking: () => boolean
  /** Records that a request was passed on and may run from now on. Returns false for one that has been answered meanwhile. */
  recordBegun: (response: ServerResponse) => boolean
  decisions: Decisions
  environment: Environment
}

/** One step that checks a request. Completes the arrival or refuses it. */
export type Filter = (arrival: Arrival, context: EntryContext) => Outcome<null> | Promise<Outcome<null>>

const accepted = succeed(null)

function checkPath (arrival: Arrival): Outcome<null> {
  const { path, request } = arrival
  if (!path.startsWith('/') || path.startsWith(ownPathPrefix)) return fail('unknownRoute', { method: arrival.method, path: arrival.pathname })
  if (request.headers.upgrade !== undefined) return fail('badRequest', { reason: 'upgrades are not served' })
  return accepted
}

function checkUrlForKeys ({ path }: Arrival): Outcome<null> {
  if (containsKey(path)) return fail('badRequest', { reason: 'a key may be sent in the Authorization header only, not in the URL' })
  return accepted
}

function authenticate (arrival: Arrival, { directory, findKeyFailure }: EntryContext): Outcome<null> {
  const { authorization } = arrival.request.headers
  if (authorization === undefined) return accepted
  const key = /^Bearer +(\S+)$/i.exec(authorization)?.[1]
  if (key === undefined) return fail('unauthorized', { reason: 'the Authorization header is not of the form "Bearer KEY"' })
  arrival.identity = directory.identify(key)
  if (arrival.identity !== undefined) return accepted
  const keyFailure = findKeyFailure({ workspace: '', keyId: null })
  return keyFailure?.code === 'stale' ? keyFailure : fail('unauthorized', { reason: 'the key is unknown or was withdrawn' })
}

function findRoute (arrival: Arrival, { directory }: EntryContext): Outcome<null> {
  const { method, pathname, identity } = arrival
  const routes = directory.routes()
  const route = identity === undefined ? routes.findOpen(method, pathname) : routes.find(identity.workspace, method, pathname) ?? routes.findOpen(method, pathname)
  if (route === undefined) {
    return identity === undefined ? fail('unauthorized', { reason: 'this route needs a key' }) : fail('unknownRoute', { method, path: pathname })
  }
  arrival.route = route
  arrival.parameters = identity === undefined ? arrival.parameters : directory.parametersOf(identity.workspace) ?? arrival.parameters
  return accepted
}

function findDeployedRoute (arrival: Arrival, { directory }: EntryContext): Outcome<null> {
  const { method, pathname, callerRequest } = arrival
  if (directory.deployment() === undefined) return fail('noDeployment')
  const route = directory.findDeployed(callerRequest.host, pathname)
  if (route === undefined) return fail('unknownRoute', { method, path: pathname })
  arrival.route = route
  arrival.parameters = { ...arrival.parameters, retryBudget: (route.maxAttempts ?? 1) - 1 }
  return accepted
}

function authenticateDeployed (arrival: Arrival, { directory }: EntryContext): Outcome<null> {
  const { route, callerRequest } = arrival
  if (route === undefined || route.open) return accepted
  if (callerRequest.key === undefined) return fail('unauthorized', { reason: 'this route needs a key' })
  arrival.identity = directory.identifyDeployed(callerRequest.key)
  if (arrival.identity === undefined) return fail('unauthorized', { reason: 'the key is unknown or was withdrawn' })
  const priority = directory.deployment()?.findWorkspace(arrival.identity.workspace)?.priority
  if (priority !== undefined) arrival.route = { ...route, priority }
  return accepted
}

function checkKey ({ identity, route }: Arrival, { findKeyFailure }: EntryContext): Outcome<null> {
  if (identity === undefined || route?.open === true) return accepted
  return findKeyFailure({ workspace: identity.workspace, keyId: identity.keyId }) ?? accepted
}

function checkIdempotencyKey (arrival: Arrival): Outcome<null> {
  const key = arrival.request.headers['idempotency-key']?.toString()
  arrival.idempotencyKey = key
  if (key === undefined) return accepted
  const valid = key.length > 0 && key.length <= maxIdempotencyKeyLength
  return valid ? accepted : fail('badRequest', { reason: `an Idempotency-Key has 1 to ${maxIdempotencyKeyLength} characters` })
}

async function checkRate (arrival: Arrival, { rates, directory, environment }: EntryContext): Promise<Outcome<null>> {
  const { identity, route } = arrival
  if (identity === undefined || route?.open === true || !directory.isLimited(identity.workspace)) return accepted
  const pending = rates.admit(identity.workspace)
  const admission = pending instanceof Promise ? await pending : pending
  if (admission === 'refused') return fail('overRate', { workspace: identity.workspace })
  if (admission === 'counted') arrival.rateCountedAt = environment.clock.now()
  return accepted
}

async function receiveBody (arrival: Arrival, { directory, dialect, bodyBudget: budget, environment: { clock } }: EntryContext): Promise<Outcome<null>> {
  const { request, route, callerRequest, arrivedAt } = arrival
  const deployed = dialect.configuredBy === 'deployment' ? directory.deployment()?.deployment.limits.bodyBytes : undefined
  const timeoutMs = route === undefined ? 0 : requestTimeoutMs(route, callerRequest)
  const timeLeftMs = () => arrivedAt + timeoutMs - clock.now()
  const reading = readBody(request, { maxBytes: deployed ?? maxBodyBytes, budget, waitMs: waitFraction * timeoutMs, timeLeftMs })
  const body = reading instanceof Promise ? await reading : reading
  if (!body.ok) return body
  arrival.body = body.value
  return accepted
}

/** Returns true for a call that the node's own target makes for a request in progress. */
export function isCallInProgress ({ callerRequest, route }: Arrival, { directory }: EntryContext): boolean {
  return isInProgress({
    fromTargetAddress: callerRequest.fromTargetAddress,
    hasKey: callerRequest.key !== undefined,
    isOpen: route?.open === true,
    callersHaveKeys: directory.callersHaveKeys()
  })
}

/** Returns the time within which a request certainly ends, in ms: the timeout of its route, or less if its caller waits less. */
export function requestTimeoutMs (route: EffectiveRoute, { timeLeftMs }: CallerRequest): number {
  return Math.min(route.timeoutMs, timeLeftMs ?? Infinity)
}

function checkStop (arrival: Arrival, context: EntryContext): Outcome<null> {
  const { route, callerRequest } = arrival
  if (route === undefined) return accepted
  // Without its calls a request in progress fails; the stop waits for both.
  const isNeeded = context.isTargetWorking() && isCallInProgress(arrival, context)
  const longestMs = isNeeded ? context.callSender.longestMs({ service: route.service, route: route.name }) : undefined
  const timeoutMs = requestTimeoutMs(route, callerRequest)
  return context.mayBegin({ source: 'caller', timeoutMs, longestMs }) ? accepted : fail('leaving')
}

function checkBodyForKeys ({ body }: Arrival): Outcome<null> {
  if (body !== undefined && body.bytes.length > 0 && containsKey(body.bytes.toString('latin1'))) {
    return fail('badRequest', { reason: 'a key may be sent in the Authorization header only, not in the body' })
  }
  return accepted
}

/** Refuses a request whose time has passed while it waited for its turn or its body. It precedes the rate, so that it isn't counted. */
function checkDeadline ({ route, callerRequest, arrivedAt }: Arrival, { environment: { clock } }: EntryContext): Outcome<null> {
  if (route === undefined || clock.now() < arrivedAt + requestTimeoutMs(route, callerRequest)) return accepted
  return fail('deadline', { stage: 'before the request began' })
}

/** Filters of a caller's request, in order, by the source of the configuration. The call sender then chooses targets and attempts the call. */
export const filters: Record<Dialect['configuredBy'], readonly Filter[]> = {
  templates: [checkPath, checkUrlForKeys, authenticate, findRoute, checkKey, checkIdempotencyKey, receiveBody, checkBodyForKeys, checkStop, checkDeadline, checkRate],
  deployment: [checkPath, findDeployedRoute, authenticateDeployed, checkKey, receiveBody, checkStop, checkDeadline, checkRate]
}
