import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createReportedFractions, recordReportedFraction, reportedFractionOf } from '../../src/core/admission/index.ts'
import { issueKey } from '../../src/core/auth/index.ts'
import { emptyConfiguration, templateSchema, workspaceSchema } from '../../src/core/config/index.ts'
import type { Configuration } from '../../src/core/config/index.ts'
import { fail } from '../../src/core/errors/index.ts'
import { createFreshness } from '../../src/core/freshness/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCallSender } from '../../src/core/node/attempts.ts'
import type { Forwarder } from '../../src/core/node/forward.ts'
import { createDirectory } from '../../src/core/node/identity.ts'
import { createKeyCheck } from '../../src/core/node/key-check.ts'
import type { CallServer } from '../../src/core/node/serve.ts'
import { createCancellation, emptyReport } from '../../src/core/node/types.ts'
import type { AttemptOutcome, Call, Sink } from '../../src/core/node/types.ts'
import { createWhere } from '../../src/core/node/where.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import type { RateState } from '../../src/core/rate/client.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createBudget } from '../../src/core/retries/index.ts'
import type { Explanation } from '../../src/core/where/index.ts'
import * as v from 'valibot'
import { deployment, route } from '../deployment/document.ts'
import { createSilentDecisions } from '../node/silent-decisions.ts'

const issued = issueKey()

const templates: Configuration = {
  ...emptyConfiguration(),
  revision: 7,
  templates: {
    t: v.parse(templateSchema, {
      routes: [
        { name: 'trays', method: 'GET', path: '/trays/:id', service: 's', priority: 'high', timeoutMs: 2000 },
        { name: 'guides', method: 'GET', path: '/guides/:id', service: 'u', open: true }
      ]
    })
  },
  workspaces: { w: v.parse(workspaceSchema, { template: 't', parameters: { rate: 10, burst: 10 } }) },
  keys: { [issued.id]: { workspace: 'w', hash: issued.hash, withdrawn: false } }
}

const deployed: Configuration = {
  ...emptyConfiguration(),
  revision: 9,
  deployments: {
    current: deployment(1, {
      routes: [route({ destinations: [{ service: 's', weight: 3 }, { service: 'u', weight: 1 }] }), route({ name: 'open', prefix: '/o/', open: true, destinations: [{ service: 'u', weight: 1 }] })]
    })
  }
}

function member (id: string, domain: string, service = 's', changes: Partial<Member> = {}): Member {
  const target = { service, slots: 8, connections: 8, state: 'up' as const, startedAt: 0 }
  return { id, startedAt: 0, boot: id, incarnation: 0, status: 'alive', role: 'node', domain, address: id, target, ...changes }
}

/** What differs from a node at rest. */
interface State {
  configuration?: Configuration
  members?: Member[]
  held?: RateState
  isStale?: boolean
  isStopping?: boolean
  outcomeOf?: (node: string) => AttemptOutcome
}

const answered: AttemptOutcome = { type: 'answered', status: 200, report: { ...emptyReport, load: 0.25 } }

/** Explanations of a node in domain `d`, with the sending side of a real node and fakes around it. */
function createNode ({ configuration = templates, members = [member('a', 'd'), member('b', 'e')], held, isStale = false, isStopping = false, outcomeOf = () => answered }: State = {}) {
  const clock = { time: 1000, now: () => clock.time, date: () => new Date(0) }
  const own = createRandom(1)
  let drawn = 0
  const count = <Value>(value: Value) => {
    drawn++
    return value
  }
  const random = { next: () => count(own.next()), below: (bound: number) => count(own.below(bound)) }
  const environment = { clock, random, log: silentLog, metrics: createMetrics() }
  const freshness = createFreshness()
  if (!isStale) freshness.confirmedAt = clock.time
  const peers = { self: () => member('entry', 'd'), members: () => members, configuration: () => configuration, freshness, reportUnreachable () {} } as unknown as Peers
  const configuredBy = configuration === deployed ? 'deployment' : 'templates'
  const reportedFractions = createReportedFractions()
  const callSender = createCallSender({
    peers,
    server: {} as CallServer,
    forwarder: { forward: async (node: string) => outcomeOf(node) } as unknown as Forwarder,
    fleetRetries: Infinity,
    roomPlacement: true,
    reportedFractions,
    mayBegin: () => true,
    drainMs: Infinity,
    decisions: createSilentDecisions(),
    environment
  })
  callSender.close()
  const directory = createDirectory(peers.configuration, random)
  const where = createWhere({
    dialect: { configuredBy },
    peers,
    directory,
    rates: { peek: () => held },
    callSender,
    shareOf: (callee, _, now) => reportedFractionOf(reportedFractions, callee, now),
    findKeyFailure: createKeyCheck(peers, clock, { configuredBy, strict: true }),
    mayBegin: () => !isStopping,
    environment
  })
  const send = async (times: number) => {
    for (let number = 0; number < times; number++) {
      const context = { service: 's', route: 'trays', template: 't', workspace: 'w', priority: 1, depth: 0, idempotent: true }
      await callSender.send({ context, deadlineAt: clock.time + 1000, cancellation: createCancellation() } as unknown as Call, createBudget(0), {} as Sink)
    }
  }
  const ask = (path: string, question: { host?: string, method?: string, workspace?: string } = {}, key?: string) => where({ method: 'GET', host: '', path, ...question }, key)
  const explainFor = (path: string, question: Parameters<typeof ask>[1] = {}, key?: string): Explanation => {
    const outcome = ask(path, question, key)
    assert.ok(outcome.ok, JSON.stringify(outcome))
    return outcome.value
  }
  return { clock, ask, explainFor, send, reportedFractions, drawn: () => drawn, callSender }
}

function codesOf ({ refusals }: Explanation): string[] {
  return refusals.map(({ code }) => code)
}

test('explains route, rank, workspace and target of a key, without the key', () => {
  const explanation = createNode().explainFor('/trays/17?x=1', {}, issued.clear)
  const { node, domain, revision, route: found, workspace, services, refusals } = explanation
  assert.deepEqual([node, domain, revision, workspace, refusals], ['entry', 'd', 7, 'w', []])
  assert.deepEqual([found.name, found.template, found.rank, found.idempotent, found.timeoutMs], ['trays', 't', 1, true, 2000])
  assert.deepEqual([services[0].service, services[0].share, services[0].goesTo], ['s', 1, 'a'])
  assert.deepEqual(services[0].targets.map(({ node: target, part }) => [target, part]), [['a', 1], ['b', 0]])
  assert.match(services[0].targets[1].reason, /another failure domain/)
  assert.equal(JSON.stringify(explanation).includes(issued.clear), false)
  assert.equal(JSON.stringify(explanation).includes(issued.hash), false)
})

test('explains a deployment by host, prefix and the weights of its services', () => {
  const explanation = createNode({ configuration: deployed, members: [member('a', 'd'), member('u', 'd', 'u')] }).explainFor('/p/1', { host: 'A.example:80' }, 'key-of-w')
  assert.deepEqual([explanation.route.name, explanation.route.objectiveMs, explanation.workspace], ['r', 500, 'w'])
  assert.deepEqual(explanation.services.map(({ service, weight, goesTo }) => [service, weight, goesTo]), [['s', 0.75, 'a'], ['u', 0.25, 'u']])
  assert.deepEqual(explanation.rate?.limit, { rate: 10, burst: 10 })
  const open = createNode({ configuration: deployed }).explainFor('/o/1', { host: 'a.example' })
  assert.deepEqual([open.workspace, open.rate, codesOf(open)], [null, null, ['no_target']])
})

test('what cannot be explained is a clear error', () => {
  const { ask } = createNode()
  const codeOf = (...request: Parameters<typeof ask>) => {
    const outcome = ask(...request)
    return outcome.ok ? 'explained' : outcome.name
  }
  assert.equal(codeOf('/nowhere', {}, issued.clear), 'unknown_route')
  assert.equal(codeOf('/trays/1', { method: 'POST' }, issued.clear), 'unknown_route')
  assert.equal(codeOf('/.dogwoodspring/status', {}, issued.clear), 'unknown_route')
  assert.equal(codeOf('/trays/1'), 'unauthorized')
  assert.equal(codeOf('/trays/1', {}, issueKey().clear), 'unauthorized')
  assert.equal(codeOf('/trays/1', { workspace: 'x' }), 'not_found')
  assert.equal(codeOf('/trays/1', { workspace: 'w' }, issued.clear), 'bad_request')
  assert.equal(codeOf(`/trays/1?key=${issued.clear}`, { workspace: 'w' }), 'bad_request')
  assert.equal(codeOf('/guides/1'), 'explained')
  const inDeployment = createNode({ configuration: deployed }).ask
  assert.equal(inDeployment('/p/1', { host: 'other.example' }, 'key-of-w').ok, false)
  assert.equal(inDeployment('/p/1', { host: 'a.example' }, 'wrong').ok, false)
  assert.equal(inDeployment('/p/1', { host: 'a.example', workspace: 'w' }).ok, true)
})

test('names what would refuse the request now', () => {
  const overRate = createNode({ held: { share: 3, left: 0, waiting: 2, unansweredMs: 0 } }).explainFor('/trays/1', { workspace: 'w' })
  assert.deepEqual([codesOf(overRate), overRate.rate?.held?.waiting], [['over_rate'], 2])
  assert.deepEqual(codesOf(createNode({ members: [] }).explainFor('/trays/1', { workspace: 'w' })), ['no_target'])
  assert.deepEqual(codesOf(createNode({ isStale: true }).explainFor('/trays/1', { workspace: 'w' })), ['stale_configuration'])
  assert.deepEqual(codesOf(createNode({ isStopping: true }).explainFor('/trays/1', { workspace: 'w' })), ['leaving'])
  const short = createNode()
  recordReportedFraction(short.reportedFractions, 's/trays', 'a', 0.4, short.clock.time)
  const [refusal] = short.explainFor('/trays/1', { workspace: 'w' }).refusals
  assert.deepEqual([refusal.code, refusal.part], ['overloaded', 0.6])
})

test('shows targets that leave, and those that are left out after failures', async () => {
  const leaves = { service: 's', slots: 8, connections: 8, state: 'leaving' as const, startedAt: 0 }
  const leaving = createNode({ members: [member('a', 'd', 's', { target: leaves, leaving: true, stopMs: 100 }), member('b', 'd')] }).explainFor('/trays/1', { workspace: 'w' })
  assert.equal(leaving.services[0].goesTo, 'b')
  assert.deepEqual(leaving.services[0].targets.map(({ node, state }) => [node, state]), [['b', 'stays'], ['a', 'leaves']])
  assert.match(leaving.services[0].targets[1].reason, /leaves/)
  const failed: AttemptOutcome = { type: 'failed', failure: fail('brokenAnswer', { reason: 'closed' }), crashed: false, report: emptyReport }
  const node = createNode({ members: [member('a', 'd'), member('b', 'd')], outcomeOf: (to) => to === 'a' ? failed : answered })
  await node.send(40)
  const [first, second] = node.explainFor('/trays/1', { workspace: 'w' }).services[0].targets
  assert.deepEqual([first.node, first.load, second.node], ['b', 0.25, 'a'])
  assert.match(second.reason, /left out for \d+ ms/)
})

test('shows the room and the working time that targets state, and follows them', async () => {
  const stating = (room: number): AttemptOutcome => ({ ...answered, report: { ...emptyReport, load: 0.1, room, workMs: 40 } })
  const node = createNode({ members: [member('a', 'd'), member('b', 'd')], outcomeOf: (to) => stating(to === 'a' ? 2 : 6) })
  await node.send(20)
  const [first, second] = node.explainFor('/trays/1', { workspace: 'w' }).services[0].targets
  assert.deepEqual([first.node, first.room, first.workMs, second.node, second.room], ['b', 6, 40, 'a', 2])
  assert.ok(first.part > 0.6 && second.part > 0.1, `${first.part} and ${second.part}`)
})

test('an explanation changes nothing and draws from no source that others use', async () => {
  const node = createNode({ members: [member('a', 'd'), member('b', 'd'), member('c', 'e')] })
  await node.send(5)
  const drawnBefore = node.drawn()
  const inspect = () => {
    const { targets, passFraction } = node.callSender.inspect({ service: 's', route: 'trays', template: 't', workspace: 'w', priority: 1 }, node.clock.time + 1000)
    return JSON.stringify({ targets, passFraction })
  }
  const before = inspect()
  const first = node.explainFor('/trays/1', { workspace: 'w' })
  for (let number = 0; number < 20; number++) assert.deepEqual(node.explainFor('/trays/1', { workspace: 'w' }), first)
  assert.equal(inspect(), before)
  assert.equal(node.drawn(), drawnBefore)
  const inDeployment = createNode({ configuration: deployed })
  inDeployment.explainFor('/p/1', { host: 'a.example', workspace: 'w' })
  assert.equal(inDeployment.drawn(), 0)
})

test('explaining takes no probe of a failing target away', async () => {
  const sentTo: string[] = []
  const outcomeOf = (node: string): AttemptOutcome => {
    sentTo.push(node)
    return { ...answered, report: { ...answered.report, share: 1, ...(node === 'a' ? { ownFailures: 1 } : {}) } }
  }
  const node = createNode({ members: [member('a', 'd'), member('b', 'd')], outcomeOf })
  while (!sentTo.includes('a')) await node.send(1)
  node.clock.time += 1500
  const [{ targets, goesTo }] = node.explainFor('/trays/17', { workspace: 'w' }).services
  assert.equal(goesTo, 'b')
  assert.deepEqual(targets.map(({ node: target, part }) => [target, part]), [['b', 1], ['a', 0]])
  assert.match(targets[1].reason, /fails requests/)
  await node.send(1)
  assert.equal(sentTo.at(-1), 'a')
})
