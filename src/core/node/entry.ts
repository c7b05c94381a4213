import type { IncomingMessage, ServerResponse } from 'node:http'
import { randomId } from '../auth/index.ts'
import type { EffectiveParameters, EffectiveRoute } from '../config/index.ts'
import { invariant } from '../errors/index.ts'
import { fingerprintOf } from '../quarantine/index.ts'
import { createBudget } from '../retries/index.ts'
import type { Budget } from '../retries/index.ts'
import type { ReadBody } from './body.ts'
import { inProgressPriority, waitFraction } from './constants.ts'
import type { RequestEnd } from './decisions.ts'
import type { CallerRequest, Dialect } from './dialect.ts'
import { filters, isCallInProgress, requestTimeoutMs } from './filters.ts'
import type { Arrival, EntryContext } from './filters.ts'
import { hasCallFailed } from './own-failures.ts'
import { createResponseSink } from './sinks.ts'
import { calleeKey, createCancellation } from './types.ts'
import type { AttemptOutcome, Call, Sink } from './types.ts'

const defaultParameters: EffectiveParameters = { rate: 0, burst: 0, weight: 1, retryBudget: 2 }

function createArrival (request: IncomingMessage, callerRequest: CallerRequest, arrivedAt: number): Arrival {
  const path = request.url ?? '/'
  const queryStart = path.indexOf('?')
  return {
    request,
    arrivedAt,
    callerRequest,
    method: request.method ?? 'GET',
    path,
    pathname: queryStart < 0 ? path : path.slice(0, queryStart),
    identity: undefined,
    route: undefined,
    parameters: defaultParameters,
    rateCountedAt: undefined,
    idempotencyKey: undefined,
    body: undefined
  }
}

/** Creates the call of a request. `rank` is the priority of the caller's request to which it belongs, where it is a call in progress. */
function createCall (arrival: Arrival, { bytes, digest }: ReadBody, route: EffectiveRoute, rank: number | undefined, dialect: Dialect): Call {
  const { identity, parameters, method, path, idempotencyKey, request, callerRequest, arrivedAt } = arrival
  const workspace = route.open ? null : identity?.workspace ?? null
  const chain = randomId()
  const timeoutMs = requestTimeoutMs(route, callerRequest)
  const inProgress = rank !== undefined
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
      priority: inProgress ? inProgressPriority : route.priority,
      rank: rank ?? route.priority,
      weight: parameters.weight,
      idempotent: route.idempotent,
      needsClaim: !route.idempotent && !dialect.singleEntry,
      host: dialect.configuredBy === 'deployment' ? callerRequest.host : null,
      digest,
      fingerprint: fingerprintOf({ workspace: workspace ?? '', route: route.name, method, path, bodyDigest: digest }),
      suspect: false,
      resendable: idempotencyKey !== undefined,
      depth: 0,
      budget: parameters.retryBudget,
      remainingMs: timeoutMs,
      waitMs: route.objectiveMs === undefined || inProgress ? undefined : route.objectiveMs * waitFraction
    },
    method,
    path,
    headers: dialect.requestHeaders(request.rawHeaders, workspace),
    body: bytes,
    deadlineAt: arrivedAt + timeoutMs,
    cancellation: createCancellation()
  }
}

/** Refunds a request that did not run to the rate of its workspace. */
function refundRate ({ identity, rateCountedAt }: Arrival, { rates }: EntryContext): void {
  if (identity !== undefined && rateCountedAt !== undefined) rates.refundRequest(identity.workspace, rateCountedAt)
}

/** Sends a call of the node's own target, which knows then that the call is under way and how it ended. */
async function sendInProgress (call: Call, budget: Budget, sink: Sink, { callSender, gate, dependencies, ownFailures }: EntryContext): Promise<AttemptOutcome> {
  const recordEnd = gate.startCall()
  const recordOutcome = ownFailures?.startCall()
  let outcome: AttemptOutcome | undefined
  try {
    outcome = await callSender.send(call, budget, sink)
    return outcome
  } finally {
    recordEnd()
    recordOutcome?.(outcome)
    dependencies.recordCallEnd(calleeKey(call.context), hasCallFailed(outcome))
  }
}

/** Serves one request of a caller that was read at `arrivedAt`, and writes its answer or refusal. */
export async function serveCaller (request: IncomingMessage, response: ServerResponse, arrivedAt: number, context: EntryContext): Promise<void> {
  const { dialect, decisions } = context
  const parsed = dialect.read(request)
  if (!parsed.ok) {
    decisions.refuseArrival(createArrival(request, { host: '', key: undefined, timeLeftMs: undefined, fromTargetAddress: false }, arrivedAt), parsed)
    return dialect.writeRefusal(response, { failure: parsed, run: 'not-run', retryAfterMs: 0 })
  }
  const arrival = createArrival(request, parsed.value, arrivedAt)
  try {
    await serveArrival(arrival, response, context)
  } finally {
    arrival.body?.release()
  }
}

async function serveArrival (arrival: Arrival, response: ServerResponse, context: EntryContext): Promise<void> {
  const { arrivedAt } = arrival
  const { dialect, decisions, environment: { clock, metrics } } = context
  for (const filter of filters[dialect.configuredBy]) {
    const pending = filter(arrival, context)
    const checked = pending instanceof Promise ? await pending : pending
    if (checked.ok) continue
    metrics.count(`refused_total{code="${checked.name}"}`)
    if (isCallInProgress(arrival, context)) context.ownFailures?.refuseCall()
    const asked = context.refusals.askArrival(arrival, checked)
    decisions.refuseArrival(arrival, checked, asked)
    return context.refusals.refuseArrival(response, checked, arrival, asked)
  }
  invariant(arrival.route !== undefined && arrival.body !== undefined, 'the filters passed a request without a route or a body')
  const inProgress = isCallInProgress(arrival, context)
  const rank = inProgress ? context.estimateRank(arrival.route) : undefined
  const call = createCall(arrival, arrival.body, arrival.route, rank, dialect)
  if (!inProgress) Object.assign(call, context.refusals.recordArrival(call.context))
  if (inProgress) context.dependencies.recordCall(calleeKey(call.context))
  if (response.destroyed) call.cancellation.cancel()
  const ended: { end?: RequestEnd } = {}
  const sink = createResponseSink(response)
  response.once('close', () => {
    if (response.writableFinished && sink.started()) return
    call.cancellation.cancel()
    if (!response.writableFinished && ended.end !== undefined) decisions.recordUndelivered(call, ended.end)
  })
  if (!context.recordBegun(response)) return refundRate(arrival, context)
  const budget = createBudget(call.context.budget)
  const outcome = inProgress ? await sendInProgress(call, budget, sink, context) : await context.callSender.send(call, budget, sink)
  if (outcome.type === 'refused') refundRate(arrival, context)
  metrics.time('call', clock.now() - arrivedAt)
  metrics.count(`calls_total{outcome="${outcome.type}"}`)
  metrics.count('extra_attempts_total', budget.used)
  const askedReturn = context.refusals.askCaller(call, outcome)
  ended.end = { outcome, extraAttempts: budget.used, startedAt: arrivedAt, askedReturn }
  decisions.endRequest(call, ended.end)
  await context.refusals.refuseUnlessAnswered(response, call, outcome, askedReturn)
}
