import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { test } from 'node:test'
import { systemClock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createAnnouncementOrder } from '../../src/core/node/announcement.ts'
import type { Announcement } from '../../src/core/node/announcement.ts'
import { createOwnTarget } from '../../src/core/node/target.ts'
import type { OwnTarget } from '../../src/core/node/target.ts'
import type { Peers } from '../../src/core/peers/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const drainMs = 1600

/** Runs `use` with the state of a target and a clock that the test sets. */
async function withOwnTarget (use: (target: OwnTarget, clock: { now: number }) => void): Promise<void> {
  const time = { now: 0 }
  const clock = { now: () => time.now, date: () => new Date(time.now) }
  const peers = { setTarget () {} } as unknown as Peers
  const target = createOwnTarget(peers, { clock, random: createRandom(1), log: silentLog, metrics: createMetrics() }, { drainMs, adaptiveLimit: false })
  try {
    use(target, time)
  } finally {
    await target.close()
  }
}

function announcement (instance: string, bornAt: number, sequence: number, state: Announcement['state'] = 'up'): Announcement {
  return { service: 's', address: '127.0.0.1:9', slots: 4, connections: 6, state, incarnation: { instance, bornAt, sequence } }
}

test('a leaving target gets no request after the drain time, even if it repeats its announcement', () => withOwnTarget((target, time) => {
  target.announce(announcement('i-1', 10, 1))
  assert.equal(target.acceptsRequests(), true)
  target.announce(announcement('i-1', 10, 2, 'leaving'))
  time.now = 1000
  target.announce(announcement('i-1', 10, 3, 'leaving'))
  time.now = drainMs - 1
  assert.equal(target.acceptsRequests(), true)
  assert.equal(target.current()?.state, 'leaving')
  time.now = drainMs
  assert.equal(target.acceptsRequests(), false)
}))

test('a target that is already leaving when its node starts gets no request', () => withOwnTarget((target, time) => {
  time.now = 100
  target.announce(announcement('i-1', 10, 7, 'leaving'))
  assert.equal(target.acceptsRequests(), false)
  target.announce(announcement('i-1', 10, 8, 'leaving'))
  assert.equal(target.acceptsRequests(), false)
  assert.equal(target.announce(announcement('i-1', 10, 9)), true)
  assert.equal(target.acceptsRequests(), true)
}))

test('a deregistered target gets requests for the drain time', () => withOwnTarget((target, time) => {
  target.announce(announcement('i-1', 10, 1))
  assert.equal(target.withdraw('i-0', undefined), false)
  assert.equal(target.withdraw('i-1', 9), false)
  assert.equal(target.current()?.state, 'up')
  assert.equal(target.withdraw('i-1', 10), true)
  assert.equal(target.current()?.state, 'leaving')
  time.now = drainMs
  assert.equal(target.acceptsRequests(), false)
}))

test('a late announcement does not bring back a target that has deregistered', () => withOwnTarget((target, time) => {
  target.announce(announcement('i-1', 10, 1))
  target.withdraw('i-1', 10)
  time.now = 1000
  for (const sequence of [2, 3, 9]) assert.equal(target.announce(announcement('i-1', 10, sequence)), false)
  assert.equal(target.current()?.state, 'leaving')
  time.now = drainMs
  assert.equal(target.acceptsRequests(), false)
  assert.equal(target.announce(announcement('i-1', 20, 1)), true)
  assert.deepEqual([target.current()?.state, target.acceptsRequests()], ['up', true])
}))

test('a target whose deregistration arrives before its first announcement gets no request', () => withOwnTarget((target) => {
  target.announce(announcement('i-1', 10, 5))
  assert.equal(target.withdraw('i-1', 20), false)
  assert.equal(target.announce(announcement('i-1', 20, 1)), false)
  assert.deepEqual([target.current()?.state, target.acceptsRequests()], ['up', true])
}))

test('a late deregistration of an earlier process does not take a later one out', () => withOwnTarget((target) => {
  target.announce(announcement('i-1', 20, 1))
  assert.equal(target.withdraw('i-1', 10), false)
  assert.equal(target.announce(announcement('i-1', 20, 2)), true)
  assert.equal(target.acceptsRequests(), true)
}))

test('a late ready does not end the drain of a target that reported leaving', () => withOwnTarget((target, time) => {
  target.announce(announcement('i-1', 10, 1))
  target.announce(announcement('i-1', 10, 3, 'leaving'))
  time.now = drainMs
  assert.equal(target.announce(announcement('i-1', 10, 2)), false)
  assert.equal(target.acceptsRequests(), false)
}))

test('a deregistration that does not name a process takes out no target that goes on announcing itself for good', () => withOwnTarget((target, time) => {
  target.announce(announcement('i-1', 10, 1))
  target.withdraw('i-1', undefined)
  assert.equal(target.announce(announcement('i-1', 10, 2)), false)
  for (time.now = 1000; time.now < 30_000; time.now += 1000) target.announce(announcement('i-1', 10, time.now))
  assert.equal(target.acceptsRequests(), true)
}))

test('outdated messages of an earlier process or the same process are ignored', () => withOwnTarget((target) => {
  target.announce(announcement('i-2', 20, 5))
  assert.equal(target.announce(announcement('i-1', 10, 99, 'leaving')), false)
  assert.equal(target.announce(announcement('i-2', 20, 4, 'leaving')), false)
  assert.equal(target.announce(announcement('i-2', 20, 5, 'leaving')), false)
  assert.deepEqual([target.instance(), target.current()?.state], ['i-2', 'up'])
}))

test('a later process under the same id replaces the earlier one', () => withOwnTarget((target, time) => {
  target.announce(announcement('i-1', 10, 50, 'leaving'))
  time.now = drainMs
  assert.equal(target.announce(announcement('i-1', 30, 1)), true)
  assert.equal(target.acceptsRequests(), true)
}))

test('a target replaced by another process gets no request until that process announces itself', () => withOwnTarget((target) => {
  target.announce(announcement('i-1', 10, 1))
  target.markReplaced('i-0')
  assert.equal(target.acceptsRequests(), true)
  target.markReplaced('i-1')
  assert.equal(target.acceptsRequests(), false)
  target.announce(announcement('i-2', 20, 1))
  assert.equal(target.acceptsRequests(), true)
}))

test('a start or a sequence that is too large does not block the true announcements for good', () => {
  for (const forged of [announcement('i-1', 10, 2 ** 53 - 1), announcement('i-1', 2 ** 53 - 1, 1), announcement('i-9', 2 ** 53 - 1, 2 ** 53 - 1)]) {
    const time = { now: 0 }
    const order = createAnnouncementOrder(10_000)
    assert.equal(order.accept({ instance: 'i-1', bornAt: 10, sequence: 1 }, time.now), true)
    assert.equal(order.accept(forged.incarnation, 500), true)
    const acceptedAt = Array.from({ length: 60 }, (_, index) => 1000 + 500 * index).find((at) => order.accept({ instance: 'i-1', bornAt: 10, sequence: 2 + at }, at))
    assert.equal(acceptedAt, 11_000)
    assert.equal(order.accept({ instance: 'i-1', bornAt: 10, sequence: 20_000 }, 11_500), true)
  }
})

test('delayed announcements of an earlier process that arrive together stay outdated', () => {
  const order = createAnnouncementOrder(10_000)
  order.accept({ instance: 'i-2', bornAt: 20, sequence: 1 }, 0)
  for (let sequence = 1; sequence < 40; sequence++) assert.equal(order.accept({ instance: 'i-1', bornAt: 10, sequence }, 30_000 + sequence), false)
})

test('an earlier process that goes on announcing itself does not displace a known one that does too', () => {
  const order = createAnnouncementOrder(10_000)
  for (let at = 0; at < 60_000; at += 500) {
    assert.equal(order.accept({ instance: 'i-2', bornAt: 20, sequence: at + 1 }, at), true)
    assert.equal(order.accept({ instance: 'i-1', bornAt: 10, sequence: at + 1 }, at + 1), false)
  }
})

test('a process that another one replaced blocks no announcement of that one', () => withOwnTarget((target) => {
  target.announce(announcement('i-9', 2 ** 53 - 1, 1))
  assert.equal(target.announce(announcement('i-1', 10, 1)), false)
  target.markReplaced('i-9')
  assert.equal(target.announce(announcement('i-9', 2 ** 53 - 1, 1)), false)
  assert.equal(target.announce(announcement('i-1', 10, 2)), true)
  assert.deepEqual([target.instance(), target.acceptsRequests()], ['i-1', true])
}))

/** Probes a target whose connections `accept` handles, and returns whether it counts as alive. */
async function probeTarget (accept: (socket: Socket, server: Server) => void): Promise<boolean> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    accept(socket, server)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const peers = { setTarget () {} } as unknown as Peers
  const target = createOwnTarget(peers, { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() }, { drainMs, adaptiveLimit: false })
  try {
    target.announce({ ...announcement('i-1', 10, 1), address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
    const alive = await target.probe()
    assert.equal(target.current()?.state, alive ? 'up' : 'down')
    return alive
  } finally {
    server.close()
    await target.close()
  }
}

/** Ends as a process does that is about to exit: its listener closes a moment after it has accepted the connection of the probe. */
function endSoon (endConnection: (socket: Socket) => void): (socket: Socket, server: Server) => void {
  return (socket, server) => void setTimeout(() => {
    server.close()
    endConnection(socket)
  }, 20)
}

test('a process that accepts the connection of a probe while it ends counts as ended', async () => {
  assert.equal(await probeTarget(endSoon((socket) => socket.resetAndDestroy())), false)
  assert.equal(await probeTarget(endSoon((socket) => socket.destroy())), false)
})

// The probe judged by the time that had passed, before it read what had happened in that time.
test('a process that ends while the one that probes it does not run counts as ended', async () => {
  const endAndStall = (endConnection: (socket: Socket) => void) => endSoon((socket) => {
    endConnection(socket)
    const until = performance.now() + 150
    while (performance.now() < until);
  })
  assert.equal(await probeTarget(endAndStall((socket) => socket.resetAndDestroy())), false)
  assert.equal(await probeTarget(endAndStall((socket) => socket.destroy())), false)
})

test('a target that keeps the connection of a probe, or closes it and goes on to listen, counts as alive', async () => {
  const sockets: Socket[] = []
  assert.equal(await probeTarget((socket) => void sockets.push(socket)), true)
  for (const socket of sockets) socket.destroy()
  assert.equal(await probeTarget((socket) => void socket.destroy()), true)
  assert.equal(await probeTarget((socket) => void socket.resetAndDestroy()), true)
})
