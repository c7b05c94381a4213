import { request } from 'undici'
import { fail } from '../../core/errors/index.ts'
import type { Failure } from '../../core/errors/index.ts'
import type { Explanation, Question } from '../../core/where/index.ts'

const requestTimeoutMs = 5000

/** An explanation, or why there is none. */
export type WhereAnswer = { ok: true, value: Explanation } | { ok: false } & Pick<Failure, 'name' | 'message' | 'hint'>

/** Returns the error of an answer; undefined for an answer of something else than a node of this version. */
function readError (body: unknown): { error: string, message: string, hint: string } | undefined {
  if (typeof body !== 'object' || body === null) return undefined
  const { error, message, hint } = body as Record<string, unknown>
  return typeof error === 'string' && typeof message === 'string' && typeof hint === 'string' ? { error, message, hint } : undefined
}

/** Asks a node where a request would go. The key is sent in a header of this request only. */
export async function askNode (address: string, question: Question, key: string | undefined): Promise<WhereAnswer> {
  try {
    const response = await request(`http://${address}/.dogwoodspring/where`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) },
      body: JSON.stringify(question),
      signal: AbortSignal.timeout(requestTimeoutMs)
    })
    const body = await response.body.json()
    if (response.statusCode === 200) return { ok: true, value: body as Explanation }
    const found = readError(body)
    if (found !== undefined) return { ok: false, name: found.error, message: found.message, hint: found.hint }
    return fail('nodeUnreachable', { address, reason: `it answers with status ${response.statusCode} and is no node that explains requests` })
  } catch (error) {
    return fail('nodeUnreachable', { address, reason: error instanceof Error ? error.message : String(error) })
  }
}
