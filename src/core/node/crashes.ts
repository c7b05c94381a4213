import { setTimeout as pause } from 'node:timers/promises'
import type { Environment, Peers } from '../peers/index.ts'
import { createCompletedFingerprints, completedRecently, recordCompleted } from '../quarantine/index.ts'
import { createTargetWatch } from './target-watch.ts'
import type { OwnTarget } from './target.ts'

const reportTimeoutMs = 800

/** Time for which a report is repeated while no control instance accepts it, in milliseconds. */
const reportForMs = 10_000

/** Pause before a report is repeated, in milliseconds. */
const repeatAfterMs = 50

/** Longest time that the callers of a crash wait until it is recorded and a ban is in force, in milliseconds. */
const callersWaitMs = 1000

/** Longest time that the other nodes of the service get to confirm a ban, in milliseconds. */
const confirmTimeoutMs = 800

/** Time for which a target may go on with an abandoned request after its deadline, in milliseconds. */
const abandonedMarginMs = 2000

/** Abandoned requests that are kept for the report of a crash. */
const maxAbandoned = 1000

/** Detects that the node's own target ended, and reports the requests that it was running. */
export interface CrashReporter {
  /** Records a completed request, which exonerates its fingerprint for some time. */
  recordCompletion: (fingerprint: string) => void
  /** Checks the target after the connection of a running request broke. Resolves true when the target has ended. */
  checkForCrash: (fingerprint: string) => Promise<boolean>
  /**
   * Records that this node no longer waits for a request that the target has begun and may go on with until `deadlineAt`, in ms of the clock. If the
   * target ends before that, it crashed while it ran this request.
   */
  recordAbandoned: (fingerprint: string, deadlineAt: number) => void
  close: () => void
}

/** Creates the crash reporter of one node. Requests whose connections break during one check are reported as one crash. */
export function createCrashReporter (peers: Peers, target: OwnTarget, { clock, log, metrics }: Environment): CrashReporter {
  const completions = createCompletedFingerprints()
  let crashCount = 0
  let pendingCheck: { fingerprints: Set<string>, result: Promise<boolean> } | undefined
  /** Requests that the target may still run although their exchange has ended, with the time until which that is so. */
  const abandoned = new Map<string, number>()

  const callControl = async (method: string, params: unknown): Promise<{ address: string, banRevision?: number } | undefined> => {
    for (const address of peers.controlAddresses()) {
      const answer = await peers.rpc.call<{ ok: boolean, banRevision?: number }>(address, method, params, reportTimeoutMs)
      if (answer.ok && answer.value.ok) return { address, banRevision: answer.value.banRevision }
    }
    return undefined
  }
  /** Returns the addresses of the other nodes whose targets could run the same requests. */
  const otherNodes = (): string[] => {
    const { id } = peers.self()
    const service = target.current()?.service
    return peers.members().filter((member) => member.id !== id && member.target?.service === service).map(({ address }) => address)
  }
  /** Reports a crash until a control instance accepts it: for moments there is no leader, or it has to renew its lease. */
  const recordCrash = async (fingerprints: string[], crashId: string) => {
    const endsAt = clock.now() + reportForMs
    while (clock.now() < endsAt) {
      const report = await callControl('control.crash', { fingerprints, target: crashId })
      if (report !== undefined) return report
      await pause(repeatAfterMs, undefined, { ref: false })
    }
    log.warn('no control instance accepted the report of a crash')
    return undefined
  }
  /** Reports a crash. A ban that follows from it is in force at the other nodes of the service before the callers learn of the crash and send again. */
  const reportCrash = async (fingerprints: string[], crashId: string) => {
    const report = await recordCrash(fingerprints, crashId)
    if (report?.banRevision === undefined) return
    const unconfirmed = await peers.spreadRevision(report.banRevision, report.address, otherNodes(), confirmTimeoutMs)
    if (unconfirmed > 0) log.warn('nodes have not confirmed a ban', { nodes: unconfirmed })
  }
  const checkTarget = async (fingerprints: Set<string>) => {
    const mayEnd = target.mayEnd()
    const alive = await target.probe()
    pendingCheck = undefined
    if (alive) return false
    for (const fingerprint of takeAbandoned()) fingerprints.add(fingerprint)
    if (mayEnd) {
      log.info('target ended as planned', { running: fingerprints.size })
      return true
    }
    const crashId = `${peers.boot}/${++crashCount}`
    metrics.count('target_crashes_total')
    log.warn('target ended with requests running', { running: fingerprints.size })
    const reportedFingerprints = [...fingerprints].filter((fingerprint) => !completedRecently(completions, fingerprint, clock.now()))
    if (reportedFingerprints.length > 0) await Promise.race([reportCrash(reportedFingerprints, crashId), pause(callersWaitMs, undefined, { ref: false })])
    return true
  }
  /** Removes the abandoned requests and returns those that the target may have run until now. */
  const takeAbandoned = (): string[] => {
    const now = clock.now()
    const running = [...abandoned].filter(([, until]) => now < until).map(([fingerprint]) => fingerprint)
    abandoned.clear()
    watch.close()
    return running
  }
  const startCheck = () => {
    if (pendingCheck === undefined) {
      const fingerprints = new Set<string>()
      pendingCheck = { fingerprints, result: checkTarget(fingerprints) }
    }
    return pendingCheck
  }
  const watch = createTargetWatch(clock, () => void startCheck())
  peers.onConfigurationChange((configuration) => {
    for (const fingerprint of Object.keys(configuration.bans)) {
      if (completedRecently(completions, fingerprint, clock.now())) void callControl('control.exonerate', { fingerprint })
    }
  })
  return {
    recordCompletion: (fingerprint) => recordCompleted(completions, fingerprint, clock.now()),
    checkForCrash (fingerprint) {
      const check = startCheck()
      check.fingerprints.add(fingerprint)
      return check.result
    },
    recordAbandoned (fingerprint, deadlineAt) {
      const address = target.address()
      if (address === undefined) return
      const until = deadlineAt + abandonedMarginMs
      abandoned.delete(fingerprint)
      abandoned.set(fingerprint, until)
      const [oldest] = abandoned.keys()
      if (abandoned.size > maxAbandoned) abandoned.delete(oldest)
      watch.extend(address, until)
    },
    close: watch.close
  }
}
