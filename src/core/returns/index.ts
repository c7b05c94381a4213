export { createReturns, planRateReturn, planReturn, planSoon, recordArrival } from './returns.ts'
export type { PlannedReturn, RefusedRequest, Returns, ShareOf, TimeLeft } from './returns.ts'
