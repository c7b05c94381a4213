import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createRevisionLog } from '../../src/core/peers/revision-log.ts'

interface Line {
  details: Record<string, unknown>
}

function createRecorded () {
  const lines: Line[] = []
  const time = { now: 1000 }
  const metrics = createMetrics()
  const log = createLog(true, { write: (line) => void lines.push(JSON.parse(line) as Line), finish () {} })
  const revisionLog = createRevisionLog('n-1', { log, metrics, clock: { now: () => time.now, date: () => new Date(time.now) } })
  return { lines, time, metrics, revisionLog }
}

test('a late revision leaves the process that was asked and the time it took', () => {
  const { lines, time, metrics, revisionLog } = createRecorded()
  revisionLog.hear({ revision: 7, installed: 6, from: 'n-2', ageMs: 30 })
  time.now += 2000
  revisionLog.endFetch({ source: 'n-2', outcome: 'failed', reason: 'timeout', since: 6, startedAt: 1000 })
  time.now += 50
  revisionLog.endFetch({ source: 'n-3', outcome: 'newer', revision: 7, since: 6, startedAt: 3000 })
  revisionLog.install(7, 6, 'n-3')
  assert.deepEqual(lines.map(({ details }) => details), [
    { event: 'revision_heard', node: 'n-1', revision: 7, installed: 6, from: 'n-2', ageMs: 30 },
    { event: 'revision_fetched', node: 'n-1', source: 'n-2', outcome: 'failed', reason: 'timeout', since: 6, elapsedMs: 2000 },
    { event: 'revision_fetched', node: 'n-1', source: 'n-3', outcome: 'newer', revision: 7, since: 6, elapsedMs: 50 },
    { event: 'revision_installed', node: 'n-1', revision: 7, before: 6, source: 'n-3', sinceHeardMs: 2050, sinceIssuedMs: 2080 }
  ])
  assert.equal(metrics.value('configuration_fetches_total{outcome="failed"}'), 1)
  assert.match(metrics.expose(), /configuration_delay_seconds_count 1/)
})

test('a storm of changes writes a bounded number of lines', () => {
  const { lines, revisionLog } = createRecorded()
  for (let revision = 1; revision <= 1000; revision++) {
    revisionLog.hear({ revision, installed: revision - 1, from: 'n-2', ageMs: 1 })
    revisionLog.install(revision, revision - 1, 'n-2')
  }
  assert.ok(lines.length <= 40, `${lines.length} lines`)
})
