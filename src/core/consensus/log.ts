import type { Entry, Member, State } from './types.ts'

/** Returns the index of the last entry. */
export function lastIndex (state: State): number {
  return state.snapshot.index + state.entries.length
}

/** Returns the term of the entry at `index`, or undefined when the log does not contain it. */
export function termAt (state: State, index: number): number | undefined {
  if (index === state.snapshot.index) return state.snapshot.term
  return state.entries[index - state.snapshot.index - 1]?.term
}

/** Returns the term of the last entry. */
export function lastTerm (state: State): number {
  return termAt(state, lastIndex(state)) ?? 0
}

/** Returns at most `count` entries from `index` on. */
export function entriesFrom (state: State, index: number, count: number): Entry[] {
  const start = index - state.snapshot.index - 1
  return state.entries.slice(start, start + count)
}

/** Returns the size of an entry's payload as JSON, in characters. */
export function bytesOf (entry: Entry): number {
  entry.bytes ??= JSON.stringify(entry.payload).length
  return entry.bytes
}

/** Returns the size of the payloads of entries, in characters. */
export function totalBytes (entries: readonly Entry[]): number {
  return entries.reduce((sum, entry) => sum + bytesOf(entry), 0)
}

/** Returns the size of the entries that are not committed yet, in characters. */
export function uncommittedBytes (state: State): number {
  return totalBytes(entriesFrom(state, state.commit + 1, Infinity))
}

/** Returns entries from `index` on, at most `count` and, beyond the first, at most `maxBytes` in total. */
export function entriesWithin (state: State, index: number, count: number, maxBytes: number): Entry[] {
  const entries: Entry[] = []
  let bytes = 0
  for (const entry of entriesFrom(state, index, count)) {
    bytes += bytesOf(entry)
    if (entries.length > 0 && bytes > maxBytes) break
    entries.push(entry)
  }
  return entries
}

/** Returns the newest member list in the log, committed or not. */
export function membersOf (state: State): Member[] {
  for (let position = state.entries.length - 1; position >= 0; position--) {
    const { payload } = state.entries[position]
    if (payload.type === 'members') return payload.members
  }
  return state.snapshot.members
}

/** Returns true while the log contains an uncommitted member change. */
export function hasPendingMemberChange (state: State): boolean {
  const from = Math.max(0, state.commit - state.snapshot.index)
  return state.entries.slice(from).some((entry) => entry.payload.type === 'members')
}

/** Returns the ids of the voting members. */
export function voters (state: State): string[] {
  return membersOf(state).filter((member) => member.voter).map((member) => member.id)
}

/** Returns the number of voters that form a quorum. */
export function quorumOf (state: State): number {
  return Math.floor(voters(state).length / 2) + 1
}
