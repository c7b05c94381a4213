import type { Clock } from '../clock/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import { checkFresh } from '../freshness/index.ts'
import type { Peers } from '../peers/index.ts'
import type { Dialect } from './dialect.ts'
import type { CallContext } from './types.ts'

/** Says why a call may not run for the key that came with it, or undefined. */
export type KeyCheck = (context: Pick<CallContext, 'workspace' | 'keyId'>) => Failure | undefined

/** How keys are checked. */
export interface KeyCheckOptions {
  configuredBy: Dialect['configuredBy']
  /** A node that has not heard of a quorum for a while refuses calls that need a key. */
  strict: boolean
}

/**
 * Creates the check of keys. Keys of a deployment are looked up where the request comes in only: another
 * node may not have the version yet that brought the key.
 */
export function createKeyCheck (peers: Peers, clock: Clock, { configuredBy, strict }: KeyCheckOptions): KeyCheck {
  return ({ workspace, keyId }) => {
    if (workspace === null) return undefined
    const fresh = checkFresh(peers.freshness, clock.now())
    if (strict && !fresh.ok) return fresh
    if (configuredBy === 'deployment') return undefined
    const key = peers.configuration().keys[keyId ?? '']
    if (key?.workspace === workspace) return undefined
    return fail('unauthorized', { reason: 'the key was withdrawn' })
  }
}
