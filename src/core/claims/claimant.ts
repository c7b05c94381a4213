import type { ClaimSlot } from '../config/index.ts'
import { majority } from './placement.ts'
import type { ClaimReply } from './types.ts'

/** Replies of the holders to one attempt in one view. */
export interface ClaimTally {
  digest: string
  quorum: number
  /** Boot ids of the ready members that the request was sent to. */
  asked: string[]
  replies: Map<string, ClaimReply>
}

/** Outcome of an attempt's request for a claim. */
export type Verdict =
  /** A majority granted the claim: the request may run. */
  | { type: 'granted' }
  /** The key belongs to another request. */
  | { type: 'key-reused' }
  /** The request ran; `holder` stores its result. */
  | { type: 'done', holder: string }
  /** Another attempt owns the claim and may be running. */
  | { type: 'running' }
  /** Another attempt owned the claim and its run time has passed: it may have run. */
  | { type: 'lapsed' }
  /** No majority answered: this attempt does not run. */
  | { type: 'unavailable', reason: string }

/** Creates an empty tally for an attempt. */
export function createClaimTally (slot: ClaimSlot, digest: string): ClaimTally {
  return { digest, quorum: majority(slot.members.length), asked: slot.ready, replies: new Map() }
}

/** Records one reply. Returns the verdict as soon as further replies cannot change it. */
export function recordReply (tally: ClaimTally, holder: string, reply: ClaimReply): Verdict | undefined {
  tally.replies.set(holder, reply)
  if (reply.type === 'taken' && reply.digest !== tally.digest) return { type: 'key-reused' }
  if (reply.type === 'taken' && reply.state === 'done') return { type: 'done', holder }
  if (countGrants(tally) >= tally.quorum) return { type: 'granted' }
  const outstanding = tally.asked.length - tally.replies.size
  if (countGrants(tally) + outstanding >= tally.quorum) return undefined
  const verdict = verdictOnReplies(tally)
  // The end of the request may be stored at a holder that has not replied yet.
  return verdict.type === 'lapsed' && outstanding > 0 ? undefined : verdict
}

function countGrants (tally: ClaimTally): number {
  let count = 0
  for (const reply of tally.replies.values()) {
    if (reply.type === 'granted') count++
  }
  return count
}

/** Returns the verdict on the replies received so far. */
export function verdictOnReplies (tally: ClaimTally): Verdict {
  let lapsed = false
  for (const reply of tally.replies.values()) {
    if (reply.type !== 'taken') continue
    if (reply.state === 'running') return { type: 'running' }
    lapsed = true
  }
  if (lapsed) return { type: 'lapsed' }
  const needed = `${tally.quorum} holders must answer, ${countGrants(tally)} granted`
  return { type: 'unavailable', reason: needed }
}
