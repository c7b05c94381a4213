export { allMembers, createMembership, liveMembers, step, supersedes } from './core.ts'
export * from './constants.ts'
export type { Effect, Event, Member, Packet, State, Target } from './types.ts'
