export { chooseTarget, createStandings, recordAnswer, recordFailure, standingOf } from './choice.ts'
export type { Candidate, TargetStats, Standings } from './choice.ts'
