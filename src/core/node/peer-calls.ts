import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Environment, Peers } from '../peers/index.ts'
import { readBody } from './body.ts'
import { callHeader, callSignatureHeader, maxPeerBodyBytes } from './constants.ts'
import { parseContext, signedText } from './context.ts'
import { requestHeaders } from './headers.ts'
import type { CallServer } from './serve.ts'
import { createResponseSink, writePeerOutcome } from './sinks.ts'
import { createCancellation } from './types.ts'
import type { Call } from './types.ts'

const isPeerHeader = (name: string) => name === callHeader || name === callSignatureHeader

/** Serves a call that another node passes on. */
export async function servePeerCall (
  request: IncomingMessage, response: ServerResponse, peers: Peers, server: CallServer, { clock, metrics }: Environment
): Promise<void> {
  const method = request.method ?? 'GET'
  const path = request.url ?? '/'
  const text = String(request.headers[callHeader])
  const genuine = peers.sealer.open(String(request.headers[callSignatureHeader]), signedText(text, method, path), clock.date())
  const context = genuine ? parseContext(text) : undefined
  if (context === undefined) {
    metrics.count('peer_calls_rejected_total')
    return void response.writeHead(401, { connection: 'close' }).end()
  }
  const deadlineAt = clock.now() + context.remainingMs
  const body = await readBody(request, maxPeerBodyBytes)
  if (!body.ok) return void response.destroy()
  const call: Call = {
    context, method, path, headers: requestHeaders(request.rawHeaders, isPeerHeader), body: body.value, deadlineAt, cancellation: createCancellation()
  }
  response.once('close', () => {
    if (!response.writableFinished) call.cancellation.cancel()
  })
  const attempted = await server.serve(call, createResponseSink(response, true))
  if (attempted.type === 'broken') return void response.destroy()
  if (!response.headersSent && !response.destroyed) writePeerOutcome(response, attempted)
}
