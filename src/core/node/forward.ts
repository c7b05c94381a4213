import { Agent } from 'undici'
import { fail } from '../errors/index.ts'
import { createConnector } from '../http/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { outcomeHeader, reportHeader } from './constants.ts'
import { signedText } from './context.ts'
import { sendExchange } from './exchange.ts'
import type { ExchangeError } from './exchange.ts'
import { answerHeaders, peerHeaders } from './headers.ts'
import type { Unanswered } from './sinks.ts'
import { createCancellation, emptyReport } from './types.ts'
import type { Attempted, Call, Cancellation, Report, Sink } from './types.ts'

/** Headers that a node adds to the answers that it passes back to another. */
const isPeerHeader = (name: string) => name === outcomeHeader || name === reportHeader

const marginMs = 50
const connectTimeoutMs = 500
const connectionsPerPeer = 256

/** Passes calls on to the nodes beside other targets. */
export interface Forwarder {
  /** Gives up the idempotent calls that wait for an answer of a node that is suspected, so that they may be tried elsewhere. */
  abandon: (address: string) => void
  forward: (address: string, call: Call, lent: number, sink: Sink) => Promise<Attempted>
  close: () => Promise<void>
}

function parseReport (text: unknown): Report {
  try {
    return JSON.parse(String(text)) as Report
  } catch {
    return emptyReport
  }
}

function parseUnanswered (body: Buffer): Unanswered | undefined {
  try {
    return JSON.parse(body.toString('utf8')) as Unanswered
  } catch {
    return undefined
  }
}

function fromError (error: ExchangeError, call: Call): Attempted {
  if (!error.written) {
    return { type: 'refused', failure: fail('noTarget', { service: call.context.service }), elsewhere: true, arrived: false, report: emptyReport }
  }
  const failure = error.cause === 'timeout' ? fail('unknownOutcome', { reason: 'no answer in time' }) : fail('unknownOutcome', { reason: error.reason })
  return { type: 'failed', failure, crashed: false, report: { ...emptyReport, used: call.context.budget } }
}

/** Creates a forwarder with connections of its own to each node. */
export function createForwarder (peers: Peers, { clock }: Environment): Forwarder {
  const agent = new Agent({ connections: connectionsPerPeer, pipelining: 1, connect: createConnector(connectTimeoutMs), keepAliveTimeout: 60_000 })
  const waiting = new Map<string, Set<Cancellation>>()
  /** Lets a call be given up before its head has come. Returns the cancellation to send it with and a function that ends this. */
  const watch = (address: string, call: Call): { cancellation: Cancellation, unwatch: () => void } => {
    const calls = waiting.get(address) ?? new Set()
    waiting.set(address, calls)
    const own = createCancellation()
    const stopListening = call.cancellation.listen(own.cancel)
    if (call.context.idempotent) calls.add(own)
    return {
      cancellation: own,
      unwatch () {
        stopListening()
        calls.delete(own)
      }
    }
  }
  const forward = (address: string, call: Call, lent: number, sink: Sink) => new Promise<Attempted>((resolve) => {
    const remainingMs = call.deadlineAt - clock.now()
    const context = JSON.stringify({ ...call.context, budget: lent, remainingMs })
    const signature = peers.sealer.seal(signedText(context, call.method, call.path), clock.date())
    const unanswered: Buffer[] = []
    let report: Report | undefined
    let status = 0
    let isAnswer = false
    const { cancellation, unwatch } = watch(address, call)
    sendExchange(agent, {
      origin: `http://${address}`,
      method: call.method,
      path: call.path,
      headers: peerHeaders(call.headers, context, signature),
      body: call.body,
      timeoutMs: Math.max(1, remainingMs + marginMs),
      cancellation
    }, {
      head (code, headers) {
        isAnswer = headers[outcomeHeader] === 'answered'
        if (!isAnswer) return headers[outcomeHeader] !== undefined
        waiting.get(address)?.delete(cancellation)
        report = parseReport(headers[reportHeader])
        status = code
        sink.head(code, answerHeaders(headers, isPeerHeader), report)
        return true
      },
      data (chunk, resume) {
        if (!isAnswer) return unanswered.push(chunk) > 0
        if (sink.write(chunk)) return true
        sink.onDrain(resume)
        return false
      },
      end () {
        unwatch()
        if (report === undefined) return resolve(fromUnanswered(Buffer.concat(unanswered), lent))
        sink.end()
        resolve({ type: 'answered', status, report })
      },
      error (error) {
        unwatch()
        if (report === undefined) return resolve(fromError(error, { ...call, context: { ...call.context, budget: lent } }))
        sink.abort()
        resolve({ type: 'broken', report })
      }
    })
  })
  const abandon = (address: string) => {
    for (const cancellation of waiting.get(address) ?? []) cancellation.cancel()
    waiting.delete(address)
  }
  return { forward, abandon, close: () => agent.destroy() }
}

function fromUnanswered (body: Buffer, lent: number): Attempted {
  const outcome = parseUnanswered(body)
  if (outcome === undefined) {
    return { type: 'failed', failure: fail('unknownOutcome', { reason: 'the node gave no readable outcome' }), crashed: false, report: { ...emptyReport, used: lent } }
  }
  const { failure, report } = outcome
  if (outcome.type === 'refused') return { type: 'refused', failure, elsewhere: outcome.elsewhere, arrived: outcome.arrived, report }
  return { type: 'failed', failure, crashed: outcome.crashed, report }
}
