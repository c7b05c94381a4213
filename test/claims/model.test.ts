import assert from 'node:assert/strict'
import { test } from 'node:test'
import { explore, executeActions, walk } from '../support/explore.ts'
import { createModel } from './model.ts'

const maxStates = Number(process.env.MODEL_STATES ?? 12_000)
const walks = Number(process.env.MODEL_WALKS ?? 2000)
const seed = Number(process.env.FUZZ_SEED ?? 1)
const depth = 60

test('no state found by search has two attempts run', (context) => {
  const result = explore(createModel({ views: 4, lost: 1, plans: 2 }), maxStates)
  context.diagnostic(`${result.states} states, ${result.complete ? 'all within the bounds' : 'search bounded'}`)
  assert.equal(result.violation, undefined)
})

test('no random walk has two attempts run', (context) => {
  const result = walk(createModel({ views: 6, lost: 1, plans: 2 }), seed, walks, depth)
  context.diagnostic(`${result.states} steps in ${walks} walks`)
  assert.equal(result.violation, undefined)
})

/** One attempt is granted by a holder that was replaced, the other by its replacement. */
const replacedHolderPath = [
  'placement without c', 'd learns view 2',
  'a sends a copy to d', 'd merges the copy of a', 'b sends a copy to d', 'd merges the copy of b', 'd is ready',
  'x asks in view 1', 'a receives the request of x in view 1', 'c receives the request of x in view 1',
  'x receives granted of a', 'x receives granted of c',
  'b learns view 3', 'd learns view 3',
  'y asks in view 3', 'b receives the request of y in view 3', 'd receives the request of y in view 3',
  'y receives granted of b', 'y receives granted of d'
]

test('two attempts run when sources send copies before they know the new placement', () => {
  const faulty = createModel({ views: 6, lost: 0, plans: 1, copyFromOutdatedSource: true })
  const reached = executeActions(faulty, replacedHolderPath)
  assert.equal(reached.impossibleAction, undefined)
  assert.equal(faulty.check(reached.state), 'both attempts run')
})

test('a source that waits for the new placement blocks that path at the first copy', () => {
  const reached = executeActions(createModel({ views: 6, lost: 0, plans: 1 }), replacedHolderPath)
  assert.equal(reached.impossibleAction, 'a sends a copy to d')
})
