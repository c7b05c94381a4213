import { createSessionServer, noopListener } from '../channel/index.ts'
import type { StreamAcceptor, SessionServer, Stream, StreamListener } from '../channel/index.ts'
import { fail } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { decodeOpening, encodeHead, encodeUnanswered } from './call-codec.ts'
import type { BodyBudget, Release } from './body-budget.ts'
import type { CallOpening } from './call-codec.ts'
import { maxPeerBodyBytes, waitFraction } from './constants.ts'
import type { CallServer } from './serve.ts'
import { unansweredOf } from './sinks.ts'
import { createCancellation, emptyReport } from './types.ts'
import type { AttemptOutcome, Call, CallContext, Sink } from './types.ts'

/** The answer to a forwarded call, on the stream of the node that forwarded it. */
interface Reply {
  sink: Sink
  /** Reports how a call without an answer ended. Only the first of an answer and such a report is sent. */
  report: (outcome: Exclude<AttemptOutcome, { type: 'answered' }>) => void
}

function createReply (stream: Stream): Reply {
  let started = false
  let ended = false
  const sink: Sink = {
    started: () => started,
    head (status, headers, report) {
      if (ended) return
      started = true
      stream.message(encodeHead(status, headers, report))
    },
    write: (chunk) => ended || stream.bytes(chunk),
    onDrain: stream.onDrain,
    end () {
      if (ended) return
      ended = true
      stream.end()
    },
    abort () {
      if (ended) return
      ended = true
      stream.reset()
    }
  }
  return {
    sink,
    report (outcome) {
      if (ended) return
      ended = true
      if (started || outcome.type === 'broken') return stream.reset()
      stream.message(encodeUnanswered(unansweredOf(outcome)))
      stream.end()
    }
  }
}

/** Outcome of a call whose body has not arrived when its node ends. */
const notBegun: AttemptOutcome & { type: 'refused' } = { type: 'refused', failure: fail('leaving'), elsewhere: true, arrived: false, report: emptyReport }

/** Outcome of a call that still runs when its node ends. */
const givenUp: AttemptOutcome & { type: 'failed' } = {
  type: 'failed', failure: fail('unknownOutcome', { reason: 'the node of its target stops' }), crashed: false, report: emptyReport
}

/** Counts a forwarded call with the headers of its request as running until `work` ends. `giveUp` ends it without waiting for its answer. */
export type TrackCall = (headers: readonly string[], work: Promise<void>, giveUp: () => void) => void

/** A call with its complete body, or why there is none: its stream ended before that, or this node has no room for its body. */
type Received = { type: 'call', call: Call, release: Release } | { type: 'ended' } | { type: 'no-room' }

/** Receives the complete body of a call once there is room for it. Until then the other node may send no more than the window of its stream. */
function receiveCall (opening: CallOpening, deadlineAt: number, stream: Stream, budget: BodyBudget, resolve: (received: Received) => void): StreamListener {
  const { context, method, path, headers, bodyBytes } = opening
  const cancellation = createCancellation()
  const waiting: Array<{ piece: Uint8Array, consumed: () => void }> = []
  let body: Buffer | undefined
  let release: Release = () => {}
  let received = 0
  let isEnded = false
  let isSettled = false
  const settle = (result: Received) => {
    if (isSettled) return
    isSettled = true
    if (result.type !== 'call') release()
    resolve(result)
  }
  const cancelCall = () => {
    cancellation.cancel()
    if (isSettled) return
    stream.reset()
    settle({ type: 'ended' })
  }
  const add = (piece: Uint8Array) => {
    if (received + piece.length <= bodyBytes) body?.set(piece, received)
    received += piece.length
  }
  const completeWhenEnded = () => {
    if (!isEnded || body === undefined || isSettled) return
    if (received !== bodyBytes) return cancelCall()
    settle({ type: 'call', call: { context, method, path, headers, body, deadlineAt, cancellation, source: 'node' }, release })
  }
  const begin = (granted: Release | undefined) => {
    if (granted === undefined) return settle({ type: 'no-room' })
    if (isSettled) return granted()
    release = granted
    body = Buffer.allocUnsafe(bodyBytes)
    for (const { piece, consumed } of waiting) {
      add(piece)
      consumed()
    }
    waiting.length = 0
    completeWhenEnded()
  }
  const reserved = budget.reserve(bodyBytes, waitFraction * context.remainingMs)
  if (reserved instanceof Promise) void reserved.then(begin)
  else begin(reserved)
  return {
    message () {},
    bytes (piece, consumed) {
      if (isSettled) return consumed()
      if (body === undefined) return void waiting.push({ piece, consumed })
      add(piece)
      consumed()
    },
    end () {
      isEnded = true
      completeWhenEnded()
    },
    reset: cancelCall,
    dialerDisconnected: cancelCall,
    sessionEnded: cancelCall
  }
}

/** Returns the refusal of a call for whose body there is no room; another node may have it. */
function refuseBody ({ service }: CallContext): AttemptOutcome & { type: 'refused' } {
  return { type: 'refused', failure: fail('overloaded', { service, reason: 'no room for the body' }), elsewhere: true, arrived: false, report: emptyReport }
}

/**
 * Serves the calls that other nodes forward. A call whose node is gone is cancelled. A non-idempotent call keeps
 * running at the target, and its answer is kept for a while in case that node reconnects.
 */
export function servePeerCalls (peers: Peers, server: CallServer, track: TrackCall, budget: BodyBudget, { clock, metrics }: Environment): SessionServer {
  const serve = async (call: Call, reply: Reply): Promise<void> => {
    const outcome = await server.serve(call, reply.sink)
    if (outcome.type !== 'answered') reply.report(outcome)
  }
  const serveReceived = async (received: Received, { context }: CallOpening, reply: Reply, stream: Stream): Promise<void> => {
    if (received.type === 'ended') return
    if (received.type === 'no-room') {
      metrics.count('peer_bodies_refused_total')
      reply.report(refuseBody(context))
      return stream.reset() // The other node drops the rest of the body.
    }
    await serve(received.call, reply).finally(received.release)
  }
  /** Tracks a call from its first message on: its caller expects an answer, so a stop also waits for calls whose body is still arriving. */
  const trackFromOpening = (opening: CallOpening, createListener: (resolve: (received: Received) => void) => StreamListener, stream: Stream): StreamListener => {
    let resolveReceived: (received: Received) => void = () => {}
    const receiving = new Promise<Received>((resolve) => {
      resolveReceived = resolve
    })
    const reply = createReply(stream)
    let state: 'arriving' | 'begun' | 'refused' = 'arriving'
    const work = receiving.then((received) => {
      if (state === 'refused') return received.type === 'call' ? received.release() : undefined
      state = 'begun'
      return serveReceived(received, opening, reply, stream)
    })
    const giveUp = () => {
      reply.report(state === 'begun' ? givenUp : notBegun)
      if (state === 'arriving') state = 'refused'
    }
    track(opening.headers, work, giveUp)
    return createListener(resolveReceived)
  }
  const accept: StreamAcceptor = (value, stream) => {
    const opening = decodeOpening(value)
    if (opening === undefined || opening.bodyBytes > maxPeerBodyBytes) {
      metrics.count('peer_calls_rejected_total')
      stream.reset()
      return noopListener
    }
    const deadlineAt = clock.now() + opening.context.remainingMs
    return trackFromOpening(opening, (resolve) => receiveCall(opening, deadlineAt, stream, budget, resolve), stream)
  }
  const sessions = createSessionServer({ sealer: peers.sealer, clock, accept, onSent: (host, bytes) => peers.traffic.record(host, 'answer', bytes) })
  peers.onUpgrade(sessions.upgrade)
  return sessions
}
