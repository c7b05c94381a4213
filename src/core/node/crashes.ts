import type { Environment, Peers } from '../peers/index.ts'
import { createInnocence, isInnocent, recordCompleted } from '../quarantine/index.ts'
import type { OwnTarget } from './target.ts'

const reportTimeoutMs = 800

/** Finds out whether the own target ended, and reports what it was running. */
export interface CrashReporter {
  /** A request completed, so its fingerprint is harmless. */
  completed: (fingerprint: string) => void
  /** The connection of a running request broke. Resolves true when the target has ended. */
  broke: (fingerprint: string) => Promise<boolean>
}

/** Creates the reporter of one node. */
export function createCrashReporter (peers: Peers, target: OwnTarget, { clock, log, metrics }: Environment): CrashReporter {
  const innocence = createInnocence()
  let crashes = 0
  let batch: { fingerprints: Set<string>, result: Promise<boolean> } | undefined

  const call = async (method: string, params: unknown) => {
    for (const control of peers.controls()) {
      const answer = await peers.rpc.call<{ ok: boolean }>(control, method, params, reportTimeoutMs)
      if (answer.ok && answer.value.ok) return
    }
  }
  const investigate = async (fingerprints: Set<string>) => {
    const alive = await target.probe()
    batch = undefined
    if (alive) return false
    const crash = `${peers.boot}/${++crashes}`
    metrics.count('target_crashes_total')
    log.warn('target ended while requests ran', { running: fingerprints.size })
    const suspects = [...fingerprints].filter((fingerprint) => !isInnocent(innocence, fingerprint, clock.now()))
    if (suspects.length > 0) await call('control.crash', { fingerprints: suspects, target: crash })
    return true
  }
  peers.onConfiguration((configuration) => {
    for (const fingerprint of Object.keys(configuration.bans)) {
      if (isInnocent(innocence, fingerprint, clock.now())) void call('control.exonerate', { fingerprint })
    }
  })
  return {
    completed: (fingerprint) => recordCompleted(innocence, fingerprint, clock.now()),
    broke (fingerprint) {
      if (batch === undefined) {
        const fingerprints = new Set<string>()
        batch = { fingerprints, result: investigate(fingerprints) }
      }
      batch.fingerprints.add(fingerprint)
      return batch.result
    }
  }
}
