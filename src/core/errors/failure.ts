import { catalogue } from './catalogue.ts'
import type { FailureCode, CatalogueEntry } from './catalogue.ts'

type DetailsOf<C extends FailureCode> = (typeof catalogue)[C] extends CatalogueEntry<infer Details> ? Details : never

/** An expected failure, passed as a value and shown to callers or operators. */
export interface Failure {
  ok: false
  code: FailureCode
  name: string
  status: number
  message: string
  hint: string
}

/** A value or a typed failure. */
export type Outcome<Value> = { ok: true, value: Value } | Failure

/** Builds a failure from the catalogue. */
export function fail<C extends FailureCode> (code: C, ...details: DetailsOf<C> extends void ? [] : [DetailsOf<C>]): Failure {
  const entry = catalogue[code] as CatalogueEntry<unknown>
  return {
    ok: false,
    code,
    name: entry.name,
    status: entry.status,
    message: entry.message(details[0]),
    hint: entry.hint
  }
}

/** Wraps a value as a successful outcome. */
export function succeed<Value> (value: Value): { ok: true, value: Value } {
  return { ok: true, value }
}

/** A broken invariant. The process stops when one is thrown. */
export class InvariantError extends Error {
  override name = 'InvariantError'
}

/** A failure that ends a command or prevents the start of a process. */
export class StartError extends Error {
  override name = 'StartError'
  readonly failure: Failure

  constructor (failure: Failure) {
    super(failure.message)
    this.failure = failure
  }
}

/** Throws when an invariant does not hold. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}
