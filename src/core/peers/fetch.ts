/**
 * Decides which processes are asked for a newer configuration, and when. A process that was asked may have lost power, stand still or be cut off, so that
 * another one is asked as well when nothing arrives for a few round trips. Whichever answers first serves.
 */

/** Time without a byte of an answer after which another process is asked as well, in milliseconds: a few round trips between regions. */
export const silentAfterMs = 150

/** Time after which another process is asked as well although an answer is arriving, in milliseconds. */
export const slowAfterMs = 500

/** Time without a byte of an answer after which it is no longer waited for, in milliseconds. */
export const abandonAfterMs = 1000

/** Longest time for an answer to arrive whole, in milliseconds; its sender gives up then. */
export const maxInquiryMs = 5000

/** Mean pause after an answer without news, in milliseconds. */
export const retryAfterMs = 60

/** Time for which a process that failed to answer is asked only if no other one is left, in milliseconds. */
export const avoidForMs = 2000

/** Requests that wait for their answers at once, at most. */
export const maxInquiries = 8

/** A request for a newer configuration that has not ended. Times are in ms. */
interface Inquiry {
  id: number
  source: string
  askedAt: number
  /** Time at which the last byte of the answer arrived, or at which it was asked. */
  heardAt: number
  /** Whether it was excused for a time in which this process stood still. */
  excused: boolean
}

/** What a process knows about newer configurations. Addresses are host:port. */
export interface FetchState {
  /** Revision in force here. */
  installed: number
  /** Newest revision known to be in force somewhere. */
  wanted: number
  /** Revisions newer than the own one that other processes have. */
  holders: Map<string, number>
  inquiries: Inquiry[]
  /** Processes that failed to answer, with the time until which others are preferred. */
  avoided: Map<string, number>
  /** Time until which nobody without a newer revision is asked. */
  pausedUntil: number
  /** Time of the next tick that is due. */
  dueAt: number
  nextId: number
}

/** How a request ended: with a newer configuration, without news, with an error that a process answered, such as for want of room, or without a usable answer. */
export type InquiryOutcome = 'newer' | 'nothing newer' | 'refused' | 'failed'

/** What happened. */
export type FetchEvent =
  /** A process named a revision in force. `held` is the revision that it applies itself. */
  | { type: 'told', revision: number, source: string, held: number }
  | { type: 'arriving', inquiry: number }
  | { type: 'ended', inquiry: number, outcome: InquiryOutcome }
  | { type: 'installed', revision: number }
  | { type: 'tick' }

/** What is to be done. An abandoned request is cancelled; its end is reported nevertheless. */
export type FetchEffect =
  | { type: 'ask', inquiry: number, source: string }
  | { type: 'abandon', inquiry: number }

/** Chance decisions, passed in. */
export interface FetchChoices {
  /** Chooses one of the processes that are known to have a newer configuration. */
  chooseHolder: (holders: readonly string[]) => string | undefined
  /** Chooses any process for which `isUsable` returns true. */
  chooseAny: (isUsable: (source: string) => boolean) => string | undefined
  /** Returns a number in [0, 1). */
  random: () => number
}

/** Creates the state of a process without a configuration. */
export function createFetch (): FetchState {
  return { installed: 0, wanted: 0, holders: new Map(), inquiries: [], avoided: new Map(), pausedUntil: -Infinity, dueAt: Infinity, nextId: 1 }
}

/** Returns true while a newer configuration is known to be in force. */
export function isBehind ({ installed, wanted }: FetchState): boolean {
  return wanted > installed
}

/** Handles an event. `state.dueAt` then is the time at which a tick is due. */
export function stepFetch (state: FetchState, event: FetchEvent, now: number, choices: FetchChoices): FetchEffect[] {
  const effects: FetchEffect[] = []
  excuseOwnPause(state, now)
  switch (event.type) {
    case 'told': onTold(state, event, now, choices); break
    case 'arriving': onArriving(state, event.inquiry, now); break
    case 'ended': onEnded(state, event.inquiry, event.outcome, now, choices); break
    case 'installed': onInstalled(state, event.revision, now); break
    case 'tick': break
  }
  abandonSilent(state, now, effects)
  if (isBehind(state) && !state.inquiries.some((inquiry) => isPromising(inquiry, now))) ask(state, now, choices, effects)
  state.dueAt = nextDueAt(state, now)
  return effects
}

function onTold (state: FetchState, { revision, source, held }: Extract<FetchEvent, { type: 'told' }>, now: number, { random }: FetchChoices): void {
  if (!isBehind(state) && revision > state.installed) pause(state, now, random)
  state.wanted = Math.max(state.wanted, revision)
  state.avoided.delete(source)
  if (held > state.installed) state.holders.set(source, held)
}

function onArriving (state: FetchState, id: number, now: number): void {
  const inquiry = state.inquiries.find((candidate) => candidate.id === id)
  if (inquiry !== undefined) inquiry.heardAt = now
}

function onEnded (state: FetchState, id: number, outcome: InquiryOutcome, now: number, { random }: FetchChoices): void {
  const ended = state.inquiries.find((inquiry) => inquiry.id === id)
  if (ended === undefined) return
  state.inquiries = state.inquiries.filter((inquiry) => inquiry !== ended)
  if (outcome === 'newer') return
  state.holders.delete(ended.source)
  if (outcome === 'failed') state.avoided.set(ended.source, now + avoidForMs)
  pause(state, now, random)
}

/** Puts the next question to a process that is not known to have news off, by a time that differs between processes. */
function pause (state: FetchState, now: number, random: () => number): void {
  state.pausedUntil = now + retryAfterMs * (0.5 + random())
}

function onInstalled (state: FetchState, revision: number, now: number): void {
  state.installed = Math.max(state.installed, revision)
  for (const [source, held] of state.holders) if (held <= state.installed) state.holders.delete(source)
  for (const [source, until] of state.avoided) if (until <= now) state.avoided.delete(source)
}

/** Treats answers as just heard of when this process itself stood still: they may have arrived meanwhile. Once each, because a process that is always late would wait for ever. */
function excuseOwnPause (state: FetchState, now: number): void {
  if (now - state.dueAt < silentAfterMs) return
  for (const inquiry of state.inquiries) {
    if (inquiry.excused) continue
    inquiry.excused = true
    inquiry.askedAt += now - inquiry.heardAt
    inquiry.heardAt = now
  }
}

function isSilent ({ heardAt }: Inquiry, now: number): boolean {
  return now - heardAt >= silentAfterMs
}

/** Returns true while it is better to wait for an answer than to ask another process. */
function isPromising (inquiry: Inquiry, now: number): boolean {
  return !isSilent(inquiry, now) && now - inquiry.askedAt < slowAfterMs
}

function abandonSilent (state: FetchState, now: number, effects: FetchEffect[]): void {
  for (const inquiry of [...state.inquiries]) {
    if (isSilent(inquiry, now)) state.avoided.set(inquiry.source, now + avoidForMs)
    if (now - inquiry.heardAt >= abandonAfterMs || now - inquiry.askedAt >= maxInquiryMs) abandon(state, inquiry, effects)
  }
}

function abandon (state: FetchState, inquiry: Inquiry, effects: FetchEffect[]): void {
  state.inquiries = state.inquiries.filter((other) => other !== inquiry)
  state.holders.delete(inquiry.source)
  effects.push({ type: 'abandon', inquiry: inquiry.id })
}

function ask (state: FetchState, now: number, choices: FetchChoices, effects: FetchEffect[]): void {
  const source = chooseSource(state, now, choices)
  if (source === undefined) return
  if (state.inquiries.length >= maxInquiries) abandon(state, state.inquiries[0], effects)
  const inquiry = { id: state.nextId++, source, askedAt: now, heardAt: now, excused: false }
  state.inquiries.push(inquiry)
  effects.push({ type: 'ask', inquiry: inquiry.id, source })
}

/** Prefers processes that have the revision, then any that has not failed to answer lately, then any. */
function chooseSource (state: FetchState, now: number, choices: FetchChoices): string | undefined {
  const isFree = (source: string) => !state.inquiries.some((inquiry) => inquiry.source === source)
  const isUsable = (source: string) => isFree(source) && (state.avoided.get(source) ?? -Infinity) <= now
  const holders = [...state.holders].filter(([source]) => isUsable(source))
  const newest = holders.filter(([, held]) => held >= state.wanted)
  const holder = choices.chooseHolder((newest.length > 0 ? newest : holders).map(([source]) => source))
  if (holder !== undefined) return holder
  if (now < state.pausedUntil) return undefined
  const chosen = choices.chooseAny(isUsable) ?? choices.chooseAny(isFree)
  if (chosen === undefined) pause(state, now, choices.random)
  return chosen
}

/** Returns the next time at which something changes without an event. */
function nextDueAt (state: FetchState, now: number): number {
  const ends = state.inquiries.map(({ askedAt, heardAt }) => Math.min(heardAt + abandonAfterMs, askedAt + maxInquiryMs))
  if (!isBehind(state)) return Math.min(...ends)
  const promising = state.inquiries.filter((inquiry) => isPromising(inquiry, now))
  const doubts = promising.map(({ askedAt, heardAt }) => Math.min(heardAt + silentAfterMs, askedAt + slowAfterMs))
  const askAt = promising.length === 0 ? Math.max(now, state.pausedUntil) : Math.max(...doubts)
  return Math.min(...ends, askAt)
}
