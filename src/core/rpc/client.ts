import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'
import { Agent } from 'undici'
import type { Clock } from '../clock/index.ts'
import type { Sealer } from '../auth/index.ts'
import { rpcPath, signatureHeader } from './constants.ts'

const connectTimeoutMs = 1000

/** Result of a remote call: the value, or the reason why there is none. `refused` is true where the other process answered with an error. */
export type RpcResult<Value> = { ok: true, value: Value } | { ok: false, reason: string, refused?: boolean }

/** Records the bytes of a message that was sent to host:port; `kind` is its method. */
export type RecordSent = (address: string, kind: string, bytes: number) => void

/** How a caller follows its call while it is on the way. */
export interface CallProgress {
  /** Cancels the call. */
  signal: AbortSignal
  /** Called whenever a part of the answer has arrived, its head included. */
  onArrival: () => void
}

/** Calls methods of other processes over JSON-RPC 2.0. */
export interface RpcClient {
  call: <Value>(address: string, method: string, params: unknown, timeoutMs: number, progress?: CallProgress) => Promise<RpcResult<Value>>
  close: () => Promise<void>
}

async function readText (body: AsyncIterable<Buffer>, onArrival: () => void): Promise<string> {
  const chunks: Buffer[] = []
  onArrival()
  for await (const chunk of body) {
    chunks.push(chunk)
    onArrival()
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Creates a client that signs its requests with the cluster secret. */
export function createRpcClient (sealer: Sealer, clock: Clock, recordSent: RecordSent): RpcClient {
  const agent = new Agent({ connections: 8, pipelining: 1, connect: { timeout: connectTimeoutMs }, keepAliveTimeout: 10_000 })
  let nextId = 1
  return {
    async call<Value> (address: string, method: string, params: unknown, timeoutMs: number, progress?: CallProgress): Promise<RpcResult<Value>> {
      const body = JSON.stringify(createJSONRPCRequest(nextId++, method, params as object))
      recordSent(address, method, Buffer.byteLength(body))
      const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)))
      try {
        const response = await agent.request({
          origin: `http://${address}`,
          path: rpcPath,
          method: 'POST',
          headers: { 'content-type': 'application/json', [signatureHeader]: sealer.seal(body, clock.date()) },
          body,
          signal: progress === undefined ? timeout : AbortSignal.any([timeout, progress.signal])
        })
        const answer: unknown = progress === undefined ? await response.body.json() : JSON.parse(await readText(response.body, progress.onArrival))
        if (!isJSONRPCResponse(answer)) return { ok: false, reason: `${address} gave no JSON-RPC answer` }
        if (answer.error !== undefined) return { ok: false, reason: answer.error.message, refused: true }
        return { ok: true, value: answer.result as Value }
      } catch (error) {
        return { ok: false, reason: error instanceof Error ? error.message : String(error) }
      }
    },
    close: () => agent.destroy()
  }
}
