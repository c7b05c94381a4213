import { randomInt } from 'node:crypto'
import { createSocket } from 'node:dgram'
import { createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCRequest, createJSONRPCSuccessResponse, isJSONRPCID, isJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'
import { Packr } from 'msgpackr/pack'
import type { JSONRPCID, JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0'
import { parseAddress } from '../address/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Sealer } from '../auth/index.ts'
import type { RecordRefusal } from '../log/index.ts'
import type { RecordSent, RpcResult } from './client.ts'
import { unknownMethodReason } from './constants.ts'

const methodNotFound = -32601
const internalError = -32603

/** Counter of packets and messages that are dropped. */
const refusedCounter = 'datagrams_refused_total'

/** Name under which answers to unknown methods are counted. */
const unknownMethod = 'unknown'

/** Bound of the id of a process's first request. An answer to an earlier process on the same port matches no request of this one. */
const firstIdBound = 2 ** 31

/** Times of a request over UDP, in milliseconds. */
export interface RequestTimeouts {
  /** Interval between retransmissions of the request. */
  retryMs: number
  /** Time after which the request fails. */
  timeoutMs: number
}

/** Signed JSON-RPC 2.0 messages over UDP, encoded as MessagePack. */
export interface Datagrams {
  /** Sends a notification. One to an address that is no IP:PORT is dropped and counted. */
  notify: (address: string, method: string, params: unknown) => void
  /** Sends a request and retransmits it until a response arrives or the request times out. Handlers must be idempotent. */
  request: <Value>(address: string, method: string, params: unknown, timeouts: RequestTimeouts) => Promise<RpcResult<Value>>
  /** Registers a method. Its result is sent as the response to a request and discarded for a notification. */
  method: <Params, Result>(name: string, handle: (params: Params, address: string) => Result) => void
  close: () => void
  /** Returns the number of bytes sent since the start. */
  sentBytes: () => number
}

type Handler = (params: unknown, address: string) => unknown

interface PendingRequest {
  settle: (result: RpcResult<unknown>) => void
}

/** Splits an address of the form host:port. */
export function splitAddress (address: string): { host: string, port: number } {
  const index = address.lastIndexOf(':')
  return { host: address.slice(0, index), port: Number(address.slice(index + 1)) }
}

const codec = new Packr({ useRecords: false })

/** Packs a message: the length of its signature in one byte, the signature, and the message as MessagePack. */
function packMessage (message: unknown, sealer: Sealer, clock: Clock): Buffer {
  const body = codec.pack(message)
  const signature = sealer.seal(body, clock.date())
  return Buffer.concat([Buffer.of(signature.length), Buffer.from(signature, 'latin1'), body])
}

/** Returns the message of a packet, or undefined if the packet is malformed or not signed with the cluster secret. */
function unpackMessage (packet: Buffer, sealer: Sealer, clock: Clock): unknown {
  const bodyStart = 1 + (packet[0] ?? 0)
  const body = packet.subarray(bodyStart)
  if (body.length === 0 || !sealer.open(packet.toString('latin1', 1, bodyStart), body, clock.date())) return undefined
  try {
    return codec.unpack(body)
  } catch {
    return undefined
  }
}

/** Returns the result of a response, whose error may have any form. */
function resultOf ({ error, result }: JSONRPCResponse): RpcResult<unknown> {
  if (error === undefined) return { ok: true, value: result }
  return { ok: false, reason: typeof error?.message === 'string' ? error.message : 'an error without a message' }
}

/** Returns true for an object with an id that an answer can repeat. Other messages are dropped, because none of them can be answered. */
function isMessage (value: unknown): value is object {
  return typeof value === 'object' && value !== null && (!('id' in value) || value.id === undefined || isJSONRPCID(value.id))
}

/** Runs a handler. An exception, such as on a message of another version, becomes an error response. */
function runHandler (handler: Handler, { id = null, params }: JSONRPCRequest, from: string): JSONRPCResponse {
  try {
    return createJSONRPCSuccessResponse(id, handler(params, from) ?? null)
  } catch (error) {
    return createJSONRPCErrorResponse(id, internalError, error instanceof Error ? error.message : 'internal error')
  }
}

/** Binds a UDP socket to `address`. Packets without a valid cluster signature and messages of another form are dropped. */
export async function createDatagrams (
  address: string, sealer: Sealer, clock: Clock, recordSent: RecordSent, recordRefusal: RecordRefusal = () => {}
): Promise<Datagrams> {
  const socket = createSocket({ type: 'udp4', recvBufferSize: 1024 * 1024 })
  const { host, port } = splitAddress(address)
  const handlers = new Map<string, Handler>()
  const pending = new Map<JSONRPCID, PendingRequest>()
  let nextId = randomInt(firstIdBound)
  let bytesSent = 0
  let open = true
  const send = (peer: string, kind: string, message: unknown) => {
    if (!open) return
    const to = parseAddress(peer)
    if (to === undefined) return recordRefusal('datagrams_unsendable_total', `no message can be sent to address ${peer}`)
    const packet = packMessage(message, sealer, clock)
    bytesSent += packet.length
    recordSent(peer, kind, packet.length)
    socket.send(packet, to.port, to.host, () => {})
  }
  const receive = (message: unknown, from: string) => {
    if (!isMessage(message)) return recordRefusal(refusedCounter, `a message from ${from} is no object, or its id is no text, number or null`)
    if (isJSONRPCResponse(message)) return pending.get(message.id)?.settle(resultOf(message))
    if (!isJSONRPCRequest(message)) return recordRefusal(refusedCounter, `a message from ${from} is no JSON-RPC 2.0 message`)
    const handler = handlers.get(message.method)
    if (handler === undefined) {
      if (message.id !== undefined) send(from, unknownMethod, createJSONRPCErrorResponse(message.id, methodNotFound, unknownMethodReason))
      return
    }
    const answer = runHandler(handler, message, from)
    if (message.id !== undefined) send(from, message.method, answer)
  }
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, host, () => resolve())
  })
  socket.on('error', () => {})
  socket.on('message', (packet, info) => {
    const message = unpackMessage(packet, sealer, clock)
    const from = `${info.address}:${info.port}`
    if (message === undefined) recordRefusal(refusedCounter, `a packet from ${from} is not signed, seen before or no MessagePack`)
    else receive(message, from)
  })
  return {
    notify (peer, method, params) {
      send(peer, method, createJSONRPCNotification(method, params as object))
    },
    request<Value> (peer: string, method: string, params: unknown, timeouts: RequestTimeouts) {
      const message = createJSONRPCRequest(nextId++, method, params as object)
      return new Promise<RpcResult<Value>>((resolve) => {
        const settle = (result: RpcResult<unknown>) => {
          pending.delete(message.id ?? null)
          clearInterval(retransmission)
          clearTimeout(timeout)
          resolve(result as RpcResult<Value>)
        }
        const retransmission = setInterval(() => send(peer, method, message), timeouts.retryMs)
        const timeout = setTimeout(() => settle({ ok: false, reason: 'timeout' }), timeouts.timeoutMs)
        pending.set(message.id ?? null, { settle })
        send(peer, method, message)
      })
    },
    method (name, handle) {
      handlers.set(name, handle as Handler)
    },
    close () {
      if (!open) return
      open = false
      socket.close()
    },
    sentBytes: () => bytesSent
  }
}
