import type { IncomingMessage, ServerResponse } from 'node:http'
import { randomId } from '../auth/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { fingerprintOf } from '../quarantine/index.ts'
import type { CallSender } from './attempts.ts'
import { readBody } from './body.ts'
import type { ReadBody } from './body.ts'
import type { BodyBudget } from './body-budget.ts'
import { contextHeader, maxBodyBytes, maxDepth, waitFraction } from './constants.ts'
import type { Decisions } from './decisions.ts'
import type { Dependencies } from './dependencies.ts'
import type { Dialect } from './dialect.ts'
import type { Gate } from './gate.ts'
import { headerOf } from './headers.ts'
import type { Directory } from './identity.ts'
import type { Refusals } from './refusals.ts'
import type { KeyCheck } from './key-check.ts'
import { hasCallFailed } from './own-failures.ts'
import { createResponseSink, writeFailure } from './sinks.ts'
import { recordOutgoingStart, countOccurrence, recordOutgoingEnd } from './spans.ts'
import type { Span, Spans } from './spans.ts'
import type { StoppingRequest } from './stop.ts'
import { calleeKey, createCancellation } from './types.ts'
import type { Call } from './types.ts'

/** Services and state that the outgoing calls of the node's own target use. */
export interface OutgoingContext {
  findKeyFailure: KeyCheck
  dialect: Dialect
  peers: Peers
  directory: Directory
  spans: Spans
  callSender: CallSender
  dependencies: Dependencies
  refusals: Refusals
  /** Gate of the node's own target, which learns of the requests that wait for calls. */
  gate: Pick<Gate, 'callStarted' | 'callEnded'>
  bodyBudget: BodyBudget
  /** Returns false for a call that this node no longer begins because it stops. */
  mayBegin: (call: StoppingRequest) => boolean
  /** Records that a call was passed on and may run from now on. Returns false for one that has been answered meanwhile. */
  recordBegun: (response: ServerResponse) => boolean
  decisions: Decisions
  environment: Environment
}

/** Creates an outgoing call within the limits of the context of the request that makes it. Returns a failure if the call may not run. */
function createOutgoingCall (request: IncomingMessage, span: Span, { bytes, digest: bodyDigest }: ReadBody, context: OutgoingContext): Call | Failure {
  const { directory, environment } = context
  const parent = span.context
  const now = environment.clock.now()
  const method = request.method ?? 'GET'
  const path = request.url ?? '/'
  const pathname = path.split('?', 1)[0]
  const keyFailure = context.findKeyFailure(parent)
  if (keyFailure !== undefined) return keyFailure
  if (span.cancellation.cancelled) return fail('deadline', { stage: 'before the outgoing call' })
  if (parent.depth + 1 > maxDepth) return fail('badRequest', { reason: `the chain is deeper than ${maxDepth} calls` })
  const routes = directory.routes()
  const route = parent.workspace === null ? routes.findOpen(method, pathname) : routes.find(parent.workspace, method, pathname) ?? routes.findOpen(method, pathname)
  if (route === undefined) return fail('unknownRoute', { method, path: pathname })
  const deadlineAt = Math.min(span.deadlineAt, now + route.timeoutMs)
  const longestMs = context.callSender.longestMs({ service: route.service, route: route.name })
  if (!context.mayBegin({ source: 'caller', timeoutMs: deadlineAt - now, longestMs })) return fail('leaving')
  const headers = context.dialect.requestHeaders(request.rawHeaders, parent.workspace)
  const idempotencyKey = headerOf(headers, 'idempotency-key')
  const occurrence = countOccurrence(span, `${route.name}/${bodyDigest}`)
  return {
    context: {
      attempt: randomId(),
      chain: parent.chain,
      lineage: idempotencyKey === undefined ? `${parent.lineage}/${route.name}/${bodyDigest.slice(0, 16)}#${occurrence}` : `key:${idempotencyKey}`,
      workspace: parent.workspace,
      keyId: parent.keyId,
      template: route.template,
      route: route.name,
      service: route.service,
      priority: parent.priority,
      rank: parent.rank,
      weight: parent.weight,
      idempotent: route.idempotent,
      needsClaim: !route.idempotent,
      host: null,
      digest: bodyDigest,
      fingerprint: fingerprintOf({ workspace: parent.workspace ?? '', route: route.name, method, path, bodyDigest }),
      suspect: false,
      resendable: idempotencyKey !== undefined || parent.resendable,
      depth: parent.depth + 1,
      budget: 0,
      remainingMs: deadlineAt - now
    },
    method,
    path,
    headers,
    body: bytes,
    deadlineAt,
    cancellation: createCancellation()
  }
}

/** Serves an outgoing call that the node's own target makes for a request that it is running. */
export async function serveOutgoing (request: IncomingMessage, response: ServerResponse, context: OutgoingContext): Promise<void> {
  const { clock, metrics } = context.environment
  const startedAt = clock.now()
  const span = context.spans.find(String(request.headers[contextHeader]))
  const refuse = (failure: Failure) => {
    if (span !== undefined) span.hasFailedCall = true
    context.decisions.refuseOutgoing(request, span?.context, failure)
    writeFailure(response, failure, 'not-run')
  }
  if (span === undefined) return refuse(fail('badRequest', { reason: `${contextHeader} names no request that runs here` }))
  const timeLeftMs = () => span.deadlineAt - clock.now()
  const body = await readBody(request, { maxBytes: maxBodyBytes, budget: context.bodyBudget, waitMs: waitFraction * timeLeftMs(), timeLeftMs })
  if (!body.ok) return refuse(body)
  response.once('close', body.value.release)
  const outgoingCall = createOutgoingCall(request, span, body.value, context)
  if ('ok' in outgoingCall) return refuse(outgoingCall)
  if (!context.recordBegun(response)) return
  const stopListening = span.cancellation.listen(() => outgoingCall.cancellation.cancel())
  const sink = createResponseSink(response)
  response.once('close', () => {
    if (!response.writableFinished || !sink.started()) outgoingCall.cancellation.cancel()
  })
  context.dependencies.recordCall(calleeKey(outgoingCall.context))
  recordOutgoingStart(span, clock.now())
  if (span.outgoingRunning === 1) context.gate.callStarted()
  const outcome = await context.callSender.send(outgoingCall, span.budget, sink).finally(() => {
    recordOutgoingEnd(span, clock.now())
    if (span.outgoingRunning === 0) context.gate.callEnded()
  })
  stopListening()
  if (outcome.report.shed) span.shed = true
  if (hasCallFailed(outcome)) span.hasFailedCall = true
  context.dependencies.recordCallEnd(calleeKey(outgoingCall.context), hasCallFailed(outcome))
  const askedReturn = context.refusals.askCaller(outgoingCall, outcome)
  context.decisions.endRequest(outgoingCall, { outcome, extraAttempts: 0, startedAt, askedReturn })
  metrics.count(`outgoing_total{outcome="${outcome.type}"}`)
  await context.refusals.refuseUnlessAnswered(response, outgoingCall, outcome, askedReturn)
}
