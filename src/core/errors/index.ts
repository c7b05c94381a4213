export { catalogue } from './catalogue.ts'
export type { FailureCode } from './catalogue.ts'
export { fail, invariant, InvariantError, StartError, succeed } from './failure.ts'
export type { Failure, Outcome } from './failure.ts'
