import type { ServerResponse } from 'node:http'
import { runHeader } from './constants.ts'
import type { Failure } from '../errors/index.ts'
import type { AttemptOutcome, Report, Sink } from './types.ts'

/**
 * Aborts an answer in a way that its caller detects as incomplete. Callers of HTTP/1.0 know no chunks, so that the end of the connection may be
 * the only end of their answer: it is reset.
 */
export function abortResponse (response: ServerResponse): void {
  if (!response.useChunkedEncodingByDefault) response.socket?.resetAndDestroy()
  response.destroy()
}

/** Creates a sink that writes an answer to the response of a caller. An answer that comes after the request was refused is dropped. */
export function createResponseSink (response: ServerResponse): Sink {
  let started = false
  return {
    started: () => started,
    head (status, headers) {
      if (response.headersSent) return
      started = true
      response.writeHead(status, headers)
    },
    write: (chunk) => !started || response.destroyed || response.write(chunk),
    onDrain (listener) {
      const endWait = () => {
        response.off('drain', endWait)
        response.off('close', endWait)
        listener()
      }
      response.on('drain', endWait)
      response.on('close', endWait)
    },
    end: () => void (started && response.end()),
    abort: () => started && abortResponse(response)
  }
}

/** A sink that holds an answer back. */
export interface HeldSink extends Sink {
  /** Passes on what is held, and everything that follows at once. */
  release: () => void
}

/** Creates a sink that holds an answer back until it is released or exceeds `maxBytes`. */
export function createHeldSink (sink: Sink, maxBytes: number): HeldSink {
  let held: Array<() => void> | undefined = []
  let heldBytes = 0
  const release = () => {
    const steps = held ?? []
    held = undefined
    for (const pass of steps) pass()
  }
  const hold = (pass: () => void) => {
    if (held === undefined) pass()
    else held.push(pass)
  }
  return {
    started: () => sink.started(),
    head: (status, headers, report) => hold(() => sink.head(status, headers, report)),
    write (chunk) {
      heldBytes += chunk.length
      if (heldBytes > maxBytes) release()
      if (held === undefined) return sink.write(chunk)
      held.push(() => void sink.write(chunk))
      return true
    },
    onDrain: (listener) => sink.onDrain(listener),
    end: () => hold(() => sink.end()),
    abort: () => sink.abort(),
    release
  }
}

const retryAfterStatuses = new Set([429, 503])

/** Answers a caller with a failure. The run header states whether the request may have run. */
export function writeFailure (response: ServerResponse, failure: Failure, run: string, retryAfterMs = 1000): void {
  const body = JSON.stringify({ error: failure.name, message: failure.message, hint: failure.hint, run })
  const headers: Record<string, string> = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), [runHeader]: run }
  if (retryAfterStatuses.has(failure.status)) headers['retry-after'] = String(Math.max(1, Math.round(retryAfterMs / 1000)))
  response.writeHead(failure.status, headers).end(body)
}

/** Outcome of a call without an answer, as sent between nodes. */
export interface Unanswered {
  type: 'refused' | 'failed'
  failure: Failure
  elsewhere: boolean
  arrived: boolean
  crashed: boolean
  report: Report
}

/** Returns the message for the calling node about a call without an answer. */
export function unansweredOf (outcome: Extract<AttemptOutcome, { type: 'refused' | 'failed' }>): Unanswered {
  return {
    type: outcome.type,
    failure: outcome.failure,
    elsewhere: outcome.type === 'refused' && outcome.elsewhere,
    arrived: outcome.type === 'refused' && outcome.arrived,
    crashed: outcome.type === 'failed' && outcome.crashed,
    report: outcome.report
  }
}
