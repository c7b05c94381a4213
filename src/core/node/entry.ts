import type { IncomingMessage, ServerResponse } from 'node:http'
import { digest, randomId } from '../auth/index.ts'
import type { EffectiveParameters, EffectiveRoute } from '../config/index.ts'
import { invariant } from '../errors/index.ts'
import { fingerprintOf } from '../quarantine/index.ts'
import { createBudget } from '../retries/index.ts'
import { begunPriority, waitPart } from './constants.ts'
import type { CallerRequest, Dialect } from './dialect.ts'
import { filters } from './filters.ts'
import type { Arrival, EntryContext } from './filters.ts'
import { isBegun } from './origin.ts'
import { createResponseSink } from './sinks.ts'
import { calleeOf, createCancellation, reasonOf, requestIdOf } from './types.ts'
import type { Attempted, Call } from './types.ts'

const openParameters: EffectiveParameters = { rate: 0, burst: 0, weight: 1, retryBudget: 2 }

function createArrival (request: IncomingMessage, said: CallerRequest): Arrival {
  const path = request.url ?? '/'
  const end = path.indexOf('?')
  return {
    request,
    said,
    method: request.method ?? 'GET',
    path,
    pathname: end < 0 ? path : path.slice(0, end),
    identity: undefined,
    route: undefined,
    parameters: openParameters,
    rateTakenAt: undefined,
    idempotencyKey: undefined,
    body: Buffer.alloc(0)
  }
}

/** Digest of what makes two requests the same. */
export function requestDigest (method: string, path: string, body: Buffer): string {
  return digest(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]))
}

function createCall (arrival: Arrival, route: EffectiveRoute, begun: boolean, dialect: Dialect, now: number): Call {
  const { identity, parameters, method, path, body, idempotencyKey, request, said } = arrival
  const workspace = route.open ? null : identity?.workspace ?? null
  const chain = randomId()
  const bodyDigest = requestDigest(method, path, body)
  const timeoutMs = Math.min(route.timeoutMs, said.timeLeftMs ?? Infinity)
  return {
    context: {
      attempt: chain,
      chain,
      lineage: idempotencyKey === undefined ? chain : `key:${idempotencyKey}`,
      workspace,
      keyId: workspace === null ? null : identity?.keyId ?? null,
      template: route.template,
      route: route.name,
      service: route.service,
      priority: begun ? begunPriority : route.priority,
      weight: parameters.weight,
      idempotent: route.idempotent,
      needsClaim: !route.idempotent && !dialect.singleEntry,
      host: dialect.configuredBy === 'deployment' ? said.host : null,
      digest: bodyDigest,
      fingerprint: fingerprintOf({ workspace: workspace ?? '', route: route.name, method, path, bodyDigest }),
      suspect: false,
      resendable: idempotencyKey !== undefined,
      depth: 0,
      budget: parameters.retryBudget,
      remainingMs: timeoutMs,
      waitMs: route.objectiveMs === undefined || begun ? undefined : route.objectiveMs * waitPart
    },
    method,
    path,
    headers: dialect.requestHeaders(request.rawHeaders, workspace),
    body,
    deadlineAt: now + timeoutMs,
    cancellation: createCancellation()
  }
}

/** A request that did not run does not count against its workspace's rate. */
function giveBackRate ({ identity, rateTakenAt }: Arrival, { rates }: EntryContext): void {
  if (identity !== undefined && rateTakenAt !== undefined) rates.giveBack(identity.workspace, rateTakenAt)
}

/** Serves one request of a caller. */
export async function serveCaller (request: IncomingMessage, response: ServerResponse, context: EntryContext): Promise<void> {
  const { dialect, environment: { clock, metrics } } = context
  const arrivedAt = clock.now()
  const said = dialect.read(request)
  if (!said.ok) return dialect.writeRefusal(response, { failure: said, run: 'not-run', retryAfterMs: 0 })
  const arrival = createArrival(request, said.value)
  for (const filter of filters[dialect.configuredBy]) {
    const pending = filter(arrival, context)
    const outcome = pending instanceof Promise ? await pending : pending
    if (outcome.ok) continue
    metrics.count(`refused_total{code="${outcome.name}"}`)
    context.requests.write({
      kind: 'request refused at the entry',
      id: idOf(request, dialect),
      route: arrival.route?.name ?? '',
      reason: outcome.message,
      revision: context.peers.configuration().revision,
      tookMs: Math.round(clock.now() - arrivedAt)
    })
    return context.refusals.refuseArrival(response, outcome, arrival)
  }
  invariant(arrival.route !== undefined, 'the filters found no route')
  const begun = isBegun({
    fromTargetAddress: said.value.fromTargetAddress,
    hasKey: said.value.key !== undefined,
    isOpen: arrival.route.open,
    callersHaveKeys: context.directory.callersHaveKeys()
  })
  const call = createCall(arrival, arrival.route, begun, dialect, arrivedAt)
  call.returning = !begun && context.refusals.isReturning(call.context.fingerprint)
  if (begun) context.dependencies.called(calleeOf(call.context))
  if (response.destroyed) call.cancellation.cancel()
  response.once('close', () => {
    if (!response.writableFinished) call.cancellation.cancel()
  })
  const budget = createBudget(call.context.budget)
  const attempted = await context.caller.call(call, budget, createResponseSink(response))
  if (attempted.type === 'refused') giveBackRate(arrival, context)
  metrics.time('call', clock.now() - arrivedAt)
  metrics.count(`calls_total{outcome="${attempted.type}"}`)
  metrics.count('extra_attempts_total', budget.used)
  logEnd(call, attempted, { begun, attempts: 1 + budget.used, startedAt: arrivedAt }, context)
  await context.refusals.conclude(response, call, attempted)
}

/** The caller's id of a request, or an empty text. */
function idOf (request: IncomingMessage, dialect: Dialect): string {
  return String(request.headers[dialect.requestIdHeader] ?? '')
}

/** Writes how a request ended: all that got no whole answer or an error of a target, and a few of the others. */
function logEnd (call: Call, attempted: Attempted, facts: { begun: boolean, attempts: number, startedAt: number }, { requests, dialect, environment: { clock } }: EntryContext): void {
  const status = attempted.type === 'answered' ? attempted.status : undefined
  if (status !== undefined && status < 500 && !requests.samples()) return
  const { route, service, workspace, priority } = call.context
  const now = clock.now()
  requests.write({
    kind: 'request ended',
    id: requestIdOf(call, dialect),
    route,
    service,
    workspace,
    priority,
    begun: facts.begun,
    outcome: attempted.type,
    reason: reasonOf(attempted),
    status,
    attempts: facts.attempts,
    tookMs: Math.round(now - facts.startedAt),
    leftMs: Math.round(call.deadlineAt - now)
  })
}
