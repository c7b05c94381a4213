import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseTarget, createTargetStats, pruneTargetStats, recordAnswer, recordFailure, recordStart, statsOf } from '../../src/core/routing/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const candidates = ['near-1', 'near-2', 'far-1', 'far-2'].map((node) => ({ node, domain: node.split('-')[0], slots: 10 }))
const random = createRandom(1)

function countChoices (statsByNode: ReturnType<typeof createTargetStats>, now = 0): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let count = 0; count < 200; count++) {
    const node = chooseTarget(statsByNode, candidates, 'near', now, random)?.node ?? 'none'
    counts[node] = (counts[node] ?? 0) + 1
  }
  return counts
}

test('targets of the node\'s failure domain are preferred', () => {
  assert.deepEqual(Object.keys(countChoices(createTargetStats())).sort(), ['near-1', 'near-2'])
})

test('load overflows into other failure domains', () => {
  const statsByNode = createTargetStats()
  for (const node of ['near-1', 'near-2']) statsOf(statsByNode, node).inFlight = 12
  assert.ok(Object.keys(countChoices(statsByNode)).some((node) => node.startsWith('far')))
})

test('failing target is ejected temporarily', () => {
  const statsByNode = createTargetStats()
  for (let count = 0; count < 3; count++) recordFailure(statsOf(statsByNode, 'near-1'), 0)
  assert.equal(countChoices(statsByNode, 1)['near-1'], undefined)
  assert.ok(countChoices(statsByNode, 60_000)['near-1'] > 0)
})

test('at most half of the targets are ejected', () => {
  const statsByNode = createTargetStats()
  for (const { node } of candidates) {
    for (let count = 0; count < 5; count++) recordFailure(statsOf(statsByNode, node), 0)
  }
  assert.notEqual(chooseTarget(statsByNode, candidates, 'near', 1, random), undefined)
})

test('slower target gets fewer calls', () => {
  const statsByNode = createTargetStats()
  for (let count = 0; count < 50; count++) {
    recordAnswer(statsOf(statsByNode, 'near-1'), 200, 0, 0)
    recordAnswer(statsOf(statsByNode, 'near-2'), 10, 0, 0)
  }
  const counts = countChoices(statsByNode)
  assert.ok((counts['near-1'] ?? 0) < counts['near-2'] / 4, JSON.stringify(counts))
})

test('statistics of nodes that are gone are dropped once no call is under way', () => {
  const statsByNode = createTargetStats()
  recordStart(statsOf(statsByNode, 'busy'), 0)
  recordAnswer(statsOf(statsByNode, 'gone'), 10, 0, 0)
  recordAnswer(statsOf(statsByNode, 'member'), 10, 0, 0)
  pruneTargetStats(statsByNode, new Set(['member']))
  assert.deepEqual([...statsByNode.keys()], ['busy', 'member'])
})
