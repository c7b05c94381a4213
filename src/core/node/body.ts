import { createHash } from 'node:crypto'
import type { Hash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { digest } from '../auth/index.ts'
import { fail, succeed } from '../errors/index.ts'
import type { Failure, Outcome } from '../errors/index.ts'
import type { BodyBudget, Release } from './body-budget.ts'

const emptyBody = Buffer.alloc(0)

/** Room reserved at first for a body of unknown length, in bytes. It grows by `growthFactor`. */
const firstCapacity = 64 * 1024
const growthFactor = 8

/** A complete request body. */
export interface ReadBody {
  bytes: Buffer
  /** Digest over the method, the path and the body. */
  digest: string
  /** Returns the room of the body, once its bytes are needed no more. */
  release: Release
}

/** Where a body is read into. */
export interface BodyRoom {
  maxBytes: number
  budget: BodyBudget
  /** Time for which a body waits for room, in milliseconds. */
  waitMs: number
  /** Returns the time within which the body has to be complete from now on, in milliseconds. */
  timeLeftMs: () => number
}

/** Returns what precedes the body in the digest of a request. */
function digestPrefix ({ method, url }: IncomingMessage): string {
  return `${method ?? 'GET'} ${url ?? '/'}\n`
}

function startDigest (request: IncomingMessage): Hash {
  return createHash('sha256').update(digestPrefix(request))
}

function reserveRoom ({ budget, waitMs }: BodyRoom, bytes: number): Promise<Outcome<Release>> | Outcome<Release> {
  const settle = (release: Release | undefined): Outcome<Release> => release === undefined ? fail('noBodyRoom') : succeed(release)
  const reserved = budget.reserve(bytes, waitMs)
  return reserved instanceof Promise ? reserved.then(settle) : settle(reserved)
}

/**
 * Reads a complete request body of at most `maxBytes`. Fails for one that is larger or incomplete, or for which there is no room; nothing is read while it
 * waits for room. The body is held once, and its digest is computed while it is read.
 */
export function readBody (request: IncomingMessage, room: BodyRoom): Promise<Outcome<ReadBody>> | Outcome<ReadBody> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) {
    request.resume()
    return succeed({ bytes: emptyBody, digest: digest(digestPrefix(request)), release () {} })
  }
  if (Number(length ?? 0) > room.maxBytes) return fail('bodyTooLarge', { limit: room.maxBytes })
  return receive(request, room, length === undefined ? firstCapacity : Number(length))
}

async function receive (request: IncomingMessage, room: BodyRoom, firstBytes: number): Promise<Outcome<ReadBody>> {
  const reserved = await reserveRoom(room, firstBytes)
  if (!reserved.ok) return reserved
  const releases = [reserved.value]
  const release = () => {
    for (const releaseOne of releases) releaseOne()
  }
  let bytes: Buffer = Buffer.allocUnsafe(firstBytes)
  let size = 0
  const bodyDigest = startDigest(request)
  /** Extends the room to at least `needed` bytes. Returns a failure if there is none at once: who holds room must not wait for more. */
  const grow = (needed: number): Failure | undefined => {
    const capacity = Math.min(room.maxBytes, Math.max(needed, bytes.length * growthFactor))
    const added = room.budget.reserve(capacity - bytes.length, 0)
    if (typeof added !== 'function') return fail('noBodyRoom')
    releases.push(added)
    const grown = Buffer.allocUnsafe(capacity)
    bytes.copy(grown, 0, 0, size)
    bytes = grown
    return undefined
  }
  const add = (chunk: Buffer): Failure | undefined => {
    if (size + chunk.length > room.maxBytes) return fail('bodyTooLarge', { limit: room.maxBytes })
    const failure = size + chunk.length > bytes.length ? grow(size + chunk.length) : undefined
    if (failure !== undefined) return failure
    chunk.copy(bytes, size)
    size += chunk.length
    bodyDigest.update(chunk)
    return undefined
  }
  const outcome = await new Promise<Outcome<null>>((resolve) => {
    const breakOff = () => resolve(fail('badRequest', { reason: 'the request body broke off' }))
    if (request.destroyed) return breakOff()
    let isRefused = false
    const refuse = (failure: Failure) => {
      isRefused = true
      resolve(failure)
    }
    const timer = setTimeout(() => refuse(fail('deadline', { stage: 'before the body of the request had arrived' })), room.timeLeftMs())
    request.on('data', (chunk: Buffer) => {
      const failure = isRefused ? undefined : add(chunk)
      if (failure !== undefined) refuse(failure)
    })
    request.on('end', () => resolve(succeed(null)))
    request.on('close', () => clearTimeout(timer))
    request.on('close', breakOff)
    request.on('error', breakOff)
  })
  if (outcome.ok) return succeed({ bytes: bytes.subarray(0, size), digest: bodyDigest.digest('hex'), release })
  release()
  return outcome
}
