import assert from 'node:assert/strict'
import { test } from 'node:test'
import { digest } from '../../src/core/auth/index.ts'
import { createDeploymentTable, findDeploymentProblem, drawService, normalizeHost } from '../../src/core/deployment/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { deployment, route } from './document.ts'

test('the longest prefix that matches whole path segments wins', () => {
  const routes = [route({ name: 'short', prefix: '/p/' }), route({ name: 'long', prefix: '/p/q/' }), route({ name: 'root', prefix: '/', host: 'b.example' })]
  const table = createDeploymentTable(deployment(1, { routes }))
  assert.equal(table.findRoute('a.example', '/p/q/r')?.name, 'long')
  assert.equal(table.findRoute('a.example', '/p/qr')?.name, 'short')
  assert.equal(table.findRoute('a.example', '/p'), undefined)
  assert.equal(table.findRoute('a.example', '/other'), undefined)
  assert.equal(table.findRoute('b.example', '/anything')?.name, 'root')
  assert.equal(table.findRoute('c.example', '/p/q/'), undefined)
})

test('host is compared without port and case-insensitively', () => {
  assert.equal(normalizeHost('A.Example:8080'), 'a.example')
})

test('workspaces are found by the digest of a key only', () => {
  const table = createDeploymentTable(deployment(1))
  assert.equal(table.findOwner(digest('key-of-w'))?.name, 'w')
  assert.equal(table.findOwner('key-of-w'), undefined)
})

test('requests are split in proportion to the weights', () => {
  const split = route({ destinations: [{ service: 's', weight: 90 }, { service: 't', weight: 10 }, { service: 'none', weight: 0 }] })
  const random = createRandom(5)
  const drawn = new Map<string, number>()
  for (let count = 0; count < 20_000; count++) {
    const service = drawService(split, random)
    drawn.set(service, (drawn.get(service) ?? 0) + 1)
  }
  assert.ok(Math.abs((drawn.get('t') ?? 0) / 20_000 - 0.1) < 0.01)
  assert.equal(drawn.has('none'), false)
})

test('semantic errors of a document are reported', () => {
  assert.equal(findDeploymentProblem(deployment(1)), undefined)
  assert.match(findDeploymentProblem(deployment(1, { routes: [route({ destinations: [{ service: 'x', weight: 1 }] })] })) ?? '', /service x, which is not defined/)
  assert.match(findDeploymentProblem(deployment(1, { routes: [route({ destinations: [{ service: 's', weight: 0 }] })] })) ?? '', /add up to 0/)
  assert.match(findDeploymentProblem(deployment(1, { routes: [route(), route({ name: 'again' })] })) ?? '', /stands twice/)
  const workspace = deployment(1).workspaces[0]
  assert.match(findDeploymentProblem(deployment(1, { workspaces: [workspace, { ...workspace, name: 'v' }] })) ?? '', /two workspaces/)
})
