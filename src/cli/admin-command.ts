import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { request } from 'undici'
import { randomId } from '../core/auth/index.ts'
import { checkSettings, flag, printFailure, refusedExitCode, usageExitCode } from './options.ts'
import { formatTable } from './table.ts'

const requestTimeoutMs = 6000

/** One request to the administration API. */
export interface AdminCall {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  body?: unknown
  /** True for changes, which carry a change id and may carry an expected revision. */
  change?: boolean
}

interface AdminResponse {
  status: number
  body: unknown
}

interface ErrorBody {
  error: string
  message: string
  hint: string
}

/** Base class of commands that call the administration API. */
export abstract class AdminCommand extends Command {
  control = flag('control')
  token = flag('token')
  json = Option.Boolean('--json', false, { description: 'Print JSON' })

  /** Returns the headers of a change; none for commands that only read. */
  protected changeHeaders (): Record<string, string> {
    return {}
  }

  /** Sends the request to the control instances in order, until one answers with a status other than 503 or 504, and prints the result. */
  protected async send (call: AdminCall, columns?: readonly string[]): Promise<number> {
    const options = checkSettings(['control', 'token'], this)
    if (options === undefined) return usageExitCode
    const response = await sendToFirstAvailable(options.control, options.token, call, call.change === true ? this.changeHeaders() : {})
    if (response.status === 200) {
      this.print(response.body, columns)
      return 0
    }
    const errorBody = response.body as ErrorBody
    if (this.json) this.context.stdout.write(JSON.stringify(errorBody) + '\n')
    else printFailure({ name: errorBody.error, message: errorBody.message, hint: errorBody.hint })
    return refusedExitCode
  }

  private print (body: unknown, columns: readonly string[] | undefined): void {
    const text = this.json || columns === undefined ? JSON.stringify(body, null, this.json ? undefined : 2) + '\n' : formatTable(body, columns)
    this.context.stdout.write(text)
  }
}

/** Base class of commands that make a change, with a change id and an optional expected revision. */
export abstract class ChangeCommand extends AdminCommand {
  changeId = Option.String('--change-id', { description: 'Identifies the change; a retry under the same id gets the first answer [text; default: random]' })
  expectRevision = Option.String('--expect-revision', { description: 'Revision of the item that the change starts from, 0 for a new one [number; default: any]' })

  protected override changeHeaders (): Record<string, string> {
    const headers: Record<string, string> = { 'x-change-id': this.changeId ?? randomId() }
    if (this.expectRevision !== undefined) headers['x-expect-revision'] = this.expectRevision
    return headers
  }
}

async function sendToFirstAvailable (addresses: readonly string[], token: string, call: AdminCall, headers: Record<string, string>): Promise<AdminResponse> {
  let lastResponse: AdminResponse = { status: 503, body: { error: 'no_control', message: 'no control instance is named', hint: 'Set --control.' } }
  for (const address of addresses) {
    lastResponse = await sendTo(address, token, call, headers)
    if (lastResponse.status !== 503 && lastResponse.status !== 504) return lastResponse
  }
  return lastResponse
}

async function sendTo (address: string, token: string, call: AdminCall, headers: Record<string, string>): Promise<AdminResponse> {
  try {
    const response = await request(`http://${address}${call.path}`, {
      method: call.method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(requestTimeoutMs)
    })
    return { status: response.statusCode, body: await response.body.json() }
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    const body: ErrorBody = { error: 'unreachable', message: `${address}: ${reason}`, hint: 'Send the change again with the same --change-id; it is applied once.' }
    return { status: 504, body }
  }
}

/** Reads a JSON document from a file, or from standard input for "-". */
export async function readDocument (path: string): Promise<{ ok: true, value: unknown } | { ok: false, reason: string }> {
  try {
    const text = path === '-' ? await readAll(process.stdin) : await readFile(path, 'utf8')
    return { ok: true, value: JSON.parse(text) }
  } catch (error) {
    return { ok: false, reason: `${path}: ${error instanceof Error ? error.message : String(error)}` }
  }
}

async function readAll (stream: NodeJS.ReadableStream): Promise<string> {
  let text = ''
  for await (const chunk of stream) text += String(chunk)
  return text
}
