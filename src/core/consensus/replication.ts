import { appendTimeoutMs, maxAppendBytes, maxAppendEntries, maxSnapshotPartLength } from './constants.ts'
import { entriesWithin, lastIndex, termAt, totalBytes } from './log.ts'
import type { Effect, InFlight, Message, Progress, Snapshot, State } from './types.ts'

/** Creates the progress of a member to which nothing has been sent yet. `next` is the index of the first entry that it is assumed to lack. */
export function createProgress (next: number, now: number): Progress {
  return { nextIndex: next, matchIndex: 0, ackedAt: now, acknowledgedRound: 0, inFlight: null, transfer: null }
}

/**
 * Sends a member the entries or the part of a snapshot that it lacks. One such message at a time is on the way to a member, so that what a slow or
 * lost member costs stays bounded. Returns false if nothing was sent.
 */
export function replicate (state: State, to: string, now: number, effects: Effect[]): boolean {
  const progress = state.progress[to]
  if (progress.inFlight !== null) return false
  const previousIndex = progress.nextIndex - 1
  const previousTerm = termAt(state, previousIndex)
  if (previousTerm === undefined) progress.transfer ??= { snapshot: state.snapshot, received: 0 }
  if (progress.transfer !== null) {
    sendPart(state, to, progress, progress.transfer.snapshot, progress.transfer.received, now, effects)
    return true
  }
  if (previousTerm === undefined || previousIndex >= lastIndex(state)) return false
  const entries = entriesWithin(state, progress.nextIndex, maxAppendEntries, maxAppendBytes)
  progress.inFlight = createInFlight(now, previousIndex + entries.length, totalBytes(entries))
  const { commit, readRound: round, hardState: { term } } = state
  effects.push({ type: 'send', to, message: { type: 'append', term, previousIndex, previousTerm, entries, commit, sentAt: now, round } })
  return true
}

/** Sends a member an append without entries. Where the log no longer holds the position that the member has reached, it names the start of every log. */
export function sendHeartbeat (state: State, to: string, now: number, effects: Effect[]): void {
  const known = termAt(state, state.progress[to].nextIndex - 1)
  const previousIndex = known === undefined ? 0 : state.progress[to].nextIndex - 1
  const { commit, readRound: round, hardState: { term } } = state
  effects.push({ type: 'send', to, message: { type: 'append', term, previousIndex, previousTerm: known ?? 0, entries: [], commit, sentAt: now, round } })
}

function sendPart (state: State, to: string, progress: Progress, snapshot: Snapshot, offset: number, now: number, effects: Effect[]): void {
  const whole = snapshot.state ?? ''
  const text = whole.slice(offset, offset + maxSnapshotPartLength)
  progress.inFlight = createInFlight(now, snapshot.index, text.length)
  const { readRound: round, hardState: { term } } = state
  const { index, term: snapshotTerm, members } = snapshot
  const message: Message = { type: 'snapshot', term, index, snapshotTerm, members, offset, length: whole.length, text, sentAt: now, round }
  effects.push({ type: 'send', to, message })
}

function createInFlight (now: number, match: number, bytes: number): InFlight {
  return { sentAt: now, answerableUntil: now + appendTimeoutMs, match, bytes }
}

/** Records that a message did not arrive. What it carried is sent again once the member answers a heartbeat. */
export function recordLoss (progress: Progress | undefined, sentAt: number): void {
  if (progress?.inFlight?.sentAt === sentAt) progress.inFlight.answerableUntil = -Infinity
}

/** Records a reply to the message sent at `sentAt`. `answers` is false if the reply can't be the one to the message that is on the way. */
export function recordReply (progress: Progress, sentAt: number, answers: (inFlight: InFlight) => boolean, now: number): void {
  const { inFlight } = progress
  if (inFlight === null) return
  const isAnswered = inFlight.sentAt === sentAt && answers(inFlight)
  if (isAnswered || now >= inFlight.answerableUntil) progress.inFlight = null
}
