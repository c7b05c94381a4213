import { createServer as createUnboundedServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { createHmac } from 'node:crypto'
import { H3 } from 'h3'
import type { H3Event } from 'h3'
import { toNodeHandler } from 'h3/node'
import { digest, hashKey } from '../auth/index.ts'
import { fail } from '../errors/index.ts'
import { createAnswerRoom, holdAnswer, maxRequestsAhead, readDocument } from '../http/index.ts'
import type { AnswerRoom, ServerFactory } from '../http/index.ts'
import type { Action, AdminAnswer, AdminRequest } from './types.ts'

const maxBodyBytes = 4 * 1024 * 1024
/** Largest depth of nesting of a document; valid ones have a few levels. */
const maxDepth = 32
const keyIdDigits = 12
const keySecretLength = 32

/** Returns the hash under which an operator's token is stored. */
export function credentialHash (token: string): string {
  return digest(`dogwoodspring-operator:${token}`)
}

/** Derives a secret that only an owner of `token` can derive again. */
function deriveSecret (token: string, purpose: string): string {
  return createHmac('sha256', token).update(purpose).digest('base64url')
}

/**
 * Derives the key of a `key give` from the operator's token and the change id. A retry of the change
 * returns the same key, although only its hash is stored.
 */
function deriveKey (token: string, changeId: string, workspace: string): { id: string, clear: string } {
  const purpose = JSON.stringify(['key', changeId, workspace])
  const id = digest(deriveSecret(token, `id:${purpose}`)).slice(0, keyIdDigits)
  return { id, clear: `dws_${id}_${deriveSecret(token, `secret:${purpose}`).slice(0, keySecretLength)}` }
}

function bearerToken (event: H3Event): string {
  return /^Bearer (.+)$/.exec(event.req.headers.get('authorization') ?? '')?.[1] ?? ''
}

function badRequestAnswer (reason: string): AdminAnswer {
  const { name, message, hint, status } = fail('badRequest', { reason })
  return { status, body: { error: name, message, hint } }
}

async function readObject (event: H3Event): Promise<{ ok: true, value: object } | { ok: false, reason: string }> {
  const document = await readDocument(event.req, { maxBytes: maxBodyBytes, maxDepth, isOptional: true })
  if (!document.ok) return document
  const { value } = document
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return { ok: false, reason: 'the document is no object' }
  return { ok: true, value }
}

function baseRequest (event: H3Event, action: Action): AdminRequest {
  const headers = event.req.headers
  const expected = headers.get('x-expect-revision')
  const { name } = event.context.params ?? {}
  return {
    action,
    credential: credentialHash(bearerToken(event)),
    name: name === undefined ? undefined : decodeURIComponent(name),
    changeId: headers.get('x-change-id') ?? undefined,
    expectRevision: expected === null ? undefined : Number(expected),
    query: Object.fromEntries(new URL(event.req.url).searchParams)
  }
}

/** Forwards a request to the leader, or handles it when this instance is the leader. */
export type ForwardRequest = (request: AdminRequest) => Promise<AdminAnswer>

function sendWithinRoom (room: AnswerRoom, event: H3Event, { status, body }: AdminAnswer): unknown {
  const text = JSON.stringify(body ?? null)
  event.res.headers.set('content-type', 'application/json;charset=UTF-8')
  if (holdAnswer(room, event, text)) {
    event.res.status = status
    return text
  }
  const { name, message, hint, status: refused } = fail('noAnswerRoom')
  event.res.headers.set('retry-after', '1')
  event.res.status = refused
  return JSON.stringify({ error: name, message, hint })
}

/** Creates the HTTP server of the administration API and of the metrics page. */
export function createAdminServer (forward: ForwardRequest, exposeMetrics: () => string, createServer: ServerFactory = createUnboundedServer): Server {
  const app = new H3()
  const room = createAnswerRoom()
  const sendAnswer = (event: H3Event, answer: AdminAnswer) => sendWithinRoom(room, event, answer)
  app.get('/metrics', (event) => {
    event.res.headers.set('content-type', 'text/plain; version=0.0.4')
    return exposeMetrics()
  })
  const forwardAction = (action: Action) => async (event: H3Event) => sendAnswer(event, await forward(baseRequest(event, action)))
  const forwardDocument = (action: Action, wrap: (document: unknown) => unknown) => async (event: H3Event) => {
    const document = await readObject(event)
    if (!document.ok) return sendAnswer(event, badRequestAnswer(document.reason))
    return sendAnswer(event, await forward({ ...baseRequest(event, action), body: wrap(document.value) }))
  }
  const wrapValue = (document: unknown) => ({ value: document })
  const wrapDeployment = (document: unknown) => ({ value: document, source: JSON.stringify(document) })
  const passThrough = (document: unknown) => document
  const handleKeyGive = async (event: H3Event) => {
    const document = await readObject(event)
    if (!document.ok) return sendAnswer(event, badRequestAnswer(document.reason))
    const request = baseRequest(event, 'key.give')
    const { workspace } = document.value as { workspace?: unknown }
    if (typeof workspace !== 'string') return sendAnswer(event, badRequestAnswer('workspace is missing'))
    const changeId = request.changeId ?? digest(String(Math.random()) + Date.now())
    const key = deriveKey(bearerToken(event), changeId, workspace)
    const answer = await forward({ ...request, changeId, name: key.id, body: { workspace, hash: hashKey(key.clear) } })
    if (answer.status !== 200) return sendAnswer(event, answer)
    return sendAnswer(event, { status: 200, body: { ...answer.body as object, id: key.id, workspace, key: key.clear } })
  }
  const wrapOperator = (document: unknown) => {
    const { token, scopes } = document as { token?: unknown, scopes?: unknown }
    return { hash: typeof token === 'string' && token.length >= 16 ? credentialHash(token) : 'the token needs 16 characters', scopes }
  }
  app.get('/v1/status', forwardAction('status'))
  app.get('/v1/deployment', forwardAction('deployment.get'))
  app.put('/v1/deployment', forwardDocument('deployment.set', wrapDeployment))
  app.get('/v1/templates', forwardAction('template.list'))
  app.get('/v1/templates/:name', forwardAction('template.get'))
  app.put('/v1/templates/:name', forwardDocument('template.set', wrapValue))
  app.get('/v1/workspaces', forwardAction('workspace.list'))
  app.get('/v1/workspaces/:name', forwardAction('workspace.get'))
  app.put('/v1/workspaces/:name', forwardDocument('workspace.set', wrapValue))
  app.get('/v1/keys', forwardAction('key.list'))
  app.post('/v1/keys', handleKeyGive)
  app.delete('/v1/keys/:name', forwardAction('key.withdraw'))
  app.get('/v1/operators', forwardAction('operator.list'))
  app.put('/v1/operators/:name', forwardDocument('operator.give', wrapOperator))
  app.delete('/v1/operators/:name', forwardAction('operator.withdraw'))
  app.get('/v1/quarantine', forwardAction('quarantine.list'))
  app.delete('/v1/quarantine/:name', forwardAction('quarantine.release'))
  app.get('/v1/members', forwardAction('member.list'))
  app.put('/v1/members/:name', forwardDocument('member.add', passThrough))
  app.delete('/v1/members/:name', forwardAction('member.remove'))
  app.get('/v1/audit', forwardAction('audit'))
  return createServer({ requestTimeout: 30_000 }, toNodeHandler(app) as RequestListener, maxRequestsAhead)
}
