import type { Clock } from '../clock/index.ts'
import { fail } from '../errors/index.ts'
import type { Failure } from '../errors/index.ts'
import { checkFresh } from '../freshness/index.ts'
import type { Peers } from '../peers/index.ts'
import type { Dialect } from './dialect.ts'
import type { CallContext } from './types.ts'

/** Returns why a call may not run with its key, or undefined when it may. */
export type KeyCheck = (context: Pick<CallContext, 'workspace' | 'keyId'>) => Failure | undefined

/** Options of the key check. */
export interface KeyCheckOptions {
  configuredBy: Dialect['configuredBy']
  /** Whether a node without a recent beacon refuses calls that need a key. */
  strict: boolean
}

/**
 * Creates the key check. Keys of a deployment are looked up only at the node that receives the request, because another
 * node may not have the deployment revision that added the key.
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
