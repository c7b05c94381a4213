import { createHmac, timingSafeEqual } from 'node:crypto'
import { randomId } from './keys.ts'
import { createReplayFilter } from './replay-filter.ts'

const macLength = 22 // base64url digits, 132 bits of the SHA-256 HMAC
const maxAgeMs = 30_000

/** Signs messages between processes, verifies their signatures and detects replays. */
export interface Sealer {
  /** Returns the signature of a message: time, nonce and MAC. */
  seal: (content: string | Uint8Array, date: Date) => string
  /** Returns true for a recent, authentic message that was not seen before. */
  open: (signature: string, content: string | Uint8Array, date: Date) => boolean
}

function computeMac (secret: string, stamp: string, content: string | Uint8Array): string {
  return createHmac('sha256', secret).update(stamp).update('\n').update(content).digest('base64url').slice(0, macLength)
}

/** Compares the bytes, because characters that are not ASCII take several and the comparison throws on different lengths. */
function equalMacs (left: string, right: string): boolean {
  const [leftBytes, rightBytes] = [Buffer.from(left), Buffer.from(right)]
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes)
}

/**
 * Creates a sealer from the cluster's secrets. Messages are signed with the first secret and accepted with any of them,
 * which allows rotating a secret in three rolling restarts.
 */
export function createSealer (secrets: readonly string[]): Sealer {
  const replayFilter = createReplayFilter(2 * maxAgeMs)
  const noncePrefix = randomId()
  let counter = 0
  return {
    seal (content, date) {
      const stamp = `${date.getTime()}.${noncePrefix}${(counter++).toString(36)}`
      return `${stamp}.${computeMac(secrets[0], stamp, content)}`
    },
    open (signature, content, date) {
      const [time, nonce, receivedMac] = signature.split('.')
      if (receivedMac === undefined || Math.abs(date.getTime() - Number(time)) > maxAgeMs) return false
      const stamp = `${time}.${nonce}`
      const isAuthentic = secrets.some((secret) => equalMacs(computeMac(secret, stamp, content), receivedMac))
      return isAuthentic && replayFilter.accept(stamp, date.getTime())
    }
  }
}
