import assert from 'node:assert/strict'
import { test } from 'node:test'
import { digest } from '../../src/core/auth/index.ts'
import { applyDeltas, changeSchema, check, emptyConfiguration, rateLimitOf } from '../../src/core/config/index.ts'
import { applyCommand, configurationOf, createRegistry } from '../../src/core/registry/index.ts'
import { deployment, route } from '../deployment/document.ts'

type Registry = ReturnType<typeof createRegistry>

/** Replaces the deployment by one with `version`, based on version `base`; the change id is the document's digest. */
function replace (registry: Registry, version: number, base: number, changes: Parameters<typeof deployment>[1] = {}) {
  const value = deployment(version, changes)
  const source = JSON.stringify(value)
  const change = check(changeSchema, { kind: 'deployment', name: 'current', changeId: digest(source), expectRevision: base, value, source })
  assert.ok(change.ok, change.ok ? '' : change.reason)
  return applyCommand(registry, { type: 'change', operator: 'anna', at: 0, change: change.value })
}

function codeOf (result: ReturnType<typeof replace>): string {
  return result.ok ? 'ok' : result.code
}

test('each version is based on the one before', () => {
  const registry = createRegistry()
  assert.equal(codeOf(replace(registry, 3, 0)), 'ok')
  assert.equal(codeOf(replace(registry, 7, 3)), 'ok')
  assert.equal(registry.deployment?.value.version, 7)
})

test('of two changes based on the same version, one is accepted and the others conflict', () => {
  const registry = createRegistry()
  replace(registry, 3, 0)
  assert.equal(codeOf(replace(registry, 5, 3)), 'ok')
  assert.equal(codeOf(replace(registry, 5, 3, { routes: [route({ name: 'other' })] })), 'conflict')
  assert.equal(codeOf(replace(registry, 6, 3)), 'conflict')
  assert.equal(registry.deployment?.value.routes[0].name, 'r')
})

test('retry of an accepted document is acknowledged again, also after another change', () => {
  const registry = createRegistry()
  replace(registry, 3, 0)
  assert.equal(codeOf(replace(registry, 3, 0)), 'ok')
  replace(registry, 4, 3)
  assert.equal(codeOf(replace(registry, 3, 0)), 'ok')
  assert.equal(registry.deployment?.value.version, 4)
})

test('a refused document is accepted on retry once its base version is current', () => {
  const registry = createRegistry()
  replace(registry, 1, 0)
  assert.equal(codeOf(replace(registry, 9, 4)), 'conflict')
  replace(registry, 4, 1)
  assert.equal(codeOf(replace(registry, 9, 4)), 'ok')
})

test('a version that is not above the current one and a document with semantic errors are refused', () => {
  const registry = createRegistry()
  replace(registry, 3, 0)
  assert.equal(codeOf(replace(registry, 2, 3)), 'invalidChange')
  assert.equal(codeOf(replace(registry, 4, 3, { services: [] })), 'invalidChange')
  assert.equal(registry.deployment?.value.version, 3)
})

test('deltas bring nodes that are behind the newest deployment and keep no older one', () => {
  const registry = createRegistry()
  replace(registry, 1, 0)
  const behind = configurationOf(registry)
  replace(registry, 2, 1)
  replace(registry, 3, 2)
  assert.equal(registry.deltas.filter(({ differences }) => differences.length > 0).length, 1)
  assert.equal(applyDeltas(behind, registry.deltas).deployments.current?.version, 3)
  assert.equal(applyDeltas(emptyConfiguration(), registry.deltas).deployments.current?.version, 3)
})

test('workspaces of a deployment have a rate limit unless their rate is 0', () => {
  const registry = createRegistry()
  replace(registry, 1, 0, { workspaces: [{ name: 'w', keys: [], rate: 5, burst: 7 }, { name: 'free', keys: [], rate: 0, burst: 0 }] })
  const configuration = configurationOf(registry)
  assert.deepEqual(rateLimitOf(configuration, 'w'), { rate: 5, burst: 7 })
  assert.equal(rateLimitOf(configuration, 'free'), undefined)
  assert.equal(rateLimitOf(configuration, 'unknown'), undefined)
})

test('the audit trail contains version and digest of a deployment, never the document', () => {
  const registry = createRegistry()
  replace(registry, 1, 0)
  const [entry] = registry.audit
  assert.equal(JSON.stringify(entry).includes('destinations'), false)
  assert.deepEqual(entry.after, { version: 1, sha256: digest(JSON.stringify(deployment(1))) })
})
