import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { createClusterFixture, createClient, pause, countRuns } from './client.ts'
import type { ClusterFixture, Reply, Request } from './client.ts'

let fixture: ClusterFixture

before(async () => {
  fixture = await createClusterFixture(['depotledger'], 2)
})
after(async () => await fixture.cluster.stop())

/** Sends a transfer through the station at `index`. */
async function sendTransfer (index: number, id: string, changes: Partial<Request> = {}): Promise<Reply> {
  const { nodesWithTargets: stations } = fixture.cluster
  const client = createClient(stations[index % stations.length].node.addresses.listen, 1)
  const reply = await client.send({ method: 'POST', path: '/transfers', key: fixture.key, idempotencyKey: id, id, body: JSON.stringify({ id }), ...changes })
  await client.close()
  return reply
}

function stationsOf (domain: string) {
  return fixture.cluster.nodesWithTargets.filter((station) => station.domain === domain)
}

test('a retry through another failure domain gets the stored answer', async () => {
  const first = await sendTransfer(0, 'stored')
  assert.equal(first.status, 200, first.text)
  await pause(100)
  for (const index of [1, 2, 3, 4, 5]) {
    const retried = await sendTransfer(index, 'stored')
    assert.deepEqual([retried.status, retried.replayed, retried.text], [200, true, first.text])
  }
  assert.equal(countRuns(fixture, 'stored'), 1)
})

test('concurrent retries run once', async () => {
  await fixture.setWorkTime('depotledger', 200)
  const ids = Array.from({ length: 10 }, (_, number) => `parallel-${number}`)
  const replies = await Promise.all(ids.flatMap((id) => [0, 1, 2, 3, 4, 5].map(async (index) => await sendTransfer(index, id))))
  await fixture.setWorkTime('depotledger', 5)
  for (const id of ids) assert.equal(countRuns(fixture, id), 1, id)
  assert.equal(replies.filter((reply) => reply.status === 200 && !reply.replayed).length, ids.length)
  for (const reply of replies) assert.ok(reply.status === 200 || reply.run === 'unknown' || reply.status === 503, JSON.stringify(reply))
})

test('a different body under the same key is refused', async () => {
  await sendTransfer(0, 'reused')
  const other = await sendTransfer(1, 'reused', { body: '{"other":true}' })
  assert.equal(other.status, 422, other.text)
  assert.equal(countRuns(fixture, 'reused'), 1)
})

test('a target killed during a request causes "unknown" and no second run', async () => {
  await fixture.setWorkTime('depotledger', 1500)
  const ids = Array.from({ length: 12 }, (_, number) => `killed-${number}`)
  const pending = ids.map(async (id, index) => await sendTransfer(index, id))
  await pause(500)
  const [runningTarget] = ids.flatMap((id) => fixture.runs.targetsThatRan(`POST transfers ${id}`))
  const killedStation = fixture.cluster.nodesWithTargets.find((station) => station.target === runningTarget) ?? assert.fail('no request is running')
  killedStation.target.signal('SIGKILL')
  const replies = await Promise.all(pending)
  await fixture.setWorkTime('depotledger', 5)
  assert.ok(replies.some((reply) => reply.run === 'unknown'), 'some requests ran at the killed target')
  for (const [index, id] of ids.entries()) {
    const retried = await sendTransfer(index + 1, id)
    assert.ok(retried.status === 200 || retried.run === 'unknown', JSON.stringify(retried))
    assert.ok(countRuns(fixture, id) <= 1, id)
  }
  await fixture.restart(killedStation)
  await fixture.waitUntilReady()
})

test('an entry node killed during a request causes no second run through another node', async () => {
  await fixture.setWorkTime('depotledger', 1000)
  const killedStation = fixture.cluster.nodesWithTargets[0]
  const ids = Array.from({ length: 8 }, (_, number) => `entry-${number}`)
  const pending = ids.map(async (id) => await sendTransfer(0, id))
  await pause(300)
  killedStation.node.signal('SIGKILL')
  await Promise.all(pending)
  for (const id of ids) await sendTransfer(3, id)
  await pause(1500)
  for (const id of ids) {
    const retried = await sendTransfer(4, id)
    assert.ok(retried.status === 200 || retried.run === 'unknown', JSON.stringify(retried))
    assert.equal(countRuns(fixture, id), 1, id)
  }
  await fixture.setWorkTime('depotledger', 5)
  await fixture.restart(killedStation)
  await fixture.waitUntilReady()
})

test('the loss of a second holder right after a repair causes no second run', async () => {
  const ids = Array.from({ length: 40 }, (_, number) => `repair-${number}`)
  await Promise.all(ids.map(async (id, index) => await sendTransfer(index, id)))
  const [restartedStation] = stationsOf('kbh-a')
  await fixture.restart(restartedStation)
  await fixture.waitUntilReady()
  const [lostStation] = stationsOf('aarhus-a')
  lostStation.node.signal('SIGKILL')
  for (const [index, id] of ids.entries()) {
    const retried = await sendTransfer(otherStationIndex(index, lostStation.name), id)
    assert.ok(retried.status === 200 || retried.run === 'unknown' || retried.status === 503, JSON.stringify(retried))
    assert.equal(countRuns(fixture, id), 1, id)
  }
  await fixture.restart(lostStation)
  await fixture.waitUntilReady()
  for (const [index, id] of ids.entries()) {
    const retried = await sendTransfer(index, id)
    assert.deepEqual([retried.status, retried.replayed], [200, true], JSON.stringify(retried))
    assert.equal(countRuns(fixture, id), 1, id)
  }
})

function otherStationIndex (index: number, without: string): number {
  const names = fixture.cluster.nodesWithTargets.map((station) => station.name)
  const position = index % names.length
  return names[position] === without ? position + 1 : position
}

test('a holder that is suspended and resumed causes no second run', async () => {
  const suspendedStation = fixture.cluster.nodesWithTargets[4]
  const ids = Array.from({ length: 12 }, (_, number) => `frozen-${number}`)
  suspendedStation.node.signal('SIGSTOP')
  await Promise.all(ids.map(async (id, index) => await sendTransfer(index % 4, id)))
  await pause(2500)
  await Promise.all(ids.map(async (id, index) => await sendTransfer((index + 1) % 4, id)))
  suspendedStation.node.signal('SIGCONT')
  await pause(500)
  for (const [index, id] of ids.entries()) {
    await sendTransfer(index, id)
    assert.ok(countRuns(fixture, id) <= 1, id)
  }
  await fixture.waitUntilReady()
  for (const [index, id] of ids.entries()) {
    await sendTransfer(index, id)
    assert.equal(countRuns(fixture, id), 1, id)
  }
})
