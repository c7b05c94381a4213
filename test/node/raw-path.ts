import { createServer as createHttpServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Pool } from 'undici'
import { createReportedFractions } from '../../src/core/admission/index.ts'
import { createSealer } from '../../src/core/auth/index.ts'
import type { ClaimClient } from '../../src/core/claims/client.ts'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { emptyConfiguration } from '../../src/core/config/index.ts'
import { createFreshness } from '../../src/core/freshness/index.ts'
import { createConnector } from '../../src/core/http/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createBodyBudget } from '../../src/core/node/body-budget.ts'
import { readBody } from '../../src/core/node/body.ts'
import { createDependencies } from '../../src/core/node/dependencies.ts'
import { defaultDialect } from '../../src/core/node/dialect.ts'
import type { Dialect } from '../../src/core/node/dialect.ts'
import { createForwarder } from '../../src/core/node/forward.ts'
import { createGate } from '../../src/core/node/gate.ts'
import { servePeerCalls } from '../../src/core/node/peer-calls.ts'
import { createPipeline } from '../../src/core/node/pipeline.ts'
import { createRefusals } from '../../src/core/node/refusals.ts'
import { createRandomPolicy } from '../../src/core/node/return-policy.ts'
import { createCallServer } from '../../src/core/node/serve.ts'
import { createResponseSink } from '../../src/core/node/sinks.ts'
import { createSpans } from '../../src/core/node/spans.ts'
import { createCancellation } from '../../src/core/node/types.ts'
import type { AttemptOutcome, Call, CallContext } from '../../src/core/node/types.ts'
import { createTraffic } from '../../src/core/peers/index.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createSilentDecisions } from './silent-decisions.ts'
import { createRawTarget } from './raw-target.ts'

const timeoutMs = 3000

const maxBodyBytes = 32 * 1024 * 1024

/** How a side closes a connection after its bytes. */
export type Ending = 'open' | 'end' | 'reset'

/** Bytes that the target sends for a request, and what it does with the connection then. `ID` stands for the id of the request. */
export interface RawAnswer {
  text: string
  ending: Ending
  /** Sends each byte as a write of its own. */
  isSplit?: boolean
  /** Time between the bytes and what follows, in milliseconds. Default: 0. */
  endAfterMs?: number
  /** Reads nothing of a request beyond its first piece. Default: false. */
  stopsReading?: boolean
}

/** What a caller has read from its connection until it was closed. */
export interface RawReply {
  text: string
  /** Whether the connection was reset rather than ended. */
  isReset: boolean
}

/** Between a caller and a raw target, over real sockets: a node that serves the target, and one that forwards to it. */
export interface RawPath {
  /** Answers the next requests of the target, one each. Without one, the target keeps silent. */
  answers: RawAnswer[]
  /** Whether the node of the caller forwards the calls to that of the target. */
  isForwarded: boolean
  /** Sends bytes on a new connection, closes it as `ending` says, and reads it until it is closed. */
  exchange: (bytes: string, ending?: Ending) => Promise<RawReply>
  /** Outcomes of the calls so far. */
  outcomes: AttemptOutcome[]
  /** Requests that the target has read. */
  received: string[]
  /** Bytes that the target has read. */
  receivedBytes: () => number
  /** Connections that the target has accepted. */
  connections: () => number
  /** Pauses the reading of the replies that follow for this time, in milliseconds. */
  readAfterMs: number
  close: () => Promise<void>
}

const targetDialect: Dialect = { ...defaultDialect, acceptsUnframed: true, alwaysRepeatsId: true }

function listenAnywhere (server: { listen: (port: number, host: string, listener: () => void) => unknown, address: () => unknown }): Promise<number> {
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port)))
}

async function sendRaw (socket: Socket, { text, ending, isSplit = false, endAfterMs = 0, stopsReading = false }: RawAnswer): Promise<void> {
  if (stopsReading) socket.pause()
  if (isSplit) {
    for (const byte of text) {
      socket.write(byte)
      await new Promise((resolve) => setImmediate(resolve))
    }
  } else if (text !== '') socket.write(text)
  if (endAfterMs > 0) await new Promise((resolve) => setTimeout(resolve, endAfterMs))
  if (ending === 'end') socket.end()
  else if (ending === 'reset') socket.resetAndDestroy()
}

/** Starts a path. */
export async function createRawPath (dialect: Dialect = targetDialect): Promise<RawPath> {
  const environment = { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  const sealer = createSealer(['secret-of-the-test-cluster'])
  let connections = 0
  let receivedBytes = 0
  const raw = createServer((socket) => {
    connections++
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      receivedBytes += chunk.length
      const request = chunk.toString('latin1')
      if (request.trim() === '') return
      path.received.push(request)
      const answer = path.answers.shift()
      const id = /x-request-id: (\S+)/.exec(request)?.[1] ?? ''
      if (answer !== undefined) void sendRaw(socket, { ...answer, text: answer.text.replaceAll('ID', id) })
    })
  })
  const origin = `http://127.0.0.1:${await listenAnywhere(raw)}`
  const pool = new Pool(origin, { connections: 1, pipelining: 1, connect: createConnector(1000) })
  const gate = createGate(8, clock)
  const target = createRawTarget(pool, gate, origin)
  const peerServer = createHttpServer()
  const peers = {
    sealer,
    freshness: createFreshness(),
    configuration: emptyConfiguration,
    traffic: createTraffic('', createMetrics()),
    onUpgrade: (handler: (request: IncomingMessage, socket: Socket, head: Buffer) => void) => void peerServer.on('upgrade', handler)
  } as unknown as Peers
  const server = createCallServer({
    dialect,
    findKeyFailure: () => undefined,
    mayBegin: () => true,
    peers,
    target,
    claims: {} as unknown as ClaimClient,
    crashes: { recordCompletion () {}, checkForCrash: async () => false, recordAbandoned () {}, close () {} },
    spans: createSpans(),
    dependencies: createDependencies(clock),
    reportedFractions: createReportedFractions(),
    decisions: createSilentDecisions(dialect),
    environment
  })
  const sessions = servePeerCalls(peers, server, () => {}, createBodyBudget(maxBodyBytes), environment)
  const peerAddress = `127.0.0.1:${await listenAnywhere(peerServer)}`
  const forwarder = createForwarder(peers, environment)
  const refusals = createRefusals({ claims: {} as unknown as ClaimClient, dialect, policy: createRandomPolicy(createRandom(1)), environment })
  let nextId = 1000
  const createCall = (request: IncomingMessage, body: Buffer): Call => {
    const id = `r${nextId++}`
    const context = { attempt: id, chain: id, lineage: id, workspace: null, route: 'r', template: 't', service: 's', priority: 2, rank: 2, weight: 1, idempotent: true, fingerprint: id, depth: 0, budget: 0, remainingMs: timeoutMs }
    return {
      context: { keyId: null, needsClaim: false, host: null, digest: '', suspect: false, resendable: false, ...context } satisfies CallContext,
      method: request.method ?? '',
      path: request.url ?? '',
      headers: [],
      body,
      deadlineAt: clock.now() + timeoutMs,
      cancellation: createCancellation()
    }
  }
  const serve = async (request: IncomingMessage, response: ServerResponse) => {
    const body = await readBody(request, { maxBytes: maxBodyBytes, budget: createBodyBudget(maxBodyBytes), waitMs: 0, timeLeftMs: () => 60_000 })
    if (!body.ok) return dialect.writeRefusal(response, { failure: body, run: 'not-run', retryAfterMs: 0 })
    const call = createCall(request, body.value.bytes)
    const sink = createResponseSink(response)
    const outcome = path.isForwarded ? await forwarder.forward(peerAddress, call, 0, sink) : await server.serve(call, sink)
    path.outcomes.push(outcome)
    await refusals.refuseUnlessAnswered(response, call, outcome)
  }
  const pipeline = createPipeline({ serve: (request, response) => void serve(request, response), now: () => 0, isStopping: () => false, leaveUnserved () {} })
  const callerServer = createHttpServer(pipeline.accept).on('clientError', pipeline.reject)
  const port = await listenAnywhere(callerServer)
  const path: RawPath = {
    answers: [],
    isForwarded: false,
    outcomes: [],
    received: [],
    readAfterMs: 0,
    connections: () => connections,
    receivedBytes: () => receivedBytes,
    exchange: (bytes, ending = 'open') => new Promise((resolve) => {
      let text = ''
      let isReset = false
      const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true }, () => {
        if (bytes !== '') socket.write(bytes, 'latin1')
        if (ending === 'end') socket.end()
        else if (ending === 'reset') socket.resetAndDestroy()
      })
      if (path.readAfterMs > 0) {
        socket.pause()
        setTimeout(() => socket.resume(), path.readAfterMs)
      }
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1')
      })
      socket.on('end', () => socket.writable ? socket.write('\r\n', (error) => socket.destroy(error ?? undefined)) : socket.destroy()) // A reset that arrives with the last bytes is reported as a plain end; only a write fails.
      socket.on('error', () => {
        isReset = true
      })
      socket.on('close', () => resolve({ text, isReset }))
    }),
    async close () {
      gate.close()
      forwarder.close()
      sessions.close()
      await pool.destroy()
      callerServer.closeAllConnections()
      for (const server of [raw, callerServer, peerServer]) server.close()
    }
  }
  return path
}
