import type { Dispatcher } from 'undici'
import type { IncomingHttpHeaders } from 'node:http'
import type { Cancellation } from './types.ts'

/** How an HTTP exchange failed. */
export interface ExchangeError {
  reason: string
  /** The request was passed to a connection, so the other side may have run it. */
  written: boolean
  /** The head of an answer was received. */
  answered: boolean
  cause: 'connect' | 'timeout' | 'cancelled' | 'broken'
}

/** Receives the parts of an answer. */
export interface Receiver {
  /** Returns false to reject an answer that belongs to another request. */
  head: (status: number, headers: IncomingHttpHeaders) => boolean
  /** Returns false to pause until `resume` is called. */
  data: (chunk: Buffer, resume: () => void) => boolean
  end: () => void
  error: (error: ExchangeError) => void
}

/** One HTTP request to a target. */
export interface Exchange {
  origin: string
  method: string
  path: string
  headers: string[]
  body: Buffer
  /** Timeout of the complete exchange, in milliseconds. */
  timeoutMs: number
  cancellation?: Cancellation
}

/** Status codes of informational responses, which precede an answer, and of answers. */
const firstInformationalStatus = 100
const firstFinalStatus = 200
const lastStatus = 599

function errorCode (error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? error.name
}

/**
 * Sends a request and streams its answer to the receiver. Calls exactly one of `end` and `error`.
 * A connection whose exchange did not end cleanly is closed and not reused.
 */
export function sendExchange (dispatcher: Dispatcher, exchange: Exchange, receiver: Receiver): void {
  let controller: Dispatcher.DispatchController | undefined
  let written = false
  let answered = false
  let settled = false
  const settle = () => {
    if (settled) return false
    settled = true
    clearTimeout(timeout)
    stopListening?.()
    return true
  }
  const reportError = (cause: ExchangeError['cause'], reason: string) => {
    if (settle()) receiver.error({ reason, written, answered, cause })
  }
  const abort = (cause: ExchangeError['cause'], reason: string) => {
    reportError(cause, reason)
    controller?.abort(new Error(reason))
  }
  const reject = (reason: string) => abort('broken', reason)
  const timeout = setTimeout(() => abort('timeout', 'no whole answer in time'), exchange.timeoutMs)
  const stopListening = exchange.cancellation?.listen(() => abort('cancelled', 'the caller is gone'))
  if (settled) return
  dispatcher.dispatch({
    origin: exchange.origin,
    method: exchange.method as Dispatcher.HttpMethod,
    path: exchange.path,
    headers: exchange.headers,
    body: exchange.body.length > 0 ? exchange.body : null,
    headersTimeout: 0,
    bodyTimeout: 0
  }, {
    onRequestStart (requestController) {
      controller = requestController
      if (settled) return requestController.abort(new Error('ended before it was sent'))
      written = true
    },
    onResponseStart (_controller, status, headers) {
      if (settled) return
      if (status < firstInformationalStatus || status > lastStatus) return reject(`the status ${status} is none of an answer`)
      if (status < firstFinalStatus) return
      answered = true
      if (receiver.head(status, headers as IncomingHttpHeaders)) return
      answered = false
      reject('the answer belongs to another request')
    },
    onResponseData (responseController, chunk) {
      if (settled || chunk.length === 0) return // A parser that goes on after a pause reports a piece of no bytes first.
      if (!receiver.data(chunk, () => responseController.resume())) responseController.pause()
    },
    onResponseEnd () {
      if (settle()) receiver.end()
    },
    onResponseError (_controller, error) {
      reportError(written ? 'broken' : 'connect', error.message === '' ? errorCode(error) : error.message)
    }
  })
}
