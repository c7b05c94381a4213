import assert from 'node:assert/strict'
import { test } from 'node:test'
import { explore } from '../support/explore.ts'
import { createModel } from './model.ts'

const maxStates = Number(process.env.MODEL_STATES ?? 60_000)

test('the consensus model keeps its invariants', (context) => {
  const result = explore(createModel({ elections: 2, proposals: 1, crashes: 1, packets: 4 }), maxStates)
  context.diagnostic(`${result.states} states, ${result.complete ? 'all within the bounds' : 'search bounded'}`)
  assert.equal(result.violation, undefined)
})

test('the consensus model finds sends before saves', () => {
  const result = explore(createModel({ elections: 2, proposals: 1, crashes: 1, packets: 4, sendBeforeSave: true }), maxStates)
  assert.ok(result.violation, 'the injected fault must be found')
})
