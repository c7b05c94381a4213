import { H3 } from 'h3'
import type { H3Event } from 'h3'
import { toNodeHandler } from 'h3/node'
import * as v from 'valibot'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { isAddress } from '../address/index.ts'
import { check } from '../config/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import { checkFresh } from '../freshness/index.ts'
import { readDocument } from '../http/index.ts'
import { createRefusalRecorder } from '../log/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { questionSchema } from '../where/index.ts'
import type { OwnTarget } from './target.ts'
import type { Where } from './where.ts'

/** Largest announcement, in bytes. */
const maxAnnouncementBytes = 64 * 1024

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000))

/** Schema of the announcement with which a target registers at its node. */
export const announcementSchema = v.strictObject({
  service: v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a service name has lower-case letters, digits and hyphens')),
  /** Address at which the node connects to the target. Example: "127.0.0.1:8080". */
  address: v.pipe(v.string(), v.check(isAddress, 'an address is IP:PORT')),
  /** Number of requests that the target serves concurrently. */
  slots: countSchema,
  /** Number of connections that the target accepts. Default: as many as slots. */
  connections: v.optional(countSchema),
  /** "leaving" asks for no new requests. Default: "up". */
  state: v.optional(v.picklist(['up', 'leaving']), 'up')
})

/** Largest question where a request would go, in bytes. */
const maxQuestionBytes = 16 * 1024

function writeFailure (event: H3Event, { name, message, hint, status }: Failure): unknown {
  event.res.status = status
  return { error: name, message, hint }
}

function writeBadRequest (event: H3Event, reason: string): unknown {
  return writeFailure(event, fail('badRequest', { reason }))
}

/** Returns the key of an Authorization header; an empty one, which nobody has, for a header of another form. */
function bearerOf (authorization: string): string {
  return /^Bearer (.+)$/i.exec(authorization)?.[1] ?? ''
}

/** Creates the handler of the node's own paths on the loopback listener. */
export function createLocalHandler (peers: Peers, target: OwnTarget, environment: Environment, where: Where): (request: IncomingMessage, response: ServerResponse) => void {
  const { clock, metrics } = environment
  const recordRefusal = createRefusalRecorder(environment)
  const app = new H3()
  app.put('/.dogwoodspring/target', async (event) => {
    const document = await readDocument(event.req, { maxBytes: maxAnnouncementBytes })
    const checked = document.ok ? check(announcementSchema, document.value) : document
    if (!checked.ok) {
      recordRefusal('announcements_refused_total', checked.reason)
      return writeBadRequest(event, checked.reason)
    }
    target.announce({ ...checked.value, connections: checked.value.connections ?? checked.value.slots })
    return { renewWithinMs: 10_000, state: target.current()?.state }
  })
  app.get('/.dogwoodspring/status', () => {
    const fresh = checkFresh(peers.freshness, clock.now())
    return {
      node: peers.self(),
      revision: peers.configuration().revision,
      fresh: fresh.ok,
      running: target.gate.running(),
      limit: Math.floor(target.gate.limit()),
      load: target.gate.load()
    }
  })
  app.post('/.dogwoodspring/where', async (event) => {
    const document = await readDocument(event.req, { maxBytes: maxQuestionBytes })
    const question = document.ok ? check(questionSchema, document.value) : document
    if (!question.ok) return writeBadRequest(event, question.reason)
    const authorization = event.req.headers.get('authorization')
    const explained = where(question.value, authorization === null ? undefined : bearerOf(authorization))
    return explained.ok ? explained.value : writeFailure(event, explained)
  })
  app.get('/metrics', (event) => {
    event.res.headers.set('content-type', 'text/plain; version=0.0.4')
    return metrics.expose()
  })
  return toNodeHandler(app) as (request: IncomingMessage, response: ServerResponse) => void
}
