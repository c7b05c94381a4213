import type { ClaimSlot } from '../config/index.ts'
import { claimWindowMs, maxClaims, maxKeptBytes, releaseMemoryMs } from './constants.ts'
import type { Claim, ClaimPeek, ClaimReply, ClaimRequest, ClaimState, PortableClaim } from './types.ts'

/** Ready members whose claims of a slot were copied in one view. */
export interface CopyProgress {
  view: number
  sources: Set<string>
}

/** Owner of a claim whose copies name different owners. No attempt has this id, so the claim is granted to none. */
const disputedOwner = ''

/** State of a process that holds claims. */
export interface HolderState {
  /** Boot id of this process. */
  boot: string
  /** Latest placement of each slot that this process knows. */
  slots: Record<string, ClaimSlot>
  /** Claims by slot and key. */
  claims: Map<string, Map<string, Claim>>
  /** Progress of copying each slot in its current view. */
  copyProgress: Map<string, CopyProgress>
  /** Attempts that released their claim, with the monotonic time at which the entry expires. Their late requests are not granted. */
  releasedAttempts: Map<string, number>
  count: number
  keptBytes: number
}

/** Creates the state of a holder that has just started and has no claims. */
export function createHolder (boot: string): HolderState {
  return { boot, slots: {}, claims: new Map(), copyProgress: new Map(), releasedAttempts: new Map(), count: 0, keptBytes: 0 }
}

/** Applies a newer placement. A slot never returns to an older view. */
export function updateSlots (state: HolderState, slots: Record<string, ClaimSlot>): void {
  for (const [name, slot] of Object.entries(slots)) {
    const known = state.slots[name]
    if (known !== undefined && known.view >= slot.view) continue
    state.slots[name] = slot
    if (!isMember(state, slot)) dropSlot(state, name)
  }
}

function isMember (state: HolderState, slot: ClaimSlot): boolean {
  return slot.members.some((member) => member.boot === state.boot)
}

function dropSlot (state: HolderState, name: string): void {
  for (const claim of state.claims.get(name)?.values() ?? []) deductClaim(state, claim)
  state.claims.delete(name)
  state.copyProgress.delete(name)
}

function deductClaim (state: HolderState, claim: Claim): void {
  state.count--
  state.keptBytes -= answerBytes(claim.state)
}

function answerBytes (claimState: ClaimState): number {
  return claimState.type === 'done' ? claimState.answer?.body.length ?? 0 : 0
}

function claimsOf (state: HolderState, slot: string): Map<string, Claim> {
  const known = state.claims.get(slot)
  if (known !== undefined) return known
  const created = new Map<string, Claim>()
  state.claims.set(slot, created)
  return created
}

/** Returns the unexpired claim under a key. */
export function readClaim (state: HolderState, slot: string, key: string, now: number): Claim | undefined {
  const claim = state.claims.get(slot)?.get(key)
  return claim !== undefined && claim.expiresAt > now ? claim : undefined
}

/** Returns whether a key is claimed, without claiming it. */
export function peekClaim (state: HolderState, query: { slot: string, view: number, key: string }, now: number): ClaimPeek {
  const slot = state.slots[query.slot]
  if (readClaim(state, query.slot, query.key, now) !== undefined) return 'claimed'
  const mayVote = slot !== undefined && slot.view === query.view && slot.ready.includes(state.boot)
  return mayVote ? 'unclaimed' : 'unsure'
}

/** Decides a request for a claim. Repeated requests of the owning attempt are granted again. */
export function decideClaim (state: HolderState, request: ClaimRequest, now: number): ClaimReply {
  const slot = state.slots[request.slot]
  const known = readClaim(state, request.slot, request.key, now)
  // That a request has ended is true in every view, and for a holder that may not grant.
  if (known?.state.type === 'done') return takenReply(known, now)
  if (slot === undefined || slot.view !== request.view) return { type: 'abstained', reason: 'view' }
  if (!slot.ready.includes(state.boot)) return { type: 'abstained', reason: 'not-ready' }
  if (known !== undefined) return isOwner(known, request) ? { type: 'granted' } : takenReply(known, now)
  if (state.releasedAttempts.has(request.attempt)) return { type: 'abstained', reason: 'released' }
  if (state.count >= maxClaims) return { type: 'abstained', reason: 'full' }
  storeClaim(state, request.slot, {
    key: request.key,
    digest: request.digest,
    attempt: request.attempt,
    runsUntil: now + request.runsForMs,
    expiresAt: now + claimWindowMs,
    state: { type: 'running' }
  })
  return { type: 'granted' }
}

function isOwner (claim: Claim, request: ClaimRequest): boolean {
  return claim.attempt === request.attempt && claim.state.type === 'running'
}

function takenReply (claim: Claim, now: number): ClaimReply {
  if (claim.state.type === 'done') return { type: 'taken', digest: claim.digest, state: 'done' }
  return { type: 'taken', digest: claim.digest, state: now < claim.runsUntil ? 'running' : 'lapsed' }
}

function storeClaim (state: HolderState, slot: string, claim: Claim): void {
  const claims = claimsOf(state, slot)
  const known = claims.get(claim.key)
  if (known !== undefined) deductClaim(state, known)
  claims.set(claim.key, claim)
  state.count++
  state.keptBytes += answerBytes(claim.state)
}

/** Records how the owning attempt ended. A claim that this holder lacks is stored too, for retries to find it. */
export function completeClaim (state: HolderState, request: ClaimRequest, done: ClaimState, now: number): void {
  const slot = state.slots[request.slot]
  if (slot === undefined || !isMember(state, slot)) return
  const known = readClaim(state, request.slot, request.key, now)
  if (known !== undefined && known.state.type === 'done') return
  const size = answerBytes(done)
  const kept: ClaimState = done.type === 'done' && state.keptBytes + size > maxKeptBytes ? { type: 'done', status: done.status } : done
  const expiresAt = known !== undefined && known.attempt === request.attempt ? known.expiresAt : now + claimWindowMs
  storeClaim(state, request.slot, {
    key: request.key,
    digest: request.digest,
    attempt: request.attempt,
    runsUntil: now,
    expiresAt,
    state: kept
  })
}

/** Releases the claim of an attempt that certainly did not run and never will. */
export function releaseClaim (state: HolderState, slot: string, key: string, attempt: string, now: number): void {
  state.releasedAttempts.set(attempt, now + releaseMemoryMs)
  const claims = state.claims.get(slot)
  const known = claims?.get(key)
  if (claims === undefined || known === undefined || known.attempt !== attempt || known.state.type !== 'running') return
  deductClaim(state, known)
  claims.delete(key)
}

/** Returns the claims of a slot for a member that copies it, or undefined until this holder knows the requested view or a later one. */
export function exportClaims (state: HolderState, slot: string, view: number, now: number): PortableClaim[] | undefined {
  const known = state.slots[slot]
  if (known === undefined || known.view < view || !known.ready.includes(state.boot)) return undefined
  const portable: PortableClaim[] = []
  for (const claim of state.claims.get(slot)?.values() ?? []) {
    if (claim.expiresAt <= now) continue
    const { key, digest, attempt, runsUntil, expiresAt, state: claimState } = claim
    portable.push({ key, digest, attempt, runsForMs: runsUntil - now, expiresInMs: expiresAt - now, state: claimState })
  }
  return portable
}

function progressOf (state: HolderState, name: string, slot: ClaimSlot): CopyProgress {
  const known = state.copyProgress.get(name)
  return known !== undefined && known.view === slot.view ? known : { view: slot.view, sources: new Set() }
}

/** Returns the boot ids of the members that this holder still has to copy a slot from. */
export function copySources (state: HolderState, name: string): string[] {
  const slot = state.slots[name]
  if (slot === undefined || !isMember(state, slot) || slot.ready.includes(state.boot) || slot.blockedAt > 0) return []
  const { sources } = progressOf(state, name, slot)
  return slot.ready.filter((boot) => !sources.has(boot))
}

/** Merges the copy that `source` returned for `view`. */
export function mergeCopy (state: HolderState, name: string, view: number, source: string, claims: readonly PortableClaim[], now: number): void {
  const slot = state.slots[name]
  if (slot === undefined || slot.view !== view || !isMember(state, slot)) return
  for (const claim of claims) mergeClaim(state, name, claim, now)
  const progress = progressOf(state, name, slot)
  progress.sources.add(source)
  state.copyProgress.set(name, progress)
}

/** Returns true when this holder has copied enough ready members in the current view to be marked ready itself. */
export function hasEnoughCopies (state: HolderState, name: string): boolean {
  const slot = state.slots[name]
  if (slot === undefined || !isMember(state, slot) || slot.ready.includes(state.boot)) return false
  const { sources } = progressOf(state, name, slot)
  return slot.ready.filter((boot) => sources.has(boot)).length >= slot.copyQuorum
}

/**
 * Merges one copied claim. If copies name different owners, at most one of them can have had a majority,
 * and it is not known which. The claim is then granted to no attempt until its window ends.
 */
function mergeClaim (state: HolderState, name: string, claim: PortableClaim, now: number): void {
  const known = readClaim(state, name, claim.key, now)
  if (known !== undefined && known.state.type === 'done') return
  const agrees = known === undefined || known.attempt === claim.attempt || claim.state.type === 'done'
  const { key, digest, runsForMs, expiresInMs, state: claimState } = claim
  const attempt = agrees ? claim.attempt : disputedOwner
  const expiresAt = Math.max(now + expiresInMs, known?.expiresAt ?? 0)
  storeClaim(state, name, { key, digest, attempt, runsUntil: now + runsForMs, expiresAt, state: claimState })
}

/** Removes claims whose window has passed, and expired entries of released attempts. */
export function expireClaims (state: HolderState, now: number): void {
  for (const claims of state.claims.values()) {
    for (const claim of claims.values()) {
      if (claim.expiresAt > now) continue
      deductClaim(state, claim)
      claims.delete(claim.key)
    }
  }
  for (const [attempt, until] of state.releasedAttempts) {
    if (until > now) break
    state.releasedAttempts.delete(attempt)
  }
}
