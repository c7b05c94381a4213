import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { createClusterFixture, createClient, domains, pause } from './client.ts'
import type { ClusterFixture, Reply } from './client.ts'

const withdrawalBoundMs = 5000

/** Time after which the caller retries the crash-causing request. */
const retryDelayMs = 100
let fixture: ClusterFixture

before(async () => {
  fixture = await createClusterFixture(['chitwatch', 'depotledger', 'orderdesk'], 1)
})
after(async () => await fixture.cluster.stop())

function nodeAddress (index: number): string {
  const { nodesWithTargets: stations } = fixture.cluster
  return stations[index % stations.length].node.addresses.listen
}

async function issueKey (): Promise<{ key: string, id: string }> {
  const issuedKey = await fixture.cluster.runUntilSuccess('key', 'give', 'odense') as { key: string, id: string }
  await pause(1500)
  return issuedKey
}

/** Sends raw bytes and returns all that is received before the connection closes. */
function sendRaw (address: string, text: string, waitMs = 1500): Promise<string> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const socket = connect(Number(port), host)
    let received = ''
    socket.on('data', (chunk) => {
      received += String(chunk)
    })
    socket.on('close', () => resolve(received))
    socket.on('error', () => resolve(received))
    socket.write(text)
    setTimeout(() => socket.destroy(), waitMs)
  })
}

test('a call reaches the target of another node and gets its answer', async () => {
  const client = createClient(nodeAddress(0))
  const tray = await client.send({ path: '/trays/17', key: fixture.key, id: '17' })
  assert.deepEqual([tray.status, JSON.parse(tray.text).id], [200, '17'])
  assert.equal(fixture.runs.hasRun('17'), true)
  await client.close()
})

test('invalid input gets an error status and "not run"', async () => {
  const client = createClient(nodeAddress(0))
  const cases: Array<[Promise<Reply>, number]> = [
    [client.send({ path: '/trays/1' }), 401],
    [client.send({ path: '/trays/1', key: 'wrong' }), 401],
    [client.send({ path: '/nowhere', key: fixture.key }), 404],
    [client.send({ path: `/trays/1?key=${fixture.key}`, key: fixture.key }), 400],
    [client.send({ method: 'POST', path: '/transfers', key: fixture.key, body: 'x'.repeat(1024 * 1024 + 1) }), 413],
    [client.send({ method: 'POST', path: '/transfers', key: fixture.key, body: `{"key":"${fixture.key}"}` }), 400],
    [client.send({ method: 'POST', path: '/transfers', key: fixture.key, idempotencyKey: 'k'.repeat(300) }), 400],
    [client.send({ path: '/.dogwoodspring/target', key: fixture.key }), 404]
  ]
  for (const [pending, status] of cases) {
    const reply = await pending
    assert.deepEqual([reply.status, reply.run], [status, 'not-run'], reply.text)
  }
  await client.close()
})

test('malformed, oversized and incomplete requests do not affect the node', async () => {
  const address = nodeAddress(0)
  assert.match(await sendRaw(address, 'NONSENSE\r\n\r\n'), /^HTTP\/1.1 400/)
  assert.match(await sendRaw(address, `GET / HTTP/1.1\r\nhost: x\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`), /^HTTP\/1.1 431/)
  await sendRaw(address, `POST /transfers HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${fixture.key}\r\ncontent-length: 100\r\nx-demo-id: half\r\n\r\nhalf`, 300)
  const client = createClient(address)
  assert.equal((await client.send({ path: '/trays/18', key: fixture.key, id: '18' })).status, 200)
  assert.equal(fixture.runs.hasRun('half'), false)
  await client.close()
})

test('a message without the cluster secret is refused', async () => {
  const { peer } = fixture.cluster.nodesWithTargets[0].node.addresses
  const answer = await fetch(`http://${peer}/.dogwoodspring/rpc`, { method: 'POST', body: '{"jsonrpc":"2.0","id":1,"method":"membership.sync","params":{"members":[]}}' })
  assert.equal(answer.status, 401)
  const call = await fetch(`http://${peer}/trays/1`)
  assert.equal(call.status, 404, 'calls are accepted over sessions only')
  const session = await sendRaw(peer, [
    'GET /.dogwoodspring/channel HTTP/1.1', `host: ${peer}`, 'connection: Upgrade', 'upgrade: dogwoodspring-channel',
    'x-dogwoodspring-session: made-up', 'x-dogwoodspring-received: 0', 'x-dogwoodspring-fresh: true', 'x-dogwoodspring-signature: 0.0.made-up', '', ''
  ].join('\r\n'))
  assert.match(session, /^HTTP\/1.1 401 Unauthorized\r\n/)
})

test('a target cannot call in the context of a request that it does not run', async () => {
  const { local } = fixture.cluster.nodesWithTargets[0].node.addresses
  const answer = await fetch(`http://${local}/trays/1`, { headers: { 'x-dogwoodspring-context': 'made-up' } })
  assert.equal(answer.status, 400)
  assert.equal(answer.headers.get('x-dogwoodspring-run'), 'not-run')
})

test('a change is active in every failure domain within 6 s, as status shows', async () => {
  const { revision } = await fixture.cluster.runUntilSuccess('workspace', 'set', 'odense', '--file', `${fixture.cluster.folder}/workspace.json`) as { revision: number }
  const acceptedAt = performance.now()
  let pendingDomains = domains
  while (pendingDomains.length > 0 && performance.now() - acceptedAt < 6000) {
    const status = await fixture.cluster.runUntilSuccess('status') as { domains: Array<{ domain: string, revision?: number }> }
    pendingDomains = domains.filter((domain) => (status.domains.find((row) => row.domain === domain)?.revision ?? 0) < revision)
  }
  assert.deepEqual(pendingDomains, [])
})

test('a withdrawn key is refused on open connections of all nodes', async () => {
  const { key, id } = await issueKey()
  const clients = fixture.cluster.nodesWithTargets.map(({ node }) => createClient(node.addresses.listen, 1))
  for (const client of clients) assert.equal((await client.send({ path: '/trays/2', key, id: '2' })).status, 200)
  await fixture.cluster.runUntilSuccess('key', 'withdraw', id)
  const withdrawnAt = performance.now()
  let lastServedAfterMs = 0
  while (performance.now() - withdrawnAt < withdrawalBoundMs + 1000) {
    const replies = await Promise.all(clients.map(async (client) => await client.send({ path: '/trays/2', key, id: '2' })))
    if (replies.some((reply) => reply.status === 200)) lastServedAfterMs = performance.now() - withdrawnAt
    await pause(20)
  }
  assert.ok(lastServedAfterMs < withdrawalBoundMs, `served ${lastServedAfterMs} ms after the withdrawal`)
  for (const client of clients) await client.close()
})

test('a withdrawn key is refused downstream in a running chain', async () => {
  const { key, id } = await issueKey()
  const client = createClient(nodeAddress(0))
  await fixture.setWorkTime('chitwatch', 3000)
  const order = client.send({ method: 'POST', path: '/orders', key, id: 'chain', body: '{}' })
  await pause(500)
  assert.equal(fixture.runs.runCount('POST orders chain'), 1, 'the order is running')
  await fixture.cluster.runUntilSuccess('key', 'withdraw', id)
  await order
  await fixture.setWorkTime('chitwatch', 5)
  assert.equal(fixture.runs.runCount('POST transfers chain'), 0, 'the next transfer of the order does not run')
  await client.close()
})

test('a suspended node does not serve a withdrawn key when it resumes', async () => {
  const { key, id } = await issueKey()
  const [suspendedStation] = fixture.cluster.nodesWithTargets
  const client = createClient(suspendedStation.node.addresses.listen, 1)
  assert.equal((await client.send({ path: '/trays/3', key, id: '3' })).status, 200)
  suspendedStation.node.signal('SIGSTOP')
  await fixture.cluster.runUntilSuccess('key', 'withdraw', id)
  await pause(withdrawalBoundMs)
  const pending = client.send({ path: '/trays/frozen', key, id: 'frozen' })
  await pause(200)
  suspendedStation.node.signal('SIGCONT')
  const replies = [await pending]
  for (let count = 0; count < 20; count++) replies.push(await client.send({ path: '/trays/frozen', key, id: 'frozen' }))
  for (const reply of replies) assert.notEqual(reply.status, 200, reply.text)
  assert.equal(fixture.runs.hasRun('frozen'), false)
  await client.close()
  await pause(3000)
  await fixture.waitUntilReady()
})

test('a node without a control quorum refuses keyed routes as not run and serves open ones', async () => {
  const { template } = await import('../../scripts/demo/template.ts')
  const open = { ...template, routes: [...template.routes, { name: 'open-lot', method: 'GET', path: '/open/:id', service: 'chitwatch', open: true }] }
  const { writeFileSync } = await import('node:fs')
  writeFileSync(`${fixture.cluster.folder}/open.json`, JSON.stringify(open))
  await fixture.cluster.runUntilSuccess('template', 'set', 'franchise', '--file', `${fixture.cluster.folder}/open.json`)
  await pause(1000)
  for (const control of fixture.cluster.controls) control.signal('SIGSTOP')
  await pause(4500)
  const client = createClient(nodeAddress(1))
  const keyed = await client.send({ path: '/trays/4', key: fixture.key, id: '4' })
  const unkeyed = await client.send({ path: '/open/5', id: '5' })
  for (const control of fixture.cluster.controls) control.signal('SIGCONT')
  assert.deepEqual([keyed.status, keyed.run], [503, 'not-run'], keyed.text)
  assert.equal(unkeyed.status, 200, unkeyed.text)
  await pause(4000)
  assert.equal((await client.send({ path: '/trays/6', key: fixture.key, id: '6' })).status, 200)
  await client.close()
})

test('a rolling restart under load interrupts no request', async () => {
  const stations = [...fixture.cluster.nodesWithTargets].slice(0, 3)
  const stopping = new Set<string>()
  let isRunning = true
  const interrupted: string[] = []
  let completed = 0
  const clients = new Map(fixture.cluster.nodesWithTargets.map((station) => [station.name, createClient(station.node.addresses.listen, 4)]))
  const callers = fixture.cluster.nodesWithTargets.map(async (station, index) => {
    for (let count = 0; isRunning && !stopping.has(station.name); count++) {
      const id = `roll-${index}-${count}`
      const reply = await clients.get(station.name)?.send({ path: `/trays/${id}`, key: fixture.key, id })
      if (reply?.status === 200) completed++
      if (reply?.status === 0) interrupted.push(`${station.name}: ${reply.error}`)
      await pause(30)
    }
  })
  for (const station of stations) {
    await pause(500)
    station.node.signal('SIGTERM')
    await pause(500)
    stopping.add(station.name)
    assert.equal(await station.node.ended, 0)
    await fixture.restart(station)
  }
  isRunning = false
  await Promise.all(callers)
  for (const client of clients.values()) await client.close()
  assert.deepEqual(interrupted, [])
  assert.ok(completed > 100, `${completed} complete answers`)
  await fixture.waitUntilReady()
})

test('a crash-causing request is banned after it ended two targets, and others are served', async () => {
  const targets = fixture.cluster.nodesWithTargets.filter(({ service }) => service === 'chitwatch')
  const endedTargets: string[] = []
  for (const { name, target } of targets) void target.ended.then(() => endedTargets.push(name))
  const replies: Reply[] = []
  for (let count = 0; count < 8; count++) {
    const client = createClient(nodeAddress(count))
    replies.push(await client.send({ path: '/lots/poison', key: fixture.key, id: 'poison' }))
    await client.close()
    await pause(retryDelayMs)
  }
  assert.ok(endedTargets.length <= 2, `${endedTargets.length} targets ended`)
  assert.match(replies[replies.length - 1].text, /quarantined/)
  const client = createClient(nodeAddress(1))
  assert.equal((await client.send({ path: '/lots/good', key: fixture.key, id: 'good' })).status, 200)
  await client.close()
})

test('no target received a key', () => {
  assert.equal(fixture.runs.leakedKeyCount(), 0)
})
