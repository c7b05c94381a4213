import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { takeLoopbackNetwork } from '../../scripts/support/loopback.ts'
import type { LoopbackNetwork } from '../../scripts/support/loopback.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { startControl } from '../../src/core/control/index.ts'
import type { Control } from '../../src/core/control/index.ts'
import { loadHash } from '../../src/core/hash/index.ts'
import { createLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { startNode } from '../../src/core/node/index.ts'
import type { Node } from '../../src/core/node/index.ts'
import { createUnpredictableRandom } from '../../src/core/random/index.ts'

const secrets = ['cluster-secret-for-tests']
const operatorToken = 'operator-token-for-tests'
const program = join(import.meta.dirname, '../../src/cli/index.ts')
const lines: string[] = []
let network: LoopbackNetwork
let folder: string
let control: Control
let node: Node
let key: string

interface Result {
  code: number
  stdout: string
  stderr: string
}

/** Runs the command as a process of its own. */
function runWhere (args: readonly string[], env: Record<string, string> = {}): Promise<Result> {
  return new Promise((resolve) => {
    const child = execFile(process.execPath, ['--import', 'tsx', program, 'where', ...args], { env: { ...process.env, ...env } }, (error, stdout, stderr) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr })
    })
    child.stdin?.end()
  })
}

/** Repeats `check` until it holds. */
async function eventually (check: () => Promise<boolean>): Promise<void> {
  const until = performance.now() + 30_000
  while (!await check()) {
    if (performance.now() > until) throw new Error(`not met in time: ${String(check)}`)
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
}

async function administer (method: string, path: string, body: unknown): Promise<{ status: number, body: Record<string, unknown> }> {
  const headers = { authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json', 'x-change-id': `${method}:${path.replaceAll('/', '-')}` }
  const response = await fetch(`http://${control.adminAddress}${path}`, { method, headers, body: JSON.stringify(body) })
  return { status: response.status, body: await response.json() as Record<string, unknown> }
}

async function configure (): Promise<void> {
  const template = { routes: [{ name: 'trays', method: 'GET', path: '/trays/:id', service: 'shop', priority: 'high' }] }
  await eventually(async () => (await administer('PUT', '/v1/templates/t', template)).status === 200)
  await eventually(async () => (await administer('PUT', '/v1/workspaces/w', { template: 't', parameters: { rate: 50, burst: 50 } })).status === 200)
  const issued = await administer('POST', '/v1/keys', { workspace: 'w' })
  assert.equal(issued.status, 200)
  key = String(issued.body.key)
  node.announce({ service: 'shop', address: `${network.host(10, 1)}:9`, slots: 4, connections: 4, state: 'up' })
}

before(async () => {
  network = await takeLoopbackNetwork()
  folder = mkdtempSync(join(tmpdir(), 'dogwoodspring-where-'))
  const environment = () => ({ clock: systemClock, random: createUnpredictableRandom(), log: createLog(true, { write: (line) => void lines.push(line), finish () {} }), metrics: createMetrics() })
  const peer = `${network.host(1, 1)}:${network.nextPort()}`
  const started = await startControl({
    id: 'c1', domain: 'd', peer, admin: `${network.host(1, 1)}:0`, data: folder, members: [{ id: 'c1', address: peer, voter: true }], join: false, autoMembers: false, bootstrap: false, rateWindowMs: 0, claims: false, seeds: [], secrets, operatorToken
  }, environment(), await loadHash())
  assert.ok(started.ok)
  control = started.value
  const free = `${network.host(10, 1)}:0`
  node = await startNode({ id: 'n-1', domain: 'd', listen: free, peer: free, local: free, seeds: [peer], secrets, stopTimeoutMs: 0 }, environment(), await loadHash())
  await configure()
  await eventually(async () => (await runWhere(['--node', node.localAddress, '--workspace', 'w', '/trays/1'])).code === 0)
})
after(async () => {
  await node.stop()
  await control.stop()
  await network.release()
  rmSync(folder, { recursive: true })
})

test('prints where a request of a key would go, and never the key', async () => {
  const { code, stdout, stderr } = await runWhere(['--node', node.localAddress, '/trays/17'], { DOGWOODSPRING_KEY: key })
  assert.equal(code, 0, stderr)
  assert.match(stdout, /^route +trays of template t, rank 1$/m)
  assert.match(stdout, /^workspace +w$/m)
  assert.match(stdout, /^goes to +n-1$/m)
  assert.match(stdout, /^n-1 +d +stays +4 /m)
  assert.match(stdout, /nothing would refuse it/)
  assert.equal((stdout + stderr + lines.join('')).includes(key), false)
})

test('prints JSON for scripts', async () => {
  const { code, stdout } = await runWhere(['--node', node.localAddress, '--workspace', 'w', '--json', '/trays/17'])
  const { route, services, rate } = JSON.parse(stdout) as { route: { name: string, rank: number }, services: Array<{ goesTo: string }>, rate: { limit: object } }
  assert.deepEqual([code, route.name, route.rank, services[0].goesTo, rate.limit], [0, 'trays', 1, 'n-1', { rate: 50, burst: 50 }])
})

test('errors have a code, a hint and the exit code of other commands', async () => {
  const cases: Array<[string[], number, string]> = [
    [['--node', node.localAddress, '--workspace', 'w', '/nowhere'], 1, 'unknown_route'],
    [['--node', node.localAddress, '--key', `${key}x`, '/trays/1'], 1, 'unauthorized'],
    [['--node', node.localAddress, '--workspace', 'x', '/trays/1'], 1, 'not_found'],
    [['--node', node.localAddress, '--workspace', 'w', 'trays'], 2, 'bad_request'],
    [['--node', `${network.host(10, 2)}:9`, '--workspace', 'w', '/trays/1'], 1, 'node_unreachable'],
    [['--node', node.listenAddress, '--workspace', 'w', '/trays/1'], 1, 'unknown_route'],
    [['--workspace', 'w', '/trays/1'], 2, 'invalid_setting'],
    [['--node', node.localAddress, '--key', `${key}é`, '/trays/1'], 2, 'invalid_setting']
  ]
  for (const [args, expected, name] of cases) {
    const { code, stdout, stderr } = await runWhere(args)
    assert.deepEqual([code, stdout], [expected, ''], stderr)
    assert.match(stderr, new RegExp(`^${name}: .+\n.+\n$`))
    assert.equal(stderr.includes(key), false)
  }
})

test('an explanation counts no request', async () => {
  const metrics = async () => (await (await fetch(`http://${node.localAddress}/metrics`)).text()).split('\n').filter((line) => /calls_total|attempts_total|refused_total/.test(line))
  const countBefore = await metrics()
  for (let number = 0; number < 3; number++) await runWhere(['--node', node.localAddress, '--workspace', 'w', '--json', '/trays/1'])
  const { stdout } = await runWhere(['--node', node.localAddress, '--workspace', 'w', '--json', '/trays/1'])
  assert.equal((JSON.parse(stdout) as { rate: { held: unknown } }).rate.held, null, 'no state of the workspace was created')
  assert.deepEqual(await metrics(), countBefore)
})
