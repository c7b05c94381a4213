import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { succeed } from '../errors/index.ts'
import type { Failure, Outcome } from '../errors/index.ts'
import { contextHeader, ownHeaderPrefix } from './constants.ts'
import { answerHeaders, headerOf, isCredential, requestHeaders } from './headers.ts'
import { writeFailure } from './sinks.ts'
import type { Call } from './types.ts'

/** Values that a protocol adapter reads from a caller's request. */
export interface CallerRequest {
  /** Host header; ignored by routes of templates. */
  host: string
  /** Key in clear text, if the request has one. */
  key: string | undefined
  /** Time that the caller waits, in ms. */
  timeLeftMs: number | undefined
  /** The request comes from the address of the node's own target, which callers on the same machine share. */
  fromTargetAddress: boolean
}

/** Values for the headers that a target gets in addition to those of the caller. */
export interface TargetRequestInfo {
  /** Identifies the request to which the target's outgoing calls belong. */
  token: string
  /** Id of the target's current process, if targets identify their processes. */
  instance: string | undefined
  /** Time left for the request, in ms. */
  remainingMs: number
}

/** Failure sent to a caller in place of a target's answer. */
export interface Refusal {
  failure: Failure
  /** Whether the request ran: "not-run", or "unknown". */
  run: string
  /** Time after which the caller may retry, in ms. */
  retryAfterMs: number
}

/** Protocol adapter for the callers and targets of one interface. It translates requests and answers; the node makes all decisions. */
export interface Dialect {
  /** Whether routes, workspaces and keys come from templates or from a deployment. */
  configuredBy: 'templates' | 'deployment'
  /** Each request enters at one node only and is never retried under the same id, so it needs no claim. */
  singleEntry: boolean
  /** Header, in lower case, in which an answer repeats the id of its request. */
  requestIdHeader: string
  /** Targets repeat that id in every answer; an answer without it is rejected. */
  alwaysRepeatsId: boolean
  /** Answers may end by the close of their connection. */
  acceptsUnframed: boolean
  /** Reads a caller's request. */
  read: (request: IncomingMessage) => Outcome<CallerRequest>
  /** Returns the caller's headers that are passed to the target, with those that identify the caller. */
  requestHeaders: (rawHeaders: readonly string[], workspace: string | null) => string[]
  /** Returns all headers for the target. */
  targetHeaders: (call: Call, info: TargetRequestInfo) => string[]
  /** Returns the headers of a target's answer that are passed back to the caller. */
  answerHeaders: (headers: IncomingHttpHeaders) => string[]
  /** Returns true for an answer which states that the target did not run the request. It must repeat the request's id and have an error status. */
  reportsNotRun: (status: number, headers: IncomingHttpHeaders) => boolean
  writeRefusal: (response: ServerResponse, refusal: Refusal) => void
}

function isInternalHeader (name: string): boolean {
  return name.startsWith(ownHeaderPrefix)
}

/** Protocol adapter for the interface that the project documents for callers and targets. */
export const defaultDialect: Dialect = {
  configuredBy: 'templates',
  singleEntry: false,
  requestIdHeader: 'x-request-id',
  alwaysRepeatsId: false,
  acceptsUnframed: false,
  read: (request) => succeed({ host: request.headers.host ?? '', key: undefined, timeLeftMs: undefined, fromTargetAddress: false }),
  requestHeaders: (rawHeaders) => requestHeaders(rawHeaders, (name, value) => isInternalHeader(name) || isCredential(name, value)),
  targetHeaders ({ headers, context }, { token }) {
    const id = headerOf(headers, 'x-request-id') === undefined ? ['x-request-id', context.attempt] : []
    return [...headers, ...id, contextHeader, token]
  },
  answerHeaders: (headers) => answerHeaders(headers, isInternalHeader),
  reportsNotRun: () => false,
  writeRefusal: (response, { failure, run, retryAfterMs }) => writeFailure(response, failure, run, retryAfterMs)
}
