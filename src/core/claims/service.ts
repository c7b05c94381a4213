import type { Environment, Peers } from '../peers/index.ts'
import { completeClaim, exportClaims, copySources, createHolder, decideClaim, expireClaims, hasEnoughCopies, mergeCopy, peekClaim, readClaim, releaseClaim, updateSlots } from './holder.ts'
import type { ClaimRequest, ClaimState, PortableClaim } from './types.ts'

const copyTimeoutMs = 3000
const copyIntervalMs = 200
const expireIntervalMs = 5000
const readyTimeoutMs = 2000

/** Serves the claims that this process holds for the fleet. */
export interface ClaimService {
  close: () => void
  /** Returns the number of claims in memory. */
  size: () => number
}

/** Starts to serve claims and to copy the slots that this process has become a member of. */
export function serveClaims (peers: Peers, { clock, metrics }: Environment): ClaimService {
  const state = createHolder(peers.boot)
  let copying = false
  peers.onConfigurationChange((configuration) => updateSlots(state, configuration.slots))
  peers.datagrams.method('claim', (request: ClaimRequest) => {
    const reply = decideClaim(state, request, clock.now())
    metrics.count(`claims_total{reply="${reply.type}"}`)
    return reply
  })
  peers.datagrams.method('claim.release', ({ slot, key, attempt }: ClaimRequest) => {
    releaseClaim(state, slot, key, attempt, clock.now())
    return null
  })
  peers.datagrams.method('claim.peek', (query: { slot: string, view: number, key: string }) => peekClaim(state, query, clock.now()))
  peers.rpcServer.method('claim.read', ({ slot, key }: ClaimRequest) => readClaim(state, slot, key, clock.now())?.state ?? null)
  peers.rpcServer.method('claim.complete', ({ request, state: finalState }: { request: ClaimRequest, state: ClaimState }) => {
    completeClaim(state, request, finalState, clock.now())
    return null
  })
  peers.rpcServer.method('claim.copy', ({ slots }: { slots: Record<string, number> }) => {
    const copies: Record<string, PortableClaim[]> = {}
    for (const [name, view] of Object.entries(slots)) {
      const claims = exportClaims(state, name, view, clock.now())
      if (claims !== undefined) copies[name] = claims
    }
    return copies
  })

  const pendingCopies = () => {
    const bySource = new Map<string, Record<string, number>>()
    for (const [name, slot] of Object.entries(state.slots)) {
      for (const source of copySources(state, name)) {
        const views = bySource.get(source) ?? {}
        views[name] = slot.view
        bySource.set(source, views)
      }
    }
    return bySource
  }
  const copyFrom = async (source: string, slots: Record<string, number>) => {
    const address = peers.members().find((member) => member.boot === source)?.address
    if (address === undefined) return
    const answer = await peers.rpc.call<Record<string, PortableClaim[]>>(address, 'claim.copy', { slots }, copyTimeoutMs)
    if (!answer.ok) return
    for (const [name, claims] of Object.entries(answer.value)) mergeCopy(state, name, slots[name], source, claims, clock.now())
  }
  const reportReady = async () => {
    const slots: Record<string, number> = {}
    for (const [name, slot] of Object.entries(state.slots)) {
      if (hasEnoughCopies(state, name)) slots[name] = slot.view
    }
    if (Object.keys(slots).length === 0) return
    for (const control of peers.controlAddresses()) {
      const answer = await peers.rpc.call<{ ok: boolean }>(control, 'control.ready', { slots, boot: peers.boot }, readyTimeoutMs)
      if (answer.ok && answer.value.ok) return
    }
  }
  const copyAll = async () => {
    await Promise.all([...pendingCopies()].map(([source, slots]) => copyFrom(source, slots)))
    await reportReady()
  }
  const copyTimer = setInterval(() => {
    if (copying) return
    copying = true
    void copyAll().finally(() => {
      copying = false
    })
  }, copyIntervalMs)
  const expireTimer = setInterval(() => expireClaims(state, clock.now()), expireIntervalMs)
  metrics.gauge('claims_held', () => state.count)
  metrics.gauge('claims_kept_bytes', () => state.keptBytes)
  return {
    close () {
      clearInterval(copyTimer)
      clearInterval(expireTimer)
    },
    size: () => state.count
  }
}
