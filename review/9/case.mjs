// A server has deregistered and its node has acknowledged that. The node is killed and started again, and a heartbeat that the server sent before
// arrives late: the node takes the server for ready.
import { configuration, need, pause, runCase } from '../lib-2/harness.mjs'

const drainMs = 2000
const contactMs = 3000
/** Time by which the heartbeat is late. */
const lateMs = 2500
/** Time for which the server goes on serving after the acknowledgement, in which it hopes to end in peace. */
const servesForMs = 10_000

await runCase(import.meta.dirname, {}, async (fleet, trouble) => {
  for (const number of [1, 2, 3]) fleet.startCore(number)
  fleet.startSidecar(1, 'front')
  fleet.startSidecar(2, 'ledger')
  fleet.startSidecar(3, 'ledger')
  // Ten nodes, so that one of them is the share of `node_kill`.
  for (const number of [4, 5, 6, 7, 8, 9, 10]) fleet.startSidecar(number, 'front')
  const front = await fleet.startServer(1, 'front')
  const leaving = await fleet.startServer(2, 'ledger')
  const staying = await fleet.startServer(3, 'ledger')
  const routes = [{ prefix: '/p/', service: 'ledger', kind: 'non_idempotent' }, { host: 'b.example', prefix: '/q/', service: 'front' }]
  need(await fleet.replaceConfiguration('r0', configuration(1, routes)) === 200, 'the configuration was not accepted')
  for (const server of [front, leaving, staying]) {
    await fleet.until(async () => await server.beat() === 200)
    server.startBeats()
  }
  const areReady = async () => (await Promise.all([1, 2, 3].map(fleet.ready))).every((isReady) => isReady)
  need(await fleet.until(areReady), 'the nodes were not ready')
  need(await fleet.until(async () => (await fleet.send(1, '/p/first')).status === 200), 'no request was served')
  const sending = { isOn: true }
  const clients = (async () => {
    const sent = []
    for (let number = 0; sending.isOn; number++, await pause(40)) sent.push(fleet.send(1, `/p/${number}`, { method: 'POST', body: 'one order' }))
    return await Promise.all(sent)
  })()
  await pause(contactMs + 1000)
  need(leaving.received.length > 0, 'the server that is to leave got no request')

  // The heartbeat is sent now and arrives late.
  leaving.stopBeats()
  const heartbeat = leaving.nextMessage()
  const sentAt = fleet.nowMs()
  fleet.record(`server ${leaving.id} sends heartbeat ${heartbeat.sequence}, which arrives ${lateMs} ms later`)
  await pause(100)
  need(await leaving.sendMessage('deregister', leaving.nextMessage()) === 200, 'the deregistration was not acknowledged')
  const acknowledgedAt = fleet.nowMs()
  let restartedAt = -Infinity
  if (trouble) {
    fleet.signal('sidecar-2', 'SIGKILL')
    await fleet.endOf('sidecar-2')
    await pause(300)
    fleet.startSidecar(2, 'ledger', { bootstrap: false })
    restartedAt = fleet.nowMs()
  }
  await pause(sentAt + lateMs - fleet.nowMs())
  await leaving.sendMessage('heartbeat', heartbeat)
  await pause(acknowledgedAt + servesForMs - fleet.nowMs())
  await leaving.close()
  await pause(1000)
  sending.isOn = false
  const replies = await clients

  // Only requests count that ran once all machines were in touch again.
  const inTouchAt = Math.max(acknowledgedAt + drainMs, restartedAt + contactMs)
  const late = leaving.received.filter(({ at }) => at > inTouchAt + 200)
  const unanswered = replies.filter(({ status }) => status === 0 || status >= 500)
  fleet.record(`${leaving.received.filter(({ at }) => at > acknowledgedAt + drainMs).length} requests ran there later than ${drainMs} ms after the acknowledgement, ${late.length} of them when all machines were in touch; ${unanswered.length} requests of clients failed`)
  return late.map(({ id, at }) => `DRAIN: server ${leaving.id} was given ${id} ${at - acknowledgedAt} ms after its deregistration was acknowledged`)
})
