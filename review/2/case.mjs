// Hundreds of changes of a configuration with many routes, sent one after the other, with nothing else going on.
import { changeInStorms, configuration, listEnds, now, runCase, sleep, supervise } from '../lib/fleet.mjs'

const cores = 4
/** Routes by which the configuration grows: `big_config`, count = 1400, in grown/mamxanh-ho-grown.toml. */
const moreRoutes = process.env.TROUBLE === '0' ? 0 : 1400
const changes = 400
/** `memoryMb` of the settings of a core machine on that site. */
const memoryMb = 346
/** Longest time for which changes are sent, and time for which the operator reads back afterwards. */
const changesMs = 75_000
const readBackMs = 5000
/** Ends of processes on one machine that count, and machines: half of the core. */
const endsThatCount = 3
const machinesThatCount = cores / 2

function document (version) {
  const base = configuration(version, ['alpha'])
  const routes = [...Array(moreRoutes).keys()].map((index) => ({
    name: `r-idle${String(index).padStart(4, '0')}`,
    kind: 'idempotent',
    targetLatency: '1500ms',
    priority: 2,
    public: false,
    match: { pathPrefix: `/idle${String(index).padStart(4, '0')}/` },
    action: { service: 'alpha', timeout: '6000ms', maxAttempts: 2 }
  }))
  base.listeners.push({ host: 'idle.example', routeRules: routes })
  base.listeners[0].routeRules[0].action.timeout = `${3000 + version % 100}ms`
  return base
}

await runCase(import.meta.dirname, { cores }, async (fleet) => {
  const ends = new Map()
  const day = { over: false }
  const supervisors = [1, 2, 3, 4].map((n) => supervise(fleet, `core-${n}`, { memoryMb, ends, day, restart: () => fleet.startCore(n, false) }))
  await fleet.replaceConfiguration('0', document(1))
  const size = JSON.stringify(document(1)).length
  let version = 1
  let acknowledged = 1
  const isBroken = () => [...ends.values()].filter((count) => count >= endsThatCount).length >= machinesThatCount
  await changeInStorms(async () => {
    const reply = await fleet.replaceConfiguration(`r${version}`, document(version + 1), version % cores + 1, 6000).catch(() => undefined)
    if (reply === undefined) return false
    version++
    if (reply.status === 200) acknowledged = version
    return !isBroken()
  }, changes, changesMs)
  fleet.record(`operator: the newest acknowledged version is r${acknowledged}`)
  let read
  let reads = 0
  for (const until = now() + readBackMs; now() < until && read === undefined; await sleep(300)) {
    for (const n of [1, 2, 3, 4]) {
      const reply = await fleet.readConfiguration(n)
      reads++
      fleet.record(`operator: config.get at core-${n} -> ${reply.status} ${reply.status === 200 ? JSON.parse(reply.text).version : reply.text.slice(0, 100)}`)
      if (reply.status === 200) read = Number(JSON.parse(reply.text).version.slice(1))
    }
  }
  day.over = true
  await Promise.all(supervisors)
  return { broken: isBroken(), text: `r${acknowledged} of ${size} bytes acknowledged last; read back in ${reads} tries: ${read === undefined ? 'nothing' : `r${read}`}; ends of processes: ${listEnds(ends)}` }
})
