import { requestEvents } from '../log/index.ts'
import type { LogEntry } from './parse.ts'

const { requestRefused, requestTurnedAway, callRefused, callShed, claimRefused, targetRefused, targetFailed, attemptEnded, requestEnded, requestAnswered, outgoingRefused, requestAbandoned, requestCrashed } = requestEvents

/** Events that state a decision which may have ended a request. */
const decisionEvents = new Set([
  requestRefused, requestTurnedAway, callRefused, callShed, claimRefused, targetRefused, targetFailed, outgoingRefused, requestAbandoned, requestCrashed
].map(({ name }) => name))

/** Order of events with the same time: what happens at a target, then at the sending node, then at the entry. */
const laterEvents = ['', attemptEnded.name, requestEnded.name]

/** One way of a request from its entry to its end. */
export interface Timeline {
  chain: string | undefined
  /** Sorted by time. */
  entries: LogEntry[]
  /** Line that states how the request ended at its entry. */
  end: LogEntry | undefined
  /** Line of the decision that led to that end. */
  decision: LogEntry | undefined
}

function rankOf ({ event }: LogEntry): number {
  return Math.max(0, laterEvents.indexOf(event))
}

function findEnd (entries: readonly LogEntry[]): LogEntry | undefined {
  const ends = entries.filter(({ event, details }) => [requestRefused.name, requestAnswered.name].includes(event) || (event === requestEnded.name && details.depth === 0))
  return ends.at(-1)
}

/** Returns the last decision with the code of the end, or else the last one: the outcome of an earlier attempt may be that of the request. */
function findDecision (entries: readonly LogEntry[], end: LogEntry | undefined): LogEntry | undefined {
  const decisions = entries.filter(({ event }) => decisionEvents.has(event))
  const matching = decisions.filter(({ details }) => end !== undefined && details.code === end.details.code)
  return matching.at(-1) ?? decisions.at(-1) ?? entries.filter(({ event }) => event === attemptEnded.name).at(-1) ?? end
}

/** Divides the lines of one id into timelines: a caller may have sent several requests under it. */
export function createTimelines (entries: readonly LogEntry[]): Timeline[] {
  const groups = new Map<string, LogEntry[]>()
  for (const [index, entry] of entries.entries()) {
    const key = entry.chain ?? `line ${index}`
    groups.set(key, [...groups.get(key) ?? [], entry])
  }
  const timelines = [...groups.values()].map((group) => {
    const sorted = group.toSorted((a, b) => a.at - b.at || rankOf(a) - rankOf(b))
    const end = findEnd(sorted)
    return { chain: sorted[0].chain, entries: sorted, end, decision: findDecision(sorted, end) }
  })
  return timelines.sort((a, b) => a.entries[0].at - b.entries[0].at)
}
