import { digest } from '../auth/index.ts'
import type { ClaimSlot } from '../config/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { verdictOnReplies, createClaimTally, recordReply } from './claimant.ts'
import type { Verdict } from './claimant.ts'
import { claimRetryMs, claimTimeoutMs, maxClaimAgeMs, maxStoreMs } from './constants.ts'
import { majority, slotOf } from './placement.ts'
import type { Hash } from './placement.ts'
import type { ClaimPeek, ClaimReply, ClaimRequest, ClaimState, KeptAnswer } from './types.ts'

const viewRetryMs = 40
const readTimeoutMs = 1000
const completeTimeoutMs = 1000
const completeAttempts = 4

/** A claim that an attempt owns or has requested. */
export interface HeldClaim {
  request: ClaimRequest
}

/** Verdict on a claim, with the stored answer if there is one. */
export type ClaimResult =
  | { type: 'granted', claim: HeldClaim }
  | { type: 'done', status: number, answer?: KeptAnswer }
  | Exclude<Verdict, { type: 'granted' } | { type: 'done' }>

/** Acquires, completes and releases claims for the attempts of one node. */
export interface ClaimClient {
  acquire: (key: string, requestDigest: string, attempt: string, runsForMs: number) => Promise<ClaimResult>
  /** Records the end of the request, and its answer for retries. Resolves once a majority of the holders have stored it, or at the latest after `maxStoreMs`. */
  complete: (claim: HeldClaim, state: ClaimState) => Promise<void>
  /** Releases the claim of a request that certainly did not run. */
  release: (claim: HeldClaim) => void
  /** Returns true when a majority of the holders report that they have no claim under the key, and no holder reports one. */
  isUnclaimed: (key: string) => Promise<boolean>
}

/** Creates the claim client of one node. */
export function createClaimClient (peers: Peers, { clock, metrics }: Environment, hash: Hash): ClaimClient {
  const addressOf = (slot: ClaimSlot, boot: string) => {
    const member = slot.members.find((candidate) => candidate.boot === boot)
    return peers.members().find((candidate) => candidate.id === member?.node && candidate.boot === boot)?.address
  }
  const holderAddresses = (request: ClaimRequest) => {
    const slot = peers.configuration().slots[request.slot]
    return slot?.members.map((member) => addressOf(slot, member.boot)).filter((address) => address !== undefined) ?? []
  }
  const release = (request: ClaimRequest) => {
    for (const address of holderAddresses(request)) {
      void peers.datagrams.request(address, 'claim.release', request, { retryMs: claimRetryMs, timeoutMs: claimTimeoutMs })
    }
  }
  const requestClaim = (slot: ClaimSlot, request: ClaimRequest, timeoutMs: number) => new Promise<Verdict>((resolve) => {
    const tally = createClaimTally(slot, request.digest)
    const receive = (boot: string, reply: ClaimReply) => {
      const verdict = recordReply(tally, boot, reply)
      if (verdict !== undefined) finish(verdict)
    }
    const finish = (verdict: Verdict) => {
      clearTimeout(timeout)
      resolve(verdict)
    }
    const timeout = setTimeout(() => finish(verdictOnReplies(tally)), timeoutMs)
    for (const boot of slot.ready) {
      const address = addressOf(slot, boot)
      if (address === undefined) continue
      void peers.datagrams.request<ClaimReply>(address, 'claim', request, { retryMs: claimRetryMs, timeoutMs })
        .then((answer) => answer.ok && receive(boot, answer.value))
    }
    if (tally.asked.length < tally.quorum) finish(verdictOnReplies(tally))
  })
  const readAnswer = async (slot: ClaimSlot, request: ClaimRequest, holder: string): Promise<ClaimResult> => {
    const address = addressOf(slot, holder)
    if (address === undefined) return { type: 'lapsed' }
    const read = await peers.rpc.call<ClaimState | null>(address, 'claim.read', request, readTimeoutMs)
    if (!read.ok || read.value === null || read.value.type !== 'done') return { type: 'lapsed' }
    return read.value
  }
  const acquire = async (key: string, requestDigest: string, attempt: string, runsForMs: number): Promise<ClaimResult> => {
    const startedAt = clock.now()
    const keyHash = digest(key).slice(0, 32)
    const name = slotOf(keyHash, hash)
    const base = { slot: name, key: keyHash, digest: requestDigest, attempt, runsForMs }
    let verdict: Verdict = { type: 'unavailable', reason: 'no holders are placed yet' }
    let request: ClaimRequest = { ...base, view: 0 }
    while (clock.now() - startedAt < claimTimeoutMs) {
      const slot = peers.configuration().slots[name]
      if (slot !== undefined) {
        request = { ...base, view: slot.view }
        verdict = await requestClaim(slot, request, claimTimeoutMs)
        if (verdict.type === 'done') return await readAnswer(slot, request, verdict.holder)
        if (verdict.type !== 'unavailable') break
      }
      await new Promise((resolve) => setTimeout(resolve, viewRetryMs))
    }
    if (verdict.type === 'granted' && clock.now() - startedAt < maxClaimAgeMs) {
      metrics.time('claim', clock.now() - startedAt)
      return { type: 'granted', claim: { request } }
    }
    release(request)
    if (verdict.type === 'granted') return { type: 'unavailable', reason: 'the claim came too late' }
    return verdict as ClaimResult
  }
  /** Resolves with true once the holder has stored the end of the request. */
  const sendCompletion = async (boot: string, request: ClaimRequest, state: ClaimState): Promise<boolean> => {
    for (let attempt = 0; attempt < completeAttempts; attempt++) {
      const slot = peers.configuration().slots[request.slot]
      const address = slot && addressOf(slot, boot)
      if (address === undefined) return false
      const answer = await peers.rpc.call(address, 'claim.complete', { request, state }, completeTimeoutMs)
      if (answer.ok) return true
    }
    return false
  }
  const isUnclaimed = async (key: string): Promise<boolean> => {
    const keyHash = digest(key).slice(0, 32)
    const slot = peers.configuration().slots[slotOf(keyHash, hash)]
    if (slot === undefined) return false
    const query = { slot: slotOf(keyHash, hash), view: slot.view, key: keyHash }
    const answers = await Promise.all(slot.ready.map(async (boot) => {
      const address = addressOf(slot, boot)
      if (address === undefined) return undefined
      return await peers.datagrams.request<ClaimPeek>(address, 'claim.peek', query, { retryMs: claimRetryMs, timeoutMs: claimTimeoutMs })
    }))
    const peeks = answers.filter((answer) => answer?.ok === true).map((answer) => answer?.ok === true && answer.value)
    return !peeks.includes('claimed') && peeks.filter((peek) => peek === 'unclaimed').length >= majority(slot.members.length)
  }
  return {
    acquire,
    isUnclaimed,
    complete ({ request }, state) {
      const members = peers.configuration().slots[request.slot]?.members ?? []
      return new Promise((resolve) => {
        let missing = majority(members.length)
        const timeout = setTimeout(resolve, maxStoreMs)
        const count = (isStored: boolean) => {
          if (!isStored || --missing > 0) return
          clearTimeout(timeout)
          resolve()
        }
        for (const { boot } of members) void sendCompletion(boot, request, state).then(count)
      })
    },
    release: ({ request }) => release(request)
  }
}
