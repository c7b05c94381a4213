export { chooseTarget, createTargetStats, recordAnswer, recordFailure, statsOf } from './choice.ts'
export { createKnownStops } from './known-stops.ts'
export type { KnownStop, KnownStops } from './known-stops.ts'
export type { Candidate, TargetStats, TargetStatsMap } from './choice.ts'
