// A request that crashes the servers that run it comes again and again, from clients that leave before the crash.
import { configuration, keptConnections, now, runCase, send, sleep } from '../lib/fleet.mjs'

const contactMs = 3000
/** Time for which a server has run the request when it crashes, and time until it is back. */
const crashAfterMs = 1000
const backAfterMs = 2500
/** Half of the objective of 1500 ms. */
const leavesAfterMs = 750
const comesEachMs = 1500
/** Three times, for 5.25 s each, the clients that send it leave. In the pause between it doesn't come. */
const times = 3
const requestsEachTime = 4
const pauseMs = 4000
const poisonPath = '/alpha/poison'

await runCase(import.meta.dirname, {}, async (fleet, trouble) => {
  const arrivals = []
  const crashes = []
  const respond = async ({ run, response, headers, server }) => {
    server.runs.push(run)
    fleet.record(`server ${server.n}: begins ${run.requestId} ${run.method} ${run.path}`)
    if (run.path !== poisonPath) {
      await sleep(300)
      if (!response.destroyed) response.writeHead(200, { ...headers, 'x-dogwoodspring-server-stamp': run.requestId }).end('answer')
      return
    }
    const { id } = server
    arrivals.push(run.arrivedAt)
    await sleep(crashAfterMs)
    if (server.id !== id || !server.app.listening) return
    crashes.push(now())
    fleet.record(`server ${server.n}: crashes`)
    await server.crash(backAfterMs)
  }
  for (const n of [1, 2, 3, 4, 5]) await fleet.startMachine(n, 'alpha', { respond })
  for (const n of [6, 7]) await fleet.startMachine(n, 'beta')
  const document = configuration(1, ['alpha', 'beta'])
  const [{ routeRules }] = document.listeners
  routeRules.push({ ...routeRules[0], name: 'order', kind: 'non_idempotent', match: { pathPrefix: '/order/' } })
  await fleet.replaceConfiguration('0', document)
  await fleet.waitReady([1, 2, 3, 4, 5, 6, 7])
  await sleep(5000)
  const day = { over: false }
  const others = []
  const traffic = [6, 7].map(async (n) => {
    const agent = keptConnections()
    for (let count = 0; !day.over; count++) {
      others.push(send(fleet, n, { method: 'POST', path: `/order/${n}-${count}`, body: 'one order', agent }))
      await sleep(50)
    }
  })
  const poisons = []
  for (let time = 0; time < times; time++) {
    for (let count = 0; count < requestsEachTime; count++) {
      poisons.push(send(fleet, 6 + count % 2, { path: poisonPath, deadlineMs: 3000, signal: trouble ? AbortSignal.timeout(leavesAfterMs) : undefined }))
      await sleep(comesEachMs)
    }
    await sleep(pauseMs)
  }
  day.over = true
  await Promise.all([...traffic, ...poisons])
  const ran = new Set(fleet.servers.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)))
  const lost = (await Promise.all(others)).filter(({ id, status }) => status !== 200 && ran.has(id)).length
  const countedFrom = crashes.length < 3 ? Infinity : crashes[2] + contactMs
  const retries = arrivals.filter((arrivedAt) => arrivedAt > countedFrom).length
  return { broken: retries > 3, text: `${crashes.length} crashes; the request reached servers ${arrivals.length} times, ${retries} of them later than ${contactMs} ms after the third crash; ${lost} of ${others.length} other requests ran and were not answered` }
})
