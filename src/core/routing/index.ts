export { chooseTarget, createTargetStats, recordAnswer, recordFailure, statsOf } from './choice.ts'
export type { Candidate, TargetStats, TargetStatsMap } from './choice.ts'
