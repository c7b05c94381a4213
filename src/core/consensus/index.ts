export { createState, hasCaughtUp, holdsLease, hasCommittedInTerm, step } from './core.ts'
export { lastIndex, membersOf, termAt, voters } from './log.ts'
export * from './constants.ts'
export type { Effect, Entry, Event, HardState, Member, Message, Payload, Role, Snapshot, State, Stored } from './types.ts'
