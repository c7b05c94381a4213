import { createDialer } from '../channel/index.ts'
import type { StreamListener } from '../channel/index.ts'
import { fail } from '../errors/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { decodeReply, encodeOpening, createOpening } from './call-codec.ts'
import type { CallReply } from './call-codec.ts'
import type { Unanswered } from './sinks.ts'
import { emptyReport } from './types.ts'
import type { AttemptOutcome, Call, Report, Sink } from './types.ts'

/** Time beyond the deadline in which the other node may still report how the call ended, in milliseconds. */
const replyMarginMs = 50

/** Forwards calls to the nodes of other targets. */
export interface Forwarder {
  /** Probes the connections to a node that membership suspects or reports as dead; those that do not answer are replaced. */
  probeNode: (address: string) => void
  /** Forwards a call, for which `reservedAttempts` extra attempts are reserved. */
  forward: (address: string, call: Call, reservedAttempts: number, sink: Sink) => Promise<AttemptOutcome>
  close: () => void
}

/** Why a forwarded call ended without a complete answer. */
type ForwardFailure =
  /** Nothing was sent to the other node, or it has ended without reading it. */
  | { type: 'not-sent' }
  | { type: 'timeout' }
  | { type: 'cancelled' }
  | { type: 'broken', reason: string }

function outcomeWithoutReply (cause: ForwardFailure, call: Call, reservedAttempts: number): AttemptOutcome {
  if (cause.type === 'not-sent') {
    return { type: 'refused', failure: fail('noTarget', { service: call.context.service }), elsewhere: true, arrived: false, report: emptyReport }
  }
  const failure = cause.type === 'timeout'
    ? fail('deadline', { stage: 'while another node worked on it' })
    : fail('unknownOutcome', { reason: cause.type === 'broken' ? cause.reason : 'the caller is gone or the node is silent' })
  return { type: 'failed', failure, crashed: false, report: { ...emptyReport, used: reservedAttempts } }
}

function outcomeFromUnanswered ({ type, failure, report, elsewhere, arrived, crashed }: Unanswered): AttemptOutcome {
  return type === 'refused' ? { type, failure, elsewhere, arrived, report } : { type, failure, crashed, report }
}

/** Creates a forwarder that keeps sessions to each node. */
export function createForwarder (peers: Peers, { clock, metrics }: Environment): Forwarder {
  /** Functions that cancel the idempotent calls without an answer so far, by the address of their node. */
  const waitingCalls = new Map<string, Set<() => void>>()
  /** Cancels the idempotent calls that wait for an answer of an unreachable node; they may be retried at another node. */
  const cancelWaitingCalls = (address: string) => {
    const calls = waitingCalls.get(address)
    waitingCalls.delete(address)
    for (const cancel of calls ?? []) cancel()
  }
  const dialer = createDialer({
    sealer: peers.sealer, clock, metrics, onConnectionFailed: cancelWaitingCalls, onSent: (address, bytes) => peers.traffic.record(address, 'call', bytes)
  })
  const addWaitingCall = (address: string, cancel: () => void): () => void => {
    const calls = waitingCalls.get(address) ?? new Set()
    waitingCalls.set(address, calls)
    calls.add(cancel)
    return () => void calls.delete(cancel)
  }

  const forward = (address: string, call: Call, reservedAttempts: number, sink: Sink) => new Promise<AttemptOutcome>((resolve) => {
    const remainingMs = call.deadlineAt - clock.now()
    const cleanups: Array<() => void> = []
    let report: Report | undefined
    let status = 0
    let settled = false
    const settle = (outcome: AttemptOutcome) => {
      if (settled) return
      settled = true
      for (const cleanUp of cleanups) cleanUp()
      resolve(outcome)
    }
    const endWithoutAnswer = (cause: ForwardFailure) => {
      if (settled) return
      if (report === undefined) return settle(outcomeWithoutReply(cause, call, reservedAttempts))
      sink.abort()
      settle({ type: 'broken', report })
    }
    const resetAndEnd = (cause: ForwardFailure) => {
      stream.reset()
      endWithoutAnswer(cause)
    }
    const handleReply = (message: CallReply | undefined) => {
      if (message === undefined) return resetAndEnd({ type: 'broken', reason: 'the node gave no readable outcome' })
      if (message.type === 'unanswered') return settle(outcomeFromUnanswered(message.unanswered))
      stopWaiting?.()
      report = message.report
      status = message.status
      sink.head(status, message.headers, report)
    }
    const listener: StreamListener = {
      message (value) {
        if (!settled) handleReply(decodeReply(value))
      },
      bytes (piece, consumed) {
        if (settled || sink.write(piece)) return consumed()
        sink.onDrain(consumed)
      },
      end () {
        if (settled) return
        if (report === undefined) return endWithoutAnswer({ type: 'broken', reason: 'the node gave no outcome' })
        sink.end()
        settle({ type: 'answered', status, report })
      },
      reset: () => endWithoutAnswer({ type: 'broken', reason: 'the answer broke off' }),
      dialerDisconnected () {},
      sessionEnded: (sent) => endWithoutAnswer(sent ? { type: 'broken', reason: 'the node ended' } : { type: 'not-sent' })
    }
    const { body } = call
    const stream = dialer.open(address, encodeOpening(createOpening(call, reservedAttempts, remainingMs)), body.length === 0, listener)
    if (body.length > 0) {
      stream.bytes(body)
      stream.end()
    }
    const timeout = setTimeout(() => resetAndEnd({ type: 'timeout' }), Math.max(1, remainingMs + replyMarginMs))
    const stopWaiting = call.context.idempotent ? addWaitingCall(address, () => resetAndEnd({ type: 'cancelled' })) : undefined
    cleanups.push(() => clearTimeout(timeout), () => stopWaiting?.())
    cleanups.push(call.cancellation.listen(() => resetAndEnd({ type: 'cancelled' })))
    if (settled) for (const cleanUp of cleanups) cleanUp()
  })
  return { forward, probeNode: dialer.probeAddress, close: dialer.close }
}
