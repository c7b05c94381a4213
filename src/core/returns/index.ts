export { createReturns, planRateReturn, planReturn, planSoon, planSpread, recordArrival } from './returns.ts'
export type { PlannedReturn, RefusedRequest, Returns, ShareOf, TimeLeft } from './returns.ts'
