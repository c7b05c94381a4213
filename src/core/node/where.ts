import type { EffectiveParameters, EffectiveRoute } from '../config/index.ts'
import { normalizeHost } from '../deployment/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Failure, Outcome } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import type { RateClient } from '../rate/client.ts'
import type { ShareOf } from '../returns/index.ts'
import { explain } from '../where/index.ts'
import type { Explanation, Question, RateView, ServiceView } from '../where/index.ts'
import type { CallSender } from './attempts.ts'
import { ownPathPrefix } from './constants.ts'
import type { Dialect } from './dialect.ts'
import { containsKey } from './headers.ts'
import type { Directory, Identity } from './identity.ts'
import type { KeyCheck } from './key-check.ts'
import type { StoppingRequest } from './stop.ts'
import { calleeKey } from './types.ts'

/** Services and state of a node that its explanations read. */
export interface WhereContext {
  dialect: Pick<Dialect, 'configuredBy'>
  peers: Pick<Peers, 'self' | 'configuration'>
  directory: Directory
  rates: Pick<RateClient, 'peek'>
  callSender: Pick<CallSender, 'inspect' | 'longestMs'>
  shareOf: ShareOf
  findKeyFailure: KeyCheck
  mayBegin: (request: StoppingRequest) => boolean
  environment: Pick<Environment, 'clock'>
}

/** Explains where a request would go from this node. `key` is the key of its caller in clear text. */
export type Where = (question: Question, key: string | undefined) => Outcome<Explanation>

/** A route with one of the services that it leads to. */
interface Destination {
  route: EffectiveRoute
  /** Part of the route's requests, 0 to 1. */
  weight: number
}

/** Caller of a request; `keyId` is missing where the operator named the workspace. */
interface Caller {
  workspace: string
  keyId?: string
}

/** A request for which a route was found. */
interface Found {
  destinations: Destination[]
  caller: Caller | undefined
}

function findCaller ({ workspace }: Question, key: string | undefined, identify: (key: string) => Identity | undefined, isKnown: (workspace: string) => boolean): Outcome<Caller | undefined> {
  if (key !== undefined && workspace !== undefined) return fail('badRequest', { reason: 'give a key or a workspace, not both' })
  if (workspace !== undefined) return isKnown(workspace) ? succeed({ workspace }) : fail('notFound', { item: `workspace ${workspace}` })
  if (key === undefined) return succeed(undefined)
  const identity = identify(key)
  return identity === undefined ? fail('unauthorized', { reason: 'the key is unknown or was withdrawn' }) : succeed(identity)
}

function findInTemplates (question: Question, pathname: string, key: string | undefined, directory: Directory): Outcome<Found> {
  const { method } = question
  const found = findCaller(question, key, directory.identify, (workspace) => directory.parametersOf(workspace) !== undefined)
  if (!found.ok) return found
  const caller = found.value
  const routes = directory.routes()
  const route = (caller && routes.find(caller.workspace, method, pathname)) ?? routes.findOpen(method, pathname)
  if (route !== undefined) return succeed({ destinations: [{ route, weight: 1 }], caller: route.open ? undefined : caller })
  return caller === undefined ? fail('unauthorized', { reason: 'this route needs a key' }) : fail('unknownRoute', { method, path: pathname })
}

function findInDeployment (question: Question, pathname: string, key: string | undefined, directory: Directory): Outcome<Found> {
  const table = directory.deployment()
  if (table === undefined) return fail('noDeployment')
  const route = table.findRoute(normalizeHost(question.host), pathname)
  if (route === undefined) return fail('unknownRoute', { method: question.method, path: pathname })
  const found = route.open ? succeed(undefined) : findCaller(question, key, directory.identifyDeployed, (workspace) => table.findWorkspace(workspace) !== undefined)
  if (!found.ok) return found
  const caller = found.value
  if (!route.open && caller === undefined) return fail('unauthorized', { reason: 'this route needs a key' })
  const { name, idempotent, open, timeoutMs, objectiveMs } = route
  const priority = (caller && table.findWorkspace(caller.workspace)?.priority) ?? route.priority
  const sum = route.destinations.reduce((total, { weight }) => total + weight, 0)
  const destinations = route.destinations.map(({ service, weight }) => (
    { route: { template: '', name, service, priority, idempotent, open, timeoutMs, objectiveMs }, weight: sum === 0 ? 1 / route.destinations.length : weight / sum }
  ))
  return succeed({ destinations: destinations.filter(({ weight }) => weight > 0), caller })
}

/** Creates the explanations of a node. They send nothing, count nothing and draw from no random source that others use. */
export function createWhere ({ dialect, peers, directory, rates, callSender, shareOf, findKeyFailure, mayBegin, environment: { clock } }: WhereContext): Where {
  const findRoute = dialect.configuredBy === 'deployment' ? findInDeployment : findInTemplates
  const rateOf = (workspace: string): RateView | null => {
    const limit: Pick<EffectiveParameters, 'rate' | 'burst'> | undefined = directory.limitOf(workspace)
    return limit === undefined || !directory.isLimited(workspace) ? null : { limit, held: rates.peek(workspace) ?? null }
  }
  /** Returns what refuses every request of a caller. A workspace that the operator named has no key that could be withdrawn. */
  const failuresOf = ({ route }: Destination, caller: Caller | undefined): Failure[] => {
    const failures: Failure[] = []
    const keyFailure = caller && findKeyFailure({ workspace: caller.workspace, keyId: caller.keyId ?? null })
    if (keyFailure !== undefined && (caller?.keyId !== undefined || keyFailure.code === 'stale')) failures.push(keyFailure)
    if (!mayBegin({ source: 'caller', timeoutMs: route.timeoutMs, longestMs: callSender.longestMs({ service: route.service, route: route.name }) })) failures.push(fail('leaving'))
    return failures
  }
  const viewService = ({ route, weight }: Destination, workspace: string | null): ServiceView => {
    const { template, name, service, priority } = route
    const now = clock.now()
    const inspected = callSender.inspect({ template, route: name, service, workspace, priority }, now + route.timeoutMs)
    return { ...inspected, service, weight, share: shareOf(calleeKey({ service, route: name }), priority, now) }
  }
  return (question, key) => {
    const { method, path } = question
    const pathname = path.split('?', 1)[0]
    if (containsKey(path)) return fail('badRequest', { reason: 'a key does not belong in the path' })
    if (path.startsWith(ownPathPrefix)) return fail('unknownRoute', { method, path: pathname })
    const found = findRoute(question, pathname, key, directory)
    if (!found.ok) return found
    const { destinations, caller } = found.value
    const [first] = destinations
    const { name, template, priority, idempotent, open, timeoutMs, objectiveMs } = first.route
    const workspace = caller?.workspace ?? null
    const { id, domain } = peers.self()
    return succeed(explain({
      node: id,
      domain,
      revision: peers.configuration().revision,
      route: { name, template, rank: priority, idempotent, open, timeoutMs, objectiveMs: objectiveMs ?? null },
      workspace,
      rate: workspace === null ? null : rateOf(workspace),
      services: destinations.map((destination) => viewService(destination, workspace)),
      failures: failuresOf(first, caller)
    }))
  }
}
