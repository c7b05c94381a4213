import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { createHmac } from 'node:crypto'
import { H3 } from 'h3'
import type { H3Event } from 'h3'
import { toNodeHandler } from 'h3/node'
import { digest, keyHash } from '../auth/index.ts'
import { fail } from '../errors/index.ts'
import type { Action, AdminAnswer, AdminRequest } from './types.ts'

const maxBodyBytes = 4 * 1024 * 1024
const keyIdDigits = 12
const keySecretLength = 32

/** Hash under which an operator's token is stored. */
export function credentialHash (token: string): string {
  return digest(`dogwoodspring-operator:${token}`)
}

/** Derives a secret text that only the holder of `token` can derive again. */
function derive (token: string, purpose: string): string {
  return createHmac('sha256', token).update(purpose).digest('base64url')
}

/**
 * Derives the key of a `key give` from the operator's token and the change id. A resend of the change
 * gives the same key again, although only its hash is stored.
 */
function deriveKey (token: string, changeId: string, workspace: string): { id: string, clear: string } {
  const purpose = JSON.stringify(['key', changeId, workspace])
  const id = digest(derive(token, `id:${purpose}`)).slice(0, keyIdDigits)
  return { id, clear: `dws_${id}_${derive(token, `secret:${purpose}`).slice(0, keySecretLength)}` }
}

function tokenOf (event: H3Event): string {
  return /^Bearer (.+)$/.exec(event.req.headers.get('authorization') ?? '')?.[1] ?? ''
}

function refusal (reason: string): AdminAnswer {
  const { name, message, hint, status } = fail('badRequest', { reason })
  return { status, body: { error: name, message, hint } }
}

async function readDocument (event: H3Event): Promise<{ ok: true, value: unknown } | { ok: false, reason: string }> {
  if (Number(event.req.headers.get('content-length') ?? 0) > maxBodyBytes) return { ok: false, reason: `the body is larger than ${maxBodyBytes} bytes` }
  const text = await event.req.text()
  if (text === '') return { ok: true, value: {} }
  try {
    return { ok: true, value: JSON.parse(text) }
  } catch {
    return { ok: false, reason: 'the body is not valid JSON' }
  }
}

function baseRequest (event: H3Event, action: Action): AdminRequest {
  const headers = event.req.headers
  const expected = headers.get('x-expect-revision')
  const { name } = event.context.params ?? {}
  return {
    action,
    credential: credentialHash(tokenOf(event)),
    name: name === undefined ? undefined : decodeURIComponent(name),
    changeId: headers.get('x-change-id') ?? undefined,
    expectRevision: expected === null ? undefined : Number(expected),
    query: Object.fromEntries(new URL(event.req.url).searchParams)
  }
}

/** Passes a request to the leader. */
export type Forward = (request: AdminRequest) => Promise<AdminAnswer>

function send (event: H3Event, { status, body }: AdminAnswer): unknown {
  event.res.status = status
  return body
}

/** Creates the HTTP server of the administration API. */
export function createAdminServer (forward: Forward, expose: () => string): Server {
  const app = new H3()
  app.get('/metrics', (event) => {
    event.res.headers.set('content-type', 'text/plain; version=0.0.4')
    return expose()
  })
  const read = (action: Action) => async (event: H3Event) => send(event, await forward(baseRequest(event, action)))
  const write = (action: Action, wrap: (document: unknown) => unknown) => async (event: H3Event) => {
    const document = await readDocument(event)
    if (!document.ok) return send(event, refusal(document.reason))
    return send(event, await forward({ ...baseRequest(event, action), body: wrap(document.value) }))
  }
  const value = (document: unknown) => ({ value: document })
  const wrapDeployment = (document: unknown) => ({ value: document, source: JSON.stringify(document) })
  const plain = (document: unknown) => document
  const giveKey = async (event: H3Event) => {
    const document = await readDocument(event)
    if (!document.ok) return send(event, refusal(document.reason))
    const request = baseRequest(event, 'key.give')
    const { workspace } = document.value as { workspace?: unknown }
    if (typeof workspace !== 'string') return send(event, refusal('workspace is missing'))
    const changeId = request.changeId ?? digest(String(Math.random()) + Date.now())
    const key = deriveKey(tokenOf(event), changeId, workspace)
    const answer = await forward({ ...request, changeId, name: key.id, body: { workspace, hash: keyHash(key.clear) } })
    if (answer.status !== 200) return send(event, answer)
    return send(event, { status: 200, body: { ...answer.body as object, id: key.id, workspace, key: key.clear } })
  }
  const giveOperator = (document: unknown) => {
    const { token, scopes } = document as { token?: unknown, scopes?: unknown }
    return { hash: typeof token === 'string' && token.length >= 16 ? credentialHash(token) : 'the token needs 16 characters', scopes }
  }
  app.get('/v1/status', read('status'))
  app.get('/v1/deployment', read('deployment.get'))
  app.put('/v1/deployment', write('deployment.set', wrapDeployment))
  app.get('/v1/templates', read('template.list'))
  app.get('/v1/templates/:name', read('template.get'))
  app.put('/v1/templates/:name', write('template.set', value))
  app.get('/v1/workspaces', read('workspace.list'))
  app.get('/v1/workspaces/:name', read('workspace.get'))
  app.put('/v1/workspaces/:name', write('workspace.set', value))
  app.get('/v1/keys', read('key.list'))
  app.post('/v1/keys', giveKey)
  app.delete('/v1/keys/:name', read('key.withdraw'))
  app.get('/v1/operators', read('operator.list'))
  app.put('/v1/operators/:name', write('operator.give', giveOperator))
  app.delete('/v1/operators/:name', read('operator.withdraw'))
  app.get('/v1/quarantine', read('quarantine.list'))
  app.delete('/v1/quarantine/:name', read('quarantine.release'))
  app.get('/v1/members', read('member.list'))
  app.put('/v1/members/:name', write('member.add', plain))
  app.delete('/v1/members/:name', read('member.remove'))
  app.get('/v1/audit', read('audit'))
  return createServer({ requestTimeout: 30_000 }, toNodeHandler(app))
}
