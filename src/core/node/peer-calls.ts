import { createSessionServer, noopListener } from '../channel/index.ts'
import type { StreamAcceptor, SessionServer, Stream, StreamListener } from '../channel/index.ts'
import { fail } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { decodeOpening, encodeHead, encodeUnanswered } from './call-codec.ts'
import type { CallOpening } from './call-codec.ts'
import { maxPeerBodyBytes } from './constants.ts'
import type { CallServer } from './serve.ts'
import { unansweredOf } from './sinks.ts'
import { createCancellation, emptyReport } from './types.ts'
import type { AttemptOutcome, Call, Sink } from './types.ts'

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

/** Outcome of a call that still runs when its node ends. */
const givenUp: AttemptOutcome & { type: 'failed' } = {
  type: 'failed', failure: fail('unknownOutcome', { reason: 'the node of its target stops' }), crashed: false, report: emptyReport
}

/** Counts a forwarded call with the headers of its request as running until `work` ends. `giveUp` ends it without waiting for its answer. */
export type TrackCall = (headers: readonly string[], work: Promise<void>, giveUp: () => void) => void

/** Receives the complete body of a call. `resolveCall` gets the call, or undefined if its stream ended before that. */
function receiveCall (opening: CallOpening, deadlineAt: number, stream: Stream, resolveCall: (call: Call | undefined) => void): StreamListener {
  const { context, method, path, headers, bodyBytes } = opening
  const cancellation = createCancellation()
  const pieces: Uint8Array[] = []
  let received = 0
  let isComplete = false
  const cancelCall = () => {
    cancellation.cancel()
    if (isComplete) return
    stream.reset()
    resolveCall(undefined)
  }
  return {
    message () {},
    bytes (piece, consumed) {
      received += piece.length
      if (received <= bodyBytes) pieces.push(piece)
      consumed()
    },
    end () {
      if (received !== bodyBytes) return cancelCall()
      isComplete = true
      resolveCall({ context, method, path, headers, body: Buffer.concat(pieces), deadlineAt, cancellation })
    },
    reset: cancelCall,
    dialerDisconnected: cancelCall,
    sessionEnded: cancelCall
  }
}

/**
 * Serves the calls that other nodes forward. A call whose node is gone is cancelled. A non-idempotent call keeps
 * running at the target, and its answer is kept for a while in case that node reconnects.
 */
export function servePeerCalls (peers: Peers, server: CallServer, track: TrackCall, { clock, metrics }: Environment): SessionServer {
  const serve = async (call: Call, reply: Reply): Promise<void> => {
    const outcome = await server.serve(call, reply.sink)
    if (outcome.type !== 'answered') reply.report(outcome)
  }
  /** Tracks a call from its first message on: its caller expects an answer, so a stop also waits for calls whose body is still arriving. */
  const trackFromOpening = ({ headers }: CallOpening, createListener: (resolveCall: (call: Call | undefined) => void) => StreamListener, stream: Stream): StreamListener => {
    let resolveCall: (call: Call | undefined) => void = () => {}
    const received = new Promise<Call | undefined>((resolve) => {
      resolveCall = resolve
    })
    const reply = createReply(stream)
    track(headers, received.then((call) => call && serve(call, reply)), () => reply.report(givenUp))
    return createListener(resolveCall)
  }
  const accept: StreamAcceptor = (value, stream) => {
    const opening = decodeOpening(value)
    if (opening === undefined || opening.bodyBytes > maxPeerBodyBytes) {
      metrics.count('peer_calls_rejected_total')
      stream.reset()
      return noopListener
    }
    const deadlineAt = clock.now() + opening.context.remainingMs
    return trackFromOpening(opening, (resolveCall) => receiveCall(opening, deadlineAt, stream, resolveCall), stream)
  }
  const sessions = createSessionServer({ sealer: peers.sealer, clock, accept, onSent: (host, bytes) => peers.traffic.record(host, 'answer', bytes) })
  peers.onUpgrade(sessions.upgrade)
  return sessions
}
