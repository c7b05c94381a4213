export { createReturns, partForOthers, planRateReturn, planReturn, planSoon, planSpread, recordArrival } from './returns.ts'
export type { PlannedReturn, RankedRoute, RefusedRequest, Returns, ShareOf, TimeLeft } from './returns.ts'
