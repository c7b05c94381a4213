import { systemClock } from '../../src/core/clock/index.ts'
import { createDecisions } from '../../src/core/node/decisions.ts'
import type { Decisions } from '../../src/core/node/decisions.ts'
import { defaultDialect } from '../../src/core/node/dialect.ts'
import type { Dialect } from '../../src/core/node/dialect.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import type { RateClient } from '../../src/core/rate/client.ts'

/** Creates a log of decisions that writes nothing. */
export function createSilentDecisions (dialect: Dialect = defaultDialect): Decisions {
  return createDecisions({
    requestLog: { write () {} }, dialect, target: {} as OwnTarget, clock: systemClock, directory: { limitOf: () => undefined }, rates: {} as RateClient, revision: () => 1, stop: () => undefined
  })
}
