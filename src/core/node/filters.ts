import type { IncomingMessage } from 'node:http'
import type { EffectiveParameters, EffectiveRoute } from '../config/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import type { RequestLog } from '../log/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import type { RateClient } from '../rate/client.ts'
import type { Caller } from './attempts.ts'
import { readBody } from './body.ts'
import { maxBodyBytes, ownPathPrefix } from './constants.ts'
import type { Dependencies } from './dependencies.ts'
import type { CallerRequest, Dialect } from './dialect.ts'
import { holdsKey } from './headers.ts'
import type { Directory, Identity } from './identity.ts'
import type { Refusals } from './refusals.ts'
import type { KeyCheck } from './key-check.ts'

const maxIdempotencyKeyLength = 256

/** A caller's request on its way through the filters. */
export interface Arrival {
  request: IncomingMessage
  said: CallerRequest
  method: string
  path: string
  pathname: string
  identity: Identity | undefined
  /** Missing until the route was found. */
  route: EffectiveRoute | undefined
  parameters: EffectiveParameters
  /** When the request was counted against the rate of its workspace; missing when it was not. */
  rateTakenAt: number | undefined
  idempotencyKey: string | undefined
  body: Buffer
}

/** What the filters work with. */
export interface EntryContext {
  dialect: Dialect
  peers: Peers
  directory: Directory
  rates: RateClient
  caller: Caller
  dependencies: Dependencies
  refusals: Refusals
  keyProblem: KeyCheck
  requests: RequestLog
  environment: Environment
}

/** One step of the way in. Adds to the arrival or refuses it. */
export type Filter = (arrival: Arrival, context: EntryContext) => Outcome<null> | Promise<Outcome<null>>

const passed = succeed(null)

function screen (arrival: Arrival): Outcome<null> {
  const { path, request } = arrival
  if (!path.startsWith('/') || path.startsWith(ownPathPrefix)) return fail('unknownRoute', { method: arrival.method, path: arrival.pathname })
  if (request.headers.upgrade !== undefined) return fail('badRequest', { reason: 'upgrades are not served' })
  return passed
}

function screenKeys ({ path }: Arrival): Outcome<null> {
  if (holdsKey(path)) return fail('badRequest', { reason: 'a key may be sent in the Authorization header only, not in the URL' })
  return passed
}

function authenticate (arrival: Arrival, { directory, keyProblem }: EntryContext): Outcome<null> {
  const { authorization } = arrival.request.headers
  if (authorization === undefined) return passed
  const key = /^Bearer +(\S+)$/i.exec(authorization)?.[1]
  if (key === undefined) return fail('unauthorized', { reason: 'the Authorization header is not of the form "Bearer KEY"' })
  arrival.identity = directory.identify(key)
  if (arrival.identity !== undefined) return passed
  const stale = keyProblem({ workspace: '', keyId: null })
  return stale?.code === 'stale' ? stale : fail('unauthorized', { reason: 'the key is unknown or was withdrawn' })
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
  return passed
}

function findDeployedRoute (arrival: Arrival, { directory }: EntryContext): Outcome<null> {
  const { method, pathname, said } = arrival
  if (directory.deployment() === undefined) return fail('noDeployment')
  const route = directory.findDeployed(said.host, pathname)
  if (route === undefined) return fail('unknownRoute', { method, path: pathname })
  arrival.route = route
  arrival.parameters = { ...arrival.parameters, retryBudget: (route.maxAttempts ?? 1) - 1 }
  return passed
}

function authenticateOwner (arrival: Arrival, { directory }: EntryContext): Outcome<null> {
  const { route, said } = arrival
  if (route === undefined || route.open) return passed
  if (said.key === undefined) return fail('unauthorized', { reason: 'this route needs a key' })
  arrival.identity = directory.identifyDeployed(said.key)
  if (arrival.identity === undefined) return fail('unauthorized', { reason: 'the key is unknown or was withdrawn' })
  const priority = directory.deployment()?.findWorkspace(arrival.identity.workspace)?.priority
  if (priority !== undefined) arrival.route = { ...route, priority }
  return passed
}

function checkKey ({ identity, route }: Arrival, { keyProblem }: EntryContext): Outcome<null> {
  if (identity === undefined || route?.open === true) return passed
  return keyProblem({ workspace: identity.workspace, keyId: identity.keyId }) ?? passed
}

function checkIdempotencyKey (arrival: Arrival): Outcome<null> {
  const key = arrival.request.headers['idempotency-key']?.toString()
  arrival.idempotencyKey = key
  if (key === undefined) return passed
  const valid = key.length > 0 && key.length <= maxIdempotencyKeyLength
  return valid ? passed : fail('badRequest', { reason: `an Idempotency-Key has 1 to ${maxIdempotencyKeyLength} characters` })
}

async function checkRate (arrival: Arrival, { rates, directory, environment }: EntryContext): Promise<Outcome<null>> {
  const { identity, route } = arrival
  if (identity === undefined || route?.open === true || !directory.isLimited(identity.workspace)) return passed
  const admitted = rates.admit(identity.workspace)
  if (admitted !== true && !await admitted) return fail('overRate', { workspace: identity.workspace })
  arrival.rateTakenAt = environment.clock.now()
  return passed
}

async function receiveBody (arrival: Arrival, { directory, dialect }: EntryContext): Promise<Outcome<null>> {
  const deployed = dialect.configuredBy === 'deployment' ? directory.deployment()?.deployment.limits.bodyBytes : undefined
  const reading = readBody(arrival.request, deployed ?? maxBodyBytes)
  const body = reading instanceof Promise ? await reading : reading
  if (!body.ok) return body
  arrival.body = body.value
  return passed
}

function screenBody ({ body }: Arrival): Outcome<null> {
  if (body.length > 0 && holdsKey(body.toString('latin1'))) {
    return fail('badRequest', { reason: 'a key may be sent in the Authorization header only, not in the body' })
  }
  return passed
}

/** The way of a caller's request, in order. The caller part then claims, chooses and attempts. */
export const filters: Record<Dialect['configuredBy'], readonly Filter[]> = {
  templates: [screen, screenKeys, authenticate, findRoute, checkKey, checkIdempotencyKey, receiveBody, screenBody, checkRate],
  deployment: [screen, findDeployedRoute, authenticateOwner, checkKey, receiveBody, checkRate]
}
