import assert from 'node:assert/strict'
import { test } from 'node:test'
import { changeSchema, check } from '../../src/core/config/index.ts'
import { deployment, route } from './document.ts'

const oddNumbers = [1e308, Infinity, NaN, -1, 2 ** 53, '1', null]
const changes: Array<(odd: number) => Parameters<typeof deployment>[1]> = [
  (odd) => ({ limits: { ...deployment(1).limits, bodyBytes: odd } }),
  (odd) => ({ limits: { ...deployment(1).limits, headerTimeoutMs: odd } }),
  (odd) => ({ routes: [route({ priority: odd })] }),
  (odd) => ({ routes: [route({ timeoutMs: odd })] }),
  (odd) => ({ routes: [route({ objectiveMs: odd })] }),
  (odd) => ({ routes: [route({ maxAttempts: odd })] }),
  (odd) => ({ routes: [route({ destinations: [{ service: 's', weight: odd }, { service: 't', weight: 1 }] })] }),
  (odd) => ({ services: [{ name: 's', maxConnections: odd }] }),
  (odd) => ({ workspaces: [{ name: 'w', keys: [], rate: odd, burst: 1 }] }),
  (odd) => ({ workspaces: [{ name: 'w', keys: [], rate: 1, burst: odd }] })
]

test('a configuration with a number out of range is refused', () => {
  for (const change of changes) {
    for (const odd of oddNumbers) {
      const value = deployment(3, change(odd as number))
      const checked = check(changeSchema, { kind: 'deployment', name: 'current', changeId: 'c', value, source: '' })
      assert.ok(!checked.ok && checked.reason.length < 300, `${String(odd)} in ${JSON.stringify(change(1))}`)
    }
    const usual = deployment(3, change(2))
    assert.equal(check(changeSchema, { kind: 'deployment', name: 'current', changeId: 'c', value: usual, source: '' }).ok, true)
  }
})
