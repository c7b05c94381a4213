import { createJSONRPCErrorResponse, isJSONRPCRequest, JSONRPCServer } from 'json-rpc-2.0'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../clock/index.ts'
import type { Sealer } from '../auth/index.ts'
import { createAnswerRoom } from '../http/answer-room.ts'
import type { RecordSent } from './client.ts'
import { maxRpcBytes, signatureHeader } from './constants.ts'

const parseError = -32700

/** Code of the answer to a call whose own answer has no room now; it is to be made again, here or elsewhere. */
const noRoomError = -32000

/** Serves methods to other processes over JSON-RPC 2.0. */
export interface RpcServer {
  /** Registers a method. */
  method: <Params, Result>(name: string, handle: (params: Params) => Result | Promise<Result>) => void
  /** Handles one HTTP request to the RPC path. */
  handle: (request: IncomingMessage, response: ServerResponse) => void
  /** Returns false while large answers wait for their readers, so that no further one would be sent. */
  hasRoom: () => boolean
  /** Handles one message that arrived over another transport and resolves with the response. */
  receive: (message: unknown) => Promise<unknown>
}

/** Reads a request body. Resolves with undefined when it exceeds `limit` bytes or the connection breaks. */
function readBody (request: IncomingMessage, limit: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= limit) chunks.push(chunk)
      else resolve(undefined)
    })
    request.on('end', () => resolve(Buffer.concat(chunks)))
    request.on('error', () => resolve(undefined))
    request.on('close', () => resolve(undefined))
  })
}

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}

function encodeRefusal (message: unknown): Buffer {
  const id = isJSONRPCRequest(message) ? message.id ?? null : null
  return Buffer.from(JSON.stringify(createJSONRPCErrorResponse(id, noRoomError, 'other answers wait for their readers; ask again')))
}

/** Creates a server that accepts only messages with a valid cluster signature. */
export function createRpcServer (sealer: Sealer, clock: Clock, recordSent: RecordSent): RpcServer {
  const methods = new JSONRPCServer({ errorListener: () => {} })
  const room = createAnswerRoom()
  const receive = async (message: unknown): Promise<unknown> => {
    if (!isJSONRPCRequest(message)) return createJSONRPCErrorResponse(null, parseError, 'not a JSON-RPC 2.0 request')
    return await methods.receive(message)
  }
  const sendAnswer = (request: IncomingMessage, response: ServerResponse, kind: string, answer: Buffer) => {
    recordSent(request.socket.remoteAddress ?? '', kind, answer.length)
    response.writeHead(200, { 'content-type': 'application/json' }).end(answer)
  }
  const respond = async (request: IncomingMessage, response: ServerResponse) => {
    const body = await readBody(request, maxRpcBytes)
    const signature = request.headers[signatureHeader]
    if (body === undefined || typeof signature !== 'string' || !sealer.open(signature, body, clock.date())) {
      response.writeHead(401, { connection: 'close' }).end()
      return
    }
    const message = parseJson(body)
    const answer = Buffer.from(JSON.stringify(await receive(message)))
    const kind = isJSONRPCRequest(message) ? message.method : 'unknown'
    if (room.hold(response, answer.length)) return sendAnswer(request, response, kind, answer)
    sendAnswer(request, response, kind, encodeRefusal(message))
  }
  return {
    method (name, handle) {
      methods.addMethod(name, handle as (params: unknown) => unknown)
    },
    handle (request, response) {
      respond(request, response).catch(() => response.destroy())
    },
    hasRoom: room.isOpen,
    receive
  }
}
