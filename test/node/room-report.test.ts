import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { Pool } from 'undici'
import { createReportedFractions } from '../../src/core/admission/index.ts'
import type { ClaimClient } from '../../src/core/claims/client.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { emptyConfiguration } from '../../src/core/config/index.ts'
import { createFreshness } from '../../src/core/freshness/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createDependencies } from '../../src/core/node/dependencies.ts'
import { defaultDialect } from '../../src/core/node/dialect.ts'
import { createGate } from '../../src/core/node/gate.ts'
import { createOwnFailures } from '../../src/core/node/own-failures.ts'
import { isRoomChanged } from '../../src/core/node/room-log.ts'
import { createCallServer } from '../../src/core/node/serve.ts'
import { createSpans } from '../../src/core/node/spans.ts'
import { createCancellation } from '../../src/core/node/types.ts'
import type { Call, Report, Sink } from '../../src/core/node/types.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createRawTarget } from './raw-target.ts'
import { createSilentDecisions } from './silent-decisions.ts'

function createCall (id: string, service: string): Call {
  const context = { attempt: id, chain: id, route: 'r', service, workspace: null, priority: 0, weight: 1, idempotent: true, needsClaim: false, fingerprint: id, budget: 0 }
  return { context, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), deadlineAt: systemClock.now() + 2000, cancellation: createCancellation() } as unknown as Call
}

const sink: Sink = { head () {}, write: () => true, started: () => false, onDrain () {}, end () {}, abort () {} }

/** Serves `count` calls one after the other by a target that takes 20 ms for each. Returns the reports on them, and the one on a call for another service. */
async function reportsOf (usesRoom: boolean, count: number, status = 200): Promise<Report[]> {
  const server = createServer((_, response) => void pause(20).then(() => response.writeHead(status).end('done')))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const pool = new Pool(origin)
  const gate = createGate(8, systemClock, { usesRoom })
  const callServer = createCallServer({
    dialect: defaultDialect,
    findKeyFailure: () => undefined,
    mayBegin: () => true,
    peers: { freshness: createFreshness(), configuration: emptyConfiguration } as unknown as Peers,
    target: createRawTarget(pool, gate, origin),
    claims: {} as ClaimClient,
    crashes: { recordCompletion () {}, checkForCrash: async () => false, recordAbandoned () {}, close () {} },
    spans: createSpans(),
    dependencies: createDependencies(systemClock),
    reportedFractions: createReportedFractions(),
    ownFailures: usesRoom ? createOwnFailures(systemClock) : undefined,
    decisions: createSilentDecisions(),
    environment: { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() }
  })
  const reports: Report[] = []
  for (let index = 0; index < count; index++) reports.push((await callServer.serve(createCall(`c${index}`, 's'), sink)).report)
  reports.push((await callServer.serve(createCall('other', 'another'), sink)).report)
  gate.close()
  await pool.destroy()
  server.close()
  return reports
}

test('reports state room and working time of the target\'s own service', async () => {
  const reports = await reportsOf(true, 8)
  const [elsewhere] = reports.splice(-1)
  const last = reports[reports.length - 1]
  assert.ok(last.room !== undefined && last.room >= 4 && last.room <= 8, JSON.stringify(last))
  assert.ok(last.workMs !== undefined && last.workMs >= 10, JSON.stringify(last))
  assert.deepEqual([elsewhere.room, elsewhere.workMs], [undefined, undefined])
})

test('reports state neither where the setting is off', async () => {
  for (const report of await reportsOf(false, 6)) assert.deepEqual(Object.keys(report).filter((name) => name === 'room' || name === 'workMs'), [])
})

test('reports state the failures of a target that answers 500, and nothing for good answers or where the setting is off', async () => {
  const [elsewhere, ...failed] = (await reportsOf(true, 8, 500)).reverse()
  assert.ok((failed[0].ownFailures ?? 0) > 0.5, JSON.stringify(failed[0]))
  assert.equal(elsewhere.ownFailures, undefined)
  for (const report of [...await reportsOf(true, 4), ...await reportsOf(false, 8, 500)]) assert.equal('ownFailures' in report, false)
})

test('a change of room or speed by more than a quarter is logged, a slow start is not', () => {
  const before = { room: 40, speed: 1 }
  assert.equal(isRoomChanged({ room: 37, speed: 0.9, isStarting: false }, before), false)
  assert.equal(isRoomChanged({ room: 30, speed: 1, isStarting: false }, before), true)
  assert.equal(isRoomChanged({ room: 40, speed: 0.5, isStarting: false }, before), true)
  assert.equal(isRoomChanged({ room: 20, speed: 1, isStarting: true }, before), false)
})
