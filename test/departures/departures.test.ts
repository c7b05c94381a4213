import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { mergeDepartures } from '../../src/core/departures/index.ts'
import type { Departure } from '../../src/core/departures/index.ts'
import type { Announcement } from '../../src/core/node/index.ts'
import { drainMs, withNodes } from './simulated-nodes.ts'
import type { SimulatedNodes } from './simulated-nodes.ts'

const ids = ['c1-a', 'c2-b', 'c3-d', 'n1-a', 'n2-a', 'n3-b', 'n4-d']

function announcement (instance: string, bornAt: number, sequence: number, state: Announcement['state'] = 'up'): Announcement {
  return { service: 's', address: '127.0.0.1:9', slots: 4, connections: 6, state, incarnation: { instance, bornAt, sequence } }
}

/** Lets the clock run until a message of a server is answered, and returns the outcome with the time that it took. */
async function settle<Outcome> (nodes: SimulatedNodes, message: Promise<Outcome>): Promise<{ outcome: Outcome, afterMs: number }> {
  const sentAt = nodes.now()
  let outcome: { value: Outcome } | undefined
  void message.then((value) => {
    outcome = { value }
  })
  while (outcome === undefined) await nodes.run(5)
  return { outcome: outcome.value, afterMs: nodes.now() - sentAt }
}

async function restart (nodes: SimulatedNodes, id: string): Promise<void> {
  await nodes.kill(id)
  await nodes.run(300)
  nodes.start(id)
}

const isInUse = (nodes: SimulatedNodes, id: string) => nodes.node(id).target.acceptsRequests()

// Guards against review/9: a restarted node forgot that its server had deregistered, and a late heartbeat brought it back into use.
test('a late heartbeat after a restart of the node does not bring back a server that has deregistered', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  assert.equal(isInUse(nodes, 'n1-a'), true)
  const { outcome, afterMs } = await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  assert.equal(outcome, 'taken')
  assert.ok(afterMs < 200, `acknowledged after ${afterMs} ms`)
  await restart(nodes, 'n1-a')
  await nodes.run(2000)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
  await nodes.run(2000)
  assert.equal(isInUse(nodes, 'n1-a'), false)
}))

test('a late heartbeat that comes before the others have answered does not bring it back either', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  await restart(nodes, 'n1-a')
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
  await nodes.run(2000)
  assert.equal(isInUse(nodes, 'n1-a'), false)
}))

test('a late ready after a restart of the node does not bring back a server that is draining', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 3, 'leaving')))
  await restart(nodes, 'n1-a')
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
  assert.equal(isInUse(nodes, 'n1-a'), false)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 4, 'leaving')))
  assert.equal(isInUse(nodes, 'n1-a'), false)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 5)))
  assert.equal(isInUse(nodes, 'n1-a'), true, 'it has taken its leave back')
}))

test('a server that starts anew is in use at once, also where the node has been restarted', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  await restart(nodes, 'n1-a')
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 2000, 1)))
  await nodes.run(300)
  assert.equal(isInUse(nodes, 'n1-a'), true)
}))

test('a server whose node is restarted is back in use within half a second', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await restart(nodes, 'n1-a')
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
  await nodes.run(500)
  assert.equal(isInUse(nodes, 'n1-a'), true)
}))

test('a node that is cut off alone acknowledges no departure, and drains its server all the same', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  nodes.cut('n1-a')
  const { outcome, afterMs } = await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  assert.equal(outcome, 'unshared')
  assert.ok(afterMs < 900, `answered after ${afterMs} ms; a caller waits a second`)
  await nodes.run(drainMs)
  assert.equal(isInUse(nodes, 'n1-a'), false)
  nodes.heal()
  const { outcome: later } = await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  assert.equal(later, 'taken')
}))

test('a node restarted while it is cut off takes no single late heartbeat, and a server that goes on', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  nodes.cut('n1-a')
  await restart(nodes, 'n1-a')
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
  await nodes.run(2000)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 3)))
  assert.equal(isInUse(nodes, 'n1-a'), false)
  for (const sequence of [1, 2, 3]) {
    await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-2', 5000, sequence)))
    await nodes.run(1500)
  }
  assert.equal(isInUse(nodes, 'n1-a'), true, 'a server that goes on announcing itself is used')
}))

test('what the others know takes a server out of use that was taken for a live one while the node was cut off', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  nodes.cut('n1-a')
  await restart(nodes, 'n1-a')
  for (const sequence of [2, 3, 4, 5]) {
    await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, sequence)))
    await nodes.run(1600)
  }
  assert.equal(isInUse(nodes, 'n1-a'), true, 'nobody could say otherwise')
  nodes.heal()
  await nodes.run(1500)
  assert.equal(isInUse(nodes, 'n1-a'), false)
}))

test('a departure outlives the restart of all processes of its domain, or of all control instances', async (context) => {
  for (const killed of [['c1-a', 'n1-a', 'n2-a'], ['c1-a', 'c2-b', 'c3-d', 'n1-a']]) {
    await withNodes(context, ids, async (nodes) => {
      await nodes.run(1500)
      await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
      await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
      for (const id of killed) await nodes.kill(id)
      await nodes.run(300)
      for (const id of killed) nodes.start(id)
      await nodes.run(1500)
      await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
      await nodes.run(1500)
      assert.equal(isInUse(nodes, 'n1-a'), false, killed.join())
    })
  }
})

test('beside processes of an earlier version only, servers leave and come back as before', (context) => withNodes(context, ids, async (nodes) => {
  for (const id of ids) nodes.downgrade(id)
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  const { outcome } = await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2, 'leaving')))
  assert.equal(outcome, 'taken')
  await restart(nodes, 'n1-a')
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-2', 20, 1)))
  await nodes.run(500)
  assert.equal(isInUse(nodes, 'n1-a'), true)
}))

// Guards against a control instance that counts as two, first by the address of a seed and then as a member.
test('a control instance that answered before it was known as a member is not asked again', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  const before = nodes.calls('c1-a', 'departures.recall')
  await nodes.kill('n1-a')
  nodes.hide('c1-a', 'c2-b', 'c3-d', 'n2-a', 'n3-b', 'n4-d')
  nodes.start('n1-a')
  await nodes.run(200)
  nodes.heal()
  await nodes.run(1500)
  assert.equal(nodes.calls('c1-a', 'departures.recall'), before + 1)
}))

test('holders that are restarted one after the other are told again', (context) => withNodes(context, ids, async (nodes) => {
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 1)))
  await settle(nodes, nodes.node('n1-a').messages.withdraw('i-1', 10))
  for (const id of ids.filter((other) => other !== 'n1-a')) {
    await restart(nodes, id)
    await nodes.run(1500)
  }
  await restart(nodes, 'n1-a')
  await nodes.run(1500)
  await settle(nodes, nodes.node('n1-a').messages.announce(announcement('i-1', 10, 2)))
  assert.equal(isInUse(nodes, 'n1-a'), false)
}))

test('merged departures do not depend on the order in which they come', () => {
  const departure: fc.Arbitrary<Departure> = fc.record({
    instance: fc.constantFrom('i', 'j'), bornAt: fc.nat(2), sequence: fc.nat(3), state: fc.constantFrom('leaving', 'gone'), isCertain: fc.boolean()
  })
  const byProcess = (departures: readonly Departure[]) => [...departures].sort((left, right) => left.bornAt - right.bornAt || left.instance.localeCompare(right.instance))
    .map(({ state, isCertain, ...rest }) => ({ ...rest, state, isCertain: state === 'gone' && isCertain }))
  fc.assert(fc.property(fc.array(departure, { maxLength: 6 }), fc.array(departure, { maxLength: 6 }), (left, right) => {
    assert.deepEqual(byProcess(mergeDepartures(left, right)), byProcess(mergeDepartures(right, left)))
  }), { seed: 52 })
})
