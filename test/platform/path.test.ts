import assert from 'node:assert/strict'
import type { IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { configuration, createMachines, eventually } from './machines.ts'
import type { Machines } from './machines.ts'

async function withMachines (use: (machines: Machines) => Promise<void>): Promise<void> {
  const machines = await createMachines()
  try {
    await use(machines)
  } finally {
    await machines.stop()
  }
}

/** Sends a configuration repeatedly until a core acknowledges it. */
async function replaceUntilAccepted (machines: Machines, core: number, base: string, document: object): Promise<void> {
  await eventually(async () => (await machines.replaceConfiguration(core, base, document)).status === 200)
}

test('a request reaches a server on another machine, with a control group formed from seeds', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3, 4]) machines.startCore(number, true)
  const callerServer = await machines.startSidecar(1, 'other')
  const calledServer = await machines.startSidecar(2, 'shop')
  await eventually(async () => await callerServer.sendHeartbeat('ready') === 200 && await calledServer.sendHeartbeat('ready') === 200)
  await eventually(async () => await machines.readyStatus(1) === 503)
  assert.equal((await machines.send(1, '/p/x')).status, 503, 'requests are refused before the first configuration')
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await eventually(async () => await machines.readyStatus(1) === 200)
  await eventually(async () => (await machines.send(1, '/p/x?y=1')).status === 200)
  const reply = await machines.send(1, '/p/x?y=1')
  assert.deepEqual([reply.text, reply.headers['x-dogwoodspring-server-stamp']], ['whole answer', 'stamp'])
  const forwarded = calledServer.received.at(-1)
  assert.equal(forwarded?.url, '/p/x?y=1')
  const { host, 'x-dogwoodspring-key': key, 'x-dogwoodspring-caller-service': caller, 'x-dogwoodspring-tenant-id': tenant, 'x-dogwoodspring-expect-instance': instance } = forwarded?.headers ?? {}
  assert.deepEqual([host, key, caller, tenant, instance], ['a.example', undefined, 'other', 'w', 'i-2'])
  assert.ok(Number(forwarded?.headers['x-dogwoodspring-deadline-ms']) <= 3000)
  assert.equal((await machines.send(1, '/q/')).status, 404)
  assert.equal((await machines.send(1, '/p/x', { 'x-dogwoodspring-key': 'wrong' })).status, 401)
  assert.equal((await machines.replaceConfiguration(2, 'r2', configuration(9, 'shop'))).status, 412)
  assert.equal((await machines.replaceConfiguration(2, 'r3', { ...configuration(9, 'shop'), clusters: [] })).status, 400)
  assert.equal((await machines.replaceConfiguration(4, '0', configuration(3, 'shop'))).status, 200, 'a repeated change gets the same answer from any core')
  assert.deepEqual(JSON.parse((await machines.readConfiguration(3)).text), configuration(3, 'shop'))
  calledServer.respondWith((request, response) => {
    response.writeHead(503, { 'x-dogwoodspring-not-executed': '1', 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] }).end()
  })
  const refused = await machines.send(1, '/p/x')
  assert.equal(refused.status, 503)
  assert.ok(Number(refused.headers['retry-after']) > 0)
}))

test('a core that lost its disk rejoins as a new member, and no acknowledged change is lost', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await replaceUntilAccepted(machines, 2, 'r3', configuration(5, 'shop'))
  // An instance that is killed before its first start has ended has no identity yet and would be a second lost disk.
  for (const number of [1, 2, 3]) await eventually(async () => (await machines.readConfiguration(number)).status === 200)
  await machines.kill('core-1')
  machines.deleteData(1)
  await Promise.all([machines.kill('core-2'), machines.kill('core-3')])
  for (const number of [1, 2, 3]) machines.startCore(number, false)
  await eventually(async () => (await machines.readConfiguration(1)).status === 200)
  assert.deepEqual(JSON.parse((await machines.readConfiguration(1)).text), configuration(5, 'shop'))
  await eventually(async () => machines.logOf('core-2').concat(machines.logOf('core-3')).includes('"voter":true}]}}') && new RegExp(`after":\\[[^\\]]*c-${machines.coreIp(1).replaceAll('.', '-')}-[0-9a-f]{8}","address":"[^"]*","voter":true`).test(machines.logOf('core-2') + machines.logOf('core-3')))
  const [killedNumber] = [2, 3].filter((number) => !machines.logOf(`core-${number}`).includes('"role":"leader"'))
  await machines.kill(`core-${killedNumber ?? 3}`)
  machines.deleteData(killedNumber ?? 3)
  await replaceUntilAccepted(machines, 1, 'r5', configuration(6, 'shop'))
  assert.deepEqual(JSON.parse((await machines.readConfiguration(1)).text), configuration(6, 'shop'))
}))

test('on SIGTERM a sidecar reports not ready, finishes its requests and exits in time', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const server = await machines.startSidecar(1, 'shop')
  await eventually(async () => await server.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  server.respondWith((request, response) => {
    const headers = { 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] }
    setTimeout(() => response.writeHead(200, headers).end('slow answer'), 1500)
  })
  const running = machines.send(1, '/p/x')
  await eventually(async () => server.received.length >= 2)
  const startedAt = performance.now()
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  await eventually(async () => await machines.readyStatus(1) === 503, 1000)
  assert.equal((await running).text, 'slow answer')
  assert.equal((await machines.send(1, '/p/x')).text, 'slow answer', 'callers that do not know of the stop yet are still served')
  assert.equal(await ended, 0)
  assert.ok(performance.now() - startedAt < 6000)
}))

test('a request on a connection that was opened before a stopping sidecar closes is not begun and then cut', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const callerServer = await machines.startSidecar(1, 'other')
  const calledServer = await machines.startSidecar(2, 'shop')
  await eventually(async () => await callerServer.sendHeartbeat('ready') === 200 && await calledServer.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  calledServer.respondWith((request, response) => {
    const headers = { 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] }
    setTimeout(() => response.writeHead(200, headers).end('slow answer'), 600)
  })
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  const callers = []
  for (let last = await machines.connect(1); last !== undefined; last = await machines.connect(1)) {
    callers.push(last)
    await pause(10)
  }
  const replies = await Promise.all(callers.map(async (caller, number) => ({ id: `late-${number}`, text: await caller.send('/p/x', `late-${number}`) })))
  await ended
  const begun = new Set(calledServer.received.map(({ headers }) => headers['x-dogwoodspring-request-id']))
  const cut = replies.filter(({ id, text }) => begun.has(id) && !text.endsWith('slow answer'))
  assert.deepEqual(cut, [], `${cut.length} of ${callers.length} requests reached a server and got no whole answer`)
}))

test('callers on the machine of a fully loaded server are refused in time and are not mistaken for the server', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const server = await machines.startSidecar(1, 'shop')
  await eventually(async () => await server.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', { ...configuration(3, 'shop'), tenants: [{ name: 'w', apiKeys: ['secret'], ratePerS: 0, burst: 0 }] })
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  server.respondWith((request, response) => {
    setTimeout(() => response.writeHead(200, { 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] }).end(), 1500)
  })
  const startedAt = performance.now()
  const waits: number[] = []
  const replies = await Promise.all(Array.from({ length: 12 }, async (_, number) => {
    const reply = await machines.sendFromMachine(1, '/p/x', { 'x-dogwoodspring-request-id': `id-${number}` })
    if (reply.status === 503) waits.push(performance.now() - startedAt)
    return reply.status
  }))
  assert.deepEqual(replies.sort(), [200, 200, 200, 200, 503, 503, 503, 503, 503, 503, 503, 503])
  assert.ok(Math.max(...waits) < 1000, `${Math.max(...waits)} ms`)
}))

test('a response without a length that is cut between two machines is never reported as complete', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const callerServer = await machines.startSidecar(1, 'other')
  const calledServer = await machines.startSidecar(2, 'shop')
  await eventually(async () => await callerServer.sendHeartbeat('ready') === 200 && await calledServer.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  const head = (request: IncomingMessage) => `HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ${String(request.headers['x-dogwoodspring-request-id'])}\r\n\r\n`
  calledServer.respondWith((request) => void request.socket.end(`${head(request)}all of it`))
  assert.equal((await machines.send(1, '/p/x')).text, 'all of it')
  calledServer.respondWith((request) => {
    request.socket.write(`${head(request)}half of it`)
    setTimeout(() => request.socket.resetAndDestroy(), 20)
  })
  for (const sidecar of [1, 2]) assert.equal((await machines.send(sidecar, '/p/x')).status, 0)
}))

test('a withdrawn key stays withdrawn when all processes are killed and started again at once', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const server = await machines.startSidecar(1, 'shop')
  await eventually(async () => await server.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  for (const number of [1, 2, 3]) await eventually(async () => (await machines.readConfiguration(number)).status === 200)
  await replaceUntilAccepted(machines, 1, 'r3', configuration(5, 'shop', 'new-secret'))
  await eventually(async () => (await machines.send(1, '/p/x')).status === 401)
  await Promise.all(['core-1', 'core-2', 'core-3', 'sidecar-1'].map((name) => machines.kill(name)))
  const runsBefore = server.received.length
  for (const number of [1, 2, 3]) machines.startCore(number, false)
  machines.restartSidecar(1, 'shop')
  const statuses = new Set<number>()
  await eventually(async () => {
    await server.sendHeartbeat('ready')
    statuses.add((await machines.send(1, '/p/x')).status)
    return statuses.has(401)
  })
  assert.deepEqual([...statuses].filter((status) => ![0, 401, 503].includes(status)), [], 'the old key is refused from the first request on')
  assert.equal(server.received.length, runsBefore)
  await eventually(async () => (await machines.send(1, '/p/x', { 'x-dogwoodspring-key': 'new-secret' })).status === 200)
}))

test('a server that is leaving gets no request after all processes were killed and started again at once', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const server = await machines.startSidecar(1, 'shop')
  await eventually(async () => await server.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', { ...configuration(3, 'shop'), tenants: [{ name: 'w', apiKeys: ['secret'], ratePerS: 0, burst: 0 }] })
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  for (const number of [1, 2, 3]) await eventually(async () => (await machines.readConfiguration(number)).status === 200)
  assert.equal(await server.sendHeartbeat('draining'), 200)
  await eventually(async () => (await machines.send(1, '/p/x')).status === 503)
  await Promise.all(['core-1', 'core-2', 'core-3', 'sidecar-1'].map((name) => machines.kill(name)))
  const runsBefore = server.received.length
  for (const number of [1, 2, 3]) machines.startCore(number, false)
  machines.restartSidecar(1, 'shop')
  await eventually(async () => await server.sendHeartbeat('draining') === 200 && await machines.readyStatus(1) === 200)
  for (let count = 0; count < 10; count++) {
    assert.equal((await machines.send(1, '/p/x')).status, 503)
    await server.sendHeartbeat('draining')
  }
  assert.equal(server.received.length, runsBefore)
  assert.equal(await server.sendHeartbeat('ready'), 200)
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
}))

test('a request that is running is not reported as refused when its server repeats an earlier refusal', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const server = await machines.startSidecar(1, 'shop')
  await eventually(async () => await server.sendHeartbeat('ready') === 200)
  const action = { service: 'shop', timeout: '3s', maxAttempts: 3 }
  const routeRules = [{ name: 'r', kind: 'non_idempotent', targetLatency: '500ms', match: { pathPrefix: '/p/' }, action }]
  await replaceUntilAccepted(machines, 1, '0', { ...configuration(3, 'shop'), listeners: [{ host: 'a.example', routeRules }] })
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  const sendings = new Map<string, number>()
  const sockets = new Set<object>()
  server.respondWith((request, response) => {
    const id = String(request.headers['x-dogwoodspring-request-id'])
    sendings.set(id, (sendings.get(id) ?? 0) + 1)
    sockets.add(request.socket)
    // A second sending begins to run, and the refusal of the first one is written once more.
    response.writeHead(503, { 'x-dogwoodspring-not-executed': '1', 'x-dogwoodspring-request-id': id }).end()
  })
  for (const id of ['id-2', 'id-3', 'id-4']) assert.equal((await machines.send(1, '/p/x', { 'x-dogwoodspring-request-id': id })).status, 503)
  assert.deepEqual([...sendings.values()], [1, 1, 1])
  assert.equal(sockets.size, 1, 'the connection that carried a refusal is kept')
}))

test('large responses without a length end no process on their way', () => withMachines(async (machines) => {
  for (const number of [1, 2, 3]) machines.startCore(number, true)
  const callerServer = await machines.startSidecar(1, 'other')
  const calledServer = await machines.startSidecar(2, 'shop')
  await eventually(async () => await callerServer.sendHeartbeat('ready') === 200 && await calledServer.sendHeartbeat('ready') === 200)
  await replaceUntilAccepted(machines, 1, '0', configuration(3, 'shop'))
  await eventually(async () => (await machines.send(1, '/p/x')).status === 200)
  const text = 'x'.repeat(300_000)
  calledServer.respondWith((request) => {
    request.socket.end(`HTTP/1.1 200 OK\r\nx-dogwoodspring-request-id: ${String(request.headers['x-dogwoodspring-request-id'])}\r\n\r\n${text}`)
  })
  for (let count = 0; count < 10; count++) {
    const reply = await machines.send(1, '/p/x')
    assert.deepEqual([reply.status, reply.text.length], [200, text.length])
  }
}))
