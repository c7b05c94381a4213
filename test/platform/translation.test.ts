import { spawnSync } from 'node:child_process'
import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { IncomingMessage } from 'node:http'
import type { ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { createDialect } from '../../platform/dialect.ts'
import { decodeConfiguration } from '../../platform/deployment.ts'
import { decodeHeartbeat } from '../../platform/instances.ts'
import { boundMs, coreSettingsSchema, peerAddresses, readSettingsFile } from '../../platform/settings.ts'
import { parseDuration, parseVersion } from '../../platform/values.ts'
import { digest } from '../../src/core/auth/index.ts'
import { fail } from '../../src/core/errors/index.ts'
import type { Call } from '../../src/core/node/types.ts'

const configurationDocument = {
  version: 'r7',
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeout: '3000ms', idleTimeout: '15s' },
  tenants: [{ name: 'w', apiKeys: ['secret-1', 'secret-2'], priority: 1, ratePerS: 86, burst: 90 }, { name: 'v', apiKeys: [] }],
  listeners: [{
    host: 'A.example',
    routeRules: [
      {
        name: 'r1',
        kind: 'idempotent',
        targetLatency: '1500ms',
        priority: 2,
        public: true,
        match: { pathPrefix: '/p/' },
        action: { split: [{ service: 's', weight: 90 }, { service: 't', weight: 10 }], timeout: '6s', maxAttempts: 2 }
      },
      { name: 'r2', kind: 'upload', targetLatency: '800ms', priority: 0, match: { pathPrefix: '/u/' }, action: { service: 't', timeout: '800ms', maxAttempts: 1 } }
    ]
  }],
  clusters: [{ name: 's', healthPath: '/health', maxConnections: 688, protocol: 'h1', tls: false }, { name: 't', maxConnections: 5 }],
  unknownField: true
}

function decodeWithChange (change: (document: typeof configurationDocument) => void) {
  const document = structuredClone(configurationDocument)
  change(document)
  return decodeConfiguration(JSON.stringify(document))
}

test('durations and versions are parsed', () => {
  assert.deepEqual(['1500ms', '2.5s', '0ms', '5', '-1s', ''].map(parseDuration), [1500, 2500, 0, undefined, undefined, undefined])
  assert.deepEqual(['r12', '0', 'r', 'x1'].map(parseVersion), [12, 0, undefined, undefined])
})

test('a configuration is decoded into a deployment with digests of its keys', () => {
  const decoded = decodeConfiguration(JSON.stringify(configurationDocument))
  assert.ok(decoded.ok, decoded.ok ? '' : decoded.reason)
  const { version, routes, services, workspaces, limits } = decoded.value
  assert.deepEqual([version, limits.idleTimeoutMs], [7, 15_000])
  assert.deepEqual(routes.map(({ host, prefix, idempotent, open, timeoutMs }) => [host, prefix, idempotent, open, timeoutMs]), [
    ['a.example', '/p/', true, true, 6000], ['a.example', '/u/', false, false, 800]
  ])
  assert.deepEqual(routes[0].destinations, [{ service: 's', weight: 90 }, { service: 't', weight: 10 }])
  assert.deepEqual(services[0], { name: 's', maxConnections: 688 })
  assert.deepEqual(workspaces[0], { name: 'w', keys: [digest('secret-1'), digest('secret-2')], priority: 1, rate: 86, burst: 90 })
  assert.equal(workspaces[1].rate, 0)
})

test('malformed configurations are refused with a reason', () => {
  assert.match(reasonOf(decodeConfiguration(JSON.stringify(configurationDocument).slice(0, 200))), /not valid JSON/)
  assert.match(reasonOf(decodeWithChange((document) => { document.listeners[0].host = '' })), /a host is empty/)
  assert.match(reasonOf(decodeWithChange((document) => { document.listeners[0].routeRules[0].action.maxAttempts = 0 })), /maxAttempts/)
  assert.match(reasonOf(decodeWithChange((document) => { document.listeners[0].routeRules[0].action.timeout = '6' })), /timeout/)
  assert.match(reasonOf(decodeWithChange((document) => { document.listeners[0].routeRules[0].kind = 'sometimes' })), /kind/)
  assert.match(reasonOf(decodeConfiguration('null')), /document/)
})

function reasonOf (decoded: { ok: boolean, reason?: string }): string {
  return decoded.reason ?? 'accepted'
}

const settings = { service: 's', serverAddress: '10.0.0.9:8080' }
const heartbeatDocument = { service: 's', address: '10.0.0.9:8080', zone: 'z', version: 'v1', slots: 98, state: 'ready', coldLeft: '0ms', sequence: 4, born: 1_700_000_000_000 }

test('a heartbeat identifies the incarnation of its server', () => {
  const decoded = decodeHeartbeat('i-1', heartbeatDocument, settings)
  assert.ok(decoded.ok)
  assert.deepEqual(decoded.value.incarnation, { instance: 'i-1', bornAt: heartbeatDocument.born, sequence: 4 })
  assert.equal(decoded.value.state, 'up')
  const draining = decodeHeartbeat('i-1', { ...heartbeatDocument, state: 'draining' }, settings)
  assert.equal(draining.ok && draining.value.state, 'leaving')
})

test('malformed heartbeats and heartbeats of other servers are refused', () => {
  const documents: unknown[] = [
    undefined, null, 3, [], {}, { ...heartbeatDocument, service: 'other' }, { ...heartbeatDocument, address: '10.0.0.8:8080' }, { ...heartbeatDocument, slots: '98' },
    { ...heartbeatDocument, state: 'gone' }, { ...heartbeatDocument, born: '1' }, { ...heartbeatDocument, sequence: undefined }
  ]
  for (const document of documents) assert.equal(decodeHeartbeat('i-1', document, settings).ok, false, JSON.stringify(document))
  assert.equal(decodeHeartbeat('', heartbeatDocument, settings).ok, false)
})

test('reserved headers of callers are not forwarded', () => {
  const dialect = createDialect('shop', '10.0.0.9')
  const raw = [
    'Host', 'a.example', 'X-Dogwoodspring-Request-Id', 'id-1', 'X-Dogwoodspring-Key', 'secret', 'X-Dogwoodspring-Tenant-Id', 'forged',
    'X-Dogwoodspring-Caller-Service', 'forged', 'X-Dogwoodspring-Expect-Instance', 'forged', 'X-Dogwoodspring-Deadline-Ms', '99999', 'Connection', 'X-Hop', 'X-Hop', '1', 'Accept', '*/*'
  ]
  assert.deepEqual(dialect.requestHeaders(raw, 'w'), ['x-dogwoodspring-request-id', 'id-1', 'accept', '*/*', 'x-dogwoodspring-caller-service', 'shop', 'x-dogwoodspring-tenant-id', 'w'])
  assert.equal(dialect.requestHeaders(raw, null).includes('x-dogwoodspring-tenant-id'), false)
})

test('a server receives its expected instance and the remaining time', () => {
  const call = { headers: ['accept', '*/*'], context: { host: 'a.example' } } as unknown as Call
  const headers = createDialect('shop', '10.0.0.9').targetHeaders(call, { token: 't', instance: 'i-1', remainingMs: 1234.9 })
  assert.deepEqual(headers, ['host', 'a.example', 'accept', '*/*', 'x-dogwoodspring-expect-instance', 'i-1', 'x-dogwoodspring-deadline-ms', '1234'])
})

test('host, key and deadline are read from a request', () => {
  const request = new IncomingMessage(new Socket())
  request.headers = { host: 'a.example', 'x-dogwoodspring-key': 'secret', 'x-dogwoodspring-deadline-ms': '5000' }
  assert.deepEqual(createDialect('shop', '10.0.0.9').read(request), { ok: true, value: { host: 'a.example', key: 'secret', timeLeftMs: 5000, fromTargetAddress: false } })
  request.headers['x-dogwoodspring-deadline-ms'] = 'soon'
  assert.deepEqual(createDialect('shop', '10.0.0.9').read(request), { ok: true, value: { host: 'a.example', key: 'secret', timeLeftMs: undefined, fromTargetAddress: false } })
})

test('only an explicit response counts as not run', () => {
  const { reportsNotRun: saysNotRun } = createDialect('shop', '10.0.0.9')
  assert.deepEqual([saysNotRun(421, {}), saysNotRun(503, {}), saysNotRun(503, { 'x-dogwoodspring-not-executed': '1' }), saysNotRun(500, {})], [true, false, true, false])
})

test('an invalid settings file fails with the name of the field or the cause', () => {
  const path = join(mkdtempSync(join(tmpdir(), 'settings-')), 'settings.json')
  const complete = {
    name: 'core-1',
    domain: 'z',
    ip: '10.0.0.1',
    peerPorts: [7000, 7015],
    seeds: ['10.0.0.1:8540', '10.0.0.2:8540'],
    bootstrap: true,
    bounds: { grace: '6s', strictRevoke: false },
    controlAddress: '10.0.0.1:8540',
    dataFolder: '/data',
    unknown: 1
  }
  writeFileSync(path, JSON.stringify(complete))
  const outcome = readSettingsFile(coreSettingsSchema, path)
  assert.ok(outcome.ok)
  assert.deepEqual(peerAddresses(outcome.value), { own: '10.0.0.1:7000', second: '10.0.0.1:7001', seeds: ['10.0.0.1:7000', '10.0.0.2:7000'] })
  assert.deepEqual([boundMs(outcome.value.bounds, 'grace', 1), boundMs(outcome.value.bounds, 'drain', 2000)], [6000, 2000])
  writeFileSync(path, JSON.stringify({ ...complete, seeds: ['core-1'] }))
  assert.match(messageOf(readSettingsFile(coreSettingsSchema, path)), /seeds.0: an address is IP:PORT/)
  writeFileSync(path, '{')
  assert.match(messageOf(readSettingsFile(coreSettingsSchema, path)), /JSON/)
  assert.match(messageOf(readSettingsFile(coreSettingsSchema, '/nowhere')), /no such file/)
})

function messageOf (outcome: { ok: boolean, message?: string }): string {
  return outcome.message ?? 'accepted'
}

test('a program with an invalid settings file and secret prints a line for each and exits with code 2', () => {
  const program = join(import.meta.dirname, '../../platform/main.ts')
  const environment = { ...process.env, DOGWOODSPRING_BOOT: '/nowhere', DOGWOODSPRING_CLUSTER_SECRET: 'short' }
  const { status, stderr } = spawnSync(process.execPath, ['--import', 'tsx', program, 'sidecar'], { env: environment, encoding: 'utf8' })
  assert.equal(status, 2)
  assert.match(stderr, /DOGWOODSPRING_BOOT is "\/nowhere"; allowed: .*no such file/)
  assert.match(stderr, /--cluster-secret is "\(hidden\)"; allowed: at least 16 characters each/)
})

test('a refusal never asks its caller to wait for longer than planned', () => {
  const dialect = createDialect('s', '10.0.0.2')
  for (const [retryAfterMs, expected] of [[499.9, '0.49'], [50, '0.05'], [0, '0.00'], [1666.66, '1.66']] as const) {
    const sent: Array<Record<string, string>> = []
    const response = {
      writeHead (_: number, headers: Record<string, string>) {
        sent.push(headers)
        return { end () {} }
      }
    } as unknown as ServerResponse
    dialect.writeRefusal(response, { failure: fail('overloaded', { service: 's', reason: 'short' }), run: 'not-run', retryAfterMs })
    assert.equal(sent[0]['retry-after'], expected)
  }
})
