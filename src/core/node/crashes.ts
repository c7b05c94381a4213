import type { Environment, Peers } from '../peers/index.ts'
import { createCompletedFingerprints, completedRecently, recordCompleted } from '../quarantine/index.ts'
import type { OwnTarget } from './target.ts'

const reportTimeoutMs = 800

/** Detects that the node's own target ended, and reports the requests that it was running. */
export interface CrashReporter {
  /** Records a completed request, which exonerates its fingerprint for some time. */
  recordCompletion: (fingerprint: string) => void
  /** Checks the target after the connection of a running request broke. Resolves true when the target has ended. */
  checkForCrash: (fingerprint: string) => Promise<boolean>
}

/** Creates the crash reporter of one node. Requests whose connections break during one check are reported as one crash. */
export function createCrashReporter (peers: Peers, target: OwnTarget, { clock, log, metrics }: Environment): CrashReporter {
  const completions = createCompletedFingerprints()
  let crashCount = 0
  let pendingCheck: { fingerprints: Set<string>, result: Promise<boolean> } | undefined

  const callControl = async (method: string, params: unknown) => {
    for (const address of peers.controlAddresses()) {
      const answer = await peers.rpc.call<{ ok: boolean }>(address, method, params, reportTimeoutMs)
      if (answer.ok && answer.value.ok) return
    }
  }
  const checkTarget = async (fingerprints: Set<string>) => {
    const alive = await target.probe()
    pendingCheck = undefined
    if (alive) return false
    const crashId = `${peers.boot}/${++crashCount}`
    metrics.count('target_crashes_total')
    log.warn('target ended with requests running', { running: fingerprints.size })
    const reportedFingerprints = [...fingerprints].filter((fingerprint) => !completedRecently(completions, fingerprint, clock.now()))
    if (reportedFingerprints.length > 0) await callControl('control.crash', { fingerprints: reportedFingerprints, target: crashId })
    return true
  }
  peers.onConfigurationChange((configuration) => {
    for (const fingerprint of Object.keys(configuration.bans)) {
      if (completedRecently(completions, fingerprint, clock.now())) void callControl('control.exonerate', { fingerprint })
    }
  })
  return {
    recordCompletion: (fingerprint) => recordCompleted(completions, fingerprint, clock.now()),
    checkForCrash (fingerprint) {
      if (pendingCheck === undefined) {
        const fingerprints = new Set<string>()
        pendingCheck = { fingerprints, result: checkTarget(fingerprints) }
      }
      pendingCheck.fingerprints.add(fingerprint)
      return pendingCheck.result
    }
  }
}
