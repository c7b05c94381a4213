import type { Clock } from '../clock/index.ts'
import { createEventWriter, revisionEvents, shorten } from '../log/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { InquiryOutcome } from './fetch.ts'

/** Revisions heard of and not installed yet whose times are kept. */
const maxPending = 64

/** A message that named a revision. */
export interface RevisionNotice {
  revision: number
  installed: number
  /** Name of the process that sent the message. */
  from: string
  /** Time since the leader issued it, in ms. */
  ageMs: number
}

/** A request for a newer configuration that has ended. */
export interface FetchEnd {
  source: string
  outcome: InquiryOutcome
  /** Why it was refused or failed. */
  reason?: string
  /** Revision installed when it ended, if it brought a newer one. */
  revision?: number
  /** Revision from which on it asked. */
  since: number
  startedAt: number
}

/** Records how revisions of the configuration reach a process, as events and metrics. */
export interface RevisionLog {
  hear: (notice: RevisionNotice) => void
  endFetch: (end: FetchEnd) => void
  /** Records that the process applies `revision` in place of `before`; `source` names the process that sent it, or is null for its own log. */
  install: (revision: number, before: number, source: string | null) => void
}

interface Pending {
  revision: number
  heardAt: number
  issuedAt: number
}

/** Creates the record of one process. */
export function createRevisionLog (node: string, { clock, log, metrics }: { clock: Clock, log: Log, metrics: Metrics }): RevisionLog {
  const writer = createEventWriter(node, log, metrics, clock)
  let pending: Pending[] = []
  const newestHeard = () => pending.at(-1)?.revision ?? 0
  return {
    hear (notice) {
      if (notice.revision <= Math.max(notice.installed, newestHeard())) return
      const now = clock.now()
      pending.push({ revision: notice.revision, heardAt: now, issuedAt: now - notice.ageMs })
      if (pending.length > maxPending) pending.shift()
      writer.write(revisionEvents.revisionHeard, () => ({ ...notice, ageMs: Math.round(notice.ageMs) }))
    },
    endFetch ({ source, outcome, reason, revision, since, startedAt }) {
      const elapsedMs = Math.round(clock.now() - startedAt)
      metrics.count(`configuration_fetches_total{outcome="${outcome}"}`)
      writer.write(revisionEvents.revisionFetched, () => ({ source, outcome, reason: reason && shorten(reason), revision, since, elapsedMs }))
    },
    install (revision, before, source) {
      const now = clock.now()
      const reached = pending.filter((entry) => entry.revision <= revision)
      pending = pending.filter((entry) => entry.revision > revision)
      for (const { issuedAt } of reached) metrics.time('configuration_delay', now - issuedAt)
      const first = reached.at(-1)
      const times = first && { sinceHeardMs: Math.round(now - first.heardAt), sinceIssuedMs: Math.round(now - first.issuedAt) }
      writer.write(revisionEvents.revisionInstalled, () => ({ revision, before, source, ...times }))
    }
  }
}
