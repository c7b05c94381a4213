import { hash, randomBytes, timingSafeEqual } from 'node:crypto'

const secretBytes = 24
const idBytes = 6
const poolBytes = 4096
const keyPattern = /^dws_([0-9a-f]{12})_([A-Za-z0-9_-]{32})$/

/** A new key. Its clear text exists only in the answer to the operator and in callers' requests. */
export interface IssuedKey {
  id: string
  clear: string
  hash: string
}

/** Returns the SHA-256 digest of a text or buffer in hexadecimal. */
export function digest (content: string | Uint8Array): string {
  return hash('sha256', content, 'hex')
}

/** Returns the hash that is stored for a key in clear text. The secret part has 192 random bits and needs no key stretching. */
export function hashKey (clear: string): string {
  return digest(`dogwoodspring-key:${clear}`)
}

/** Compares two hexadecimal digests in constant time. */
export function equalDigests (left: string, right: string): boolean {
  return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right))
}

let pool = Buffer.alloc(0)
let poolOffset = 0

/** Returns a random identifier of 2 × `bytes` hexadecimal digits. Random bytes are drawn from a pool that is filled in blocks. */
export function randomId (bytes = 8): string {
  if (poolOffset + bytes > pool.length) {
    pool = randomBytes(poolBytes)
    poolOffset = 0
  }
  const id = pool.toString('hex', poolOffset, poolOffset + bytes)
  poolOffset += bytes
  return id
}

/** Creates a new key. */
export function issueKey (): IssuedKey {
  const id = randomId(idBytes)
  const clear = `dws_${id}_${randomBytes(secretBytes).toString('base64url')}`
  return { id, clear, hash: hashKey(clear) }
}

/** Returns the public id of a well-formed key, or undefined for other texts. */
export function parseKey (clear: string): string | undefined {
  return keyPattern.exec(clear)?.[1]
}
