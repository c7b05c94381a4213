// A machine of the core is replaced by an empty one after some changes of a configuration with many routes.
import { changeInStorms, configuration, listEnds, now, runCase, sleep, supervise } from '../lib/fleet.mjs'

const cores = 4
/** Routes by which the configuration grows: `big_config`, count = 1400, in grown/mamxanh-ho-grown.toml. */
const moreRoutes = 1400
const changes = 130
/** Longest time for which these changes are sent. */
const changesMs = 55_000
/** `memoryMb` of the settings of a core machine on that site. */
const memoryMb = 346
/** Time after which the empty machine comes. */
const replacedAfterMs = 1000
/** Time from then until the operator begins to read back, more than `recovery`, and time for which it reads. */
const recoverMs = 20_000
const readBackMs = 10_000

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

await runCase(import.meta.dirname, { cores }, async (fleet, trouble) => {
  const ends = new Map()
  const day = { over: false, gone: new Set() }
  const superviseCore = (n) => supervise(fleet, `core-${n}`, { memoryMb, ends, day, restart: () => fleet.startCore(n, false) })
  await fleet.replaceConfiguration('0', document(1))
  await sleep(1500)
  const supervisors = [1, 2, 3, 4].map(superviseCore)
  const size = JSON.stringify(document(1)).length
  let version = 1
  let acknowledged = 1
  /** Sends the next change to core machines in turn until one gives a clear answer. */
  const change = async () => {
    const reply = await fleet.replaceConfiguration(`r${version}`, document(version + 1), 1, 6000).catch(() => undefined)
    if (reply === undefined) return
    version++
    if (reply.status === 200) acknowledged = version
  }
  await changeInStorms(change, changes, changesMs)
  if (trouble) {
    day.gone.add('core-3')
    await fleet.kill('core-3')
    await sleep(replacedAfterMs)
    fleet.startCore(5, false)
    supervisors.push(superviseCore(5))
  }
  for (const until = now() + recoverMs; now() < until; await sleep(500)) await change()
  let read
  let reads = 0
  const readFrom = trouble ? [1, 2, 4, 5] : [1, 2, 3, 4]
  for (const until = now() + readBackMs; now() < until && read === undefined; await sleep(300)) {
    for (const n of readFrom) {
      const reply = await fleet.readConfiguration(n)
      reads++
      fleet.record(`operator: config.get at core-${n} -> ${reply.status} ${reply.status === 200 ? JSON.parse(reply.text).version : reply.text.slice(0, 100)}`)
      if (reply.status === 200) read = Number(JSON.parse(reply.text).version.slice(1))
    }
  }
  day.over = true
  await Promise.all(supervisors)
  const broken = read === undefined || read < acknowledged
  return { broken, text: `r${acknowledged} of ${size} bytes acknowledged last; read back in ${reads} tries: ${read === undefined ? 'nothing' : `r${read}`}; ends of processes: ${listEnds(ends)}` }
})
