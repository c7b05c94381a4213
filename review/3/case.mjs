// A heartbeat that the network delivers late, after the deregistration of its server was acknowledged.
import { configuration, keptConnections, now, runCase, send, sleep } from '../lib/fleet.mjs'

const drainMs = 2000
/** Time by which the heartbeat is late. */
const lateMs = 2500
/** Time for which the server goes on serving after the acknowledgement. */
const servesMs = 8000

await runCase(import.meta.dirname, {}, async (fleet, trouble) => {
  const leaving = await fleet.startMachine(1, 'alpha', { workMs: 300 })
  const staying = await fleet.startMachine(2, 'alpha', { workMs: 300 })
  await fleet.startMachine(3, 'beta')
  await fleet.startMachine(4, 'beta')
  await fleet.replaceConfiguration('0', configuration(1, ['alpha', 'beta'], { kind: 'non_idempotent' }))
  await fleet.waitReady([1, 2, 3, 4])
  const clients = { sending: true }
  const answers = []
  const traffic = [3, 4].map(async (n) => {
    const agent = keptConnections()
    while (clients.sending) {
      answers.push(send(fleet, n, { method: 'POST', path: '/alpha/order', body: 'one order', agent }))
      await sleep(50)
    }
  })
  await sleep(6000) // Twice `contact`.

  leaving.stopBeats()
  const lateBeat = leaving.nextBeat('ready')
  fleet.record(`server 1: sends heartbeat ${lateBeat.sequence} (ready)`)
  const lateArrival = trouble
    ? sleep(lateMs).then(() => {
      fleet.record(`network: heartbeat ${lateBeat.sequence} arrives, ${lateMs} ms late`)
      return leaving.post('heartbeat', lateBeat)
    })
    : leaving.post('heartbeat', lateBeat)
  await sleep(1500)
  const acknowledgement = await leaving.post('deregister', { born: leaving.born, sequence: leaving.nextSequence() })
  const acknowledgedAt = now()
  fleet.record(`server 1: deregistered -> ${acknowledgement.status}`)
  if (acknowledgement.status !== 200) throw new Error('the deregistration was not acknowledged')
  const late = await lateArrival
  fleet.record(`server 1: heartbeat ${lateBeat.sequence} -> ${late.status}`)
  await sleep(acknowledgedAt + servesMs - now())
  fleet.record('server 1: exits')
  await leaving.close()
  await sleep(1000)
  clients.sending = false
  await Promise.all(traffic)
  const replies = await Promise.all(answers)
  const ranAtLeaving = new Set(leaving.runs.map(({ requestId }) => requestId))
  const lost = replies.filter(({ id, status, sentAt }) => status !== 200 && sentAt > acknowledgedAt && ranAtLeaving.has(id))
  const after = leaving.runs.filter(({ arrivedAt }) => arrivedAt > acknowledgedAt + drainMs)
  const lastMs = after.length === 0 ? 0 : Math.round(after.at(-1).arrivedAt - acknowledgedAt)
  const total = leaving.runs.length + staying.runs.length
  return { broken: after.length > 0, text: `${after.length} requests reached server 1 later than ${drainMs} ms after its deregistration was acknowledged, the last one after ${lastMs} ms; ${lost.length} of them were lost when it exited (${total} requests in all)` }
})
