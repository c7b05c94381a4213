// A core that leads again after its restart counts answers to what its earlier process sent, and goes on as leader without a quorum.
import { configuration, need, pause, runCase } from '../lib-2/harness.mjs'

const cores = [1, 2, 3]
const configApplyMs = 2000
/** Longest time for which a core stands still. The longest `node_freeze` on a core in the days of the site is 7.2 s. */
const longestFreezeMs = 6500
/** Pause between two planned restarts: the shortest of the sites. */
const rollGapMs = 1000
/** Time after which no further round is begun, so that the script ends in time. */
const lastRoundMs = 92_000

await runCase(import.meta.dirname, { cores: cores.length }, async (fleet, trouble) => {
  for (const number of cores) fleet.startCore(number)
  fleet.startSidecar(1, 'front')
  const server = await fleet.startServer(1, 'front')
  const document = (version) => configuration(version, [{ prefix: '/p/', service: 'front' }])
  let version = 1
  need(await fleet.replaceConfiguration('r0', document(version)) === 200, 'the first configuration was not accepted')
  await fleet.until(async () => await server.beat() === 200)
  server.startBeats()

  /** Returns the newest role of a core that its process has logged. */
  const roleOf = (number) => {
    const lines = fleet.logOf(`core-${number}`).split('\n').filter((line) => line.includes('consensus role changed'))
    return lines.length === 0 ? { role: 'none', term: 0 } : JSON.parse(lines.at(-1)).details
  }
  const leaders = () => cores.filter((number) => fleet.isRunning(`core-${number}`) && roleOf(number).role === 'leader').sort((left, right) => roleOf(right).term - roleOf(left).term)
  const connections = new Map(cores.map((number) => [number, fleet.createAgent()]))
  /** Reads the configuration at a core, over a connection that stays open. Returns its version, or the status or error. */
  const read = async (number) => {
    const sentAt = fleet.nowMs()
    const reply = await fleet.call(`http://${fleet.coreIp(number)}:${fleet.ports.control}/-/rpc?call=config.get`, { agent: connections.get(number), headers: { 'content-type': 'application/json' }, body: '{}' })
    const seen = reply.status === 200 ? JSON.parse(reply.bytes).version : reply.status === 0 ? reply.error : String(reply.status)
    return { sentAt, seen, isAnswer: reply.status === 200 }
  }
  /** Stops a core as planned and starts it again, as the platform does. */
  const restart = async (number) => {
    fleet.signal(`core-${number}`, 'SIGTERM')
    await fleet.endOf(`core-${number}`)
    await pause(100)
    fleet.startCore(number, { bootstrap: false })
  }
  /** A quiet time, in which the operator reads now and then. */
  const readFor = async (ms) => {
    for (const until = fleet.nowMs() + ms; fleet.nowMs() < until; await pause(200)) for (const number of cores) await read(number)
  }

  await readFor(10_000)
  const broken = []
  while (broken.length === 0 && fleet.nowMs() < lastRoundMs) {
    const [first] = leaders()
    need(first !== undefined, 'the cores have no leader')
    const { term } = roleOf(first)
    const [still, other] = cores.filter((number) => number !== first)
    fleet.record(`core-${first} leads in term ${term}; core-${still} is to stand still while core-${first} and core-${other} are restarted in turn`)
    const frozenAt = fleet.nowMs()
    if (trouble) fleet.signal(`core-${still}`, 'SIGSTOP')
    await pause(2000)
    const restarted = restart(first)
    await pause(rollGapMs)
    await Promise.all([restarted, restart(other)])
    const isLed = () => leaders().some((number) => number !== still && roleOf(number).term > term)
    await fleet.until(isLed, trouble ? frozenAt + longestFreezeMs - 400 - fleet.nowMs() : 8000)
    await pause(400)
    if (trouble) fleet.signal(`core-${still}`, 'SIGCONT')
    await pause(500)
    const [leader] = leaders()
    fleet.record(`all cores are back; core-${leader} leads in term ${roleOf(leader).term}`)
    if (trouble && leader !== first) {
      await readFor(2000)
      continue
    }
    // The leader stands still; the others elect another one and acknowledge a change.
    if (trouble) fleet.signal(`core-${leader}`, 'SIGSTOP')
    const next = document(version + 1)
    let acknowledgedAt
    for (const until = fleet.nowMs() + 3400; acknowledgedAt === undefined && fleet.nowMs() < until; await pause(50)) {
      for (const number of cores.filter((each) => each !== leader)) {
        const reply = await fleet.call(`http://${fleet.coreIp(number)}:${fleet.ports.control}/-/rpc?call=config.replace`, {
          headers: { 'content-type': 'application/json', 'x-dogwoodspring-base-version': `r${version}` }, body: JSON.stringify(next), timeoutMs: 1000
        })
        fleet.record(`operator sends ${next.version} on r${version} to core-${number} -> ${reply.status === 0 ? reply.error : reply.status}`)
        if (reply.status !== 200) continue
        acknowledgedAt = fleet.nowMs()
        break
      }
    }
    if (acknowledgedAt === undefined) {
      if (trouble) fleet.signal(`core-${leader}`, 'SIGCONT')
      need(false, 'the two cores that ran acknowledged no change')
    }
    version++
    await pause(configApplyMs + 200)
    const pending = read(leader)
    await pause(150)
    if (trouble) fleet.signal(`core-${leader}`, 'SIGCONT')
    const { sentAt, seen, isAnswer } = await pending
    fleet.record(`operator reads at core-${leader}, ${sentAt - acknowledgedAt} ms after the acknowledgement of r${version}: ${seen}`)
    if (isAnswer && seen !== `r${version}`) broken.push(`CONFIG: core-${leader} answered a read that was sent ${sentAt - acknowledgedAt} ms after r${version} was acknowledged with ${seen}`)
    if (!trouble) break
    await readFor(2000)
  }
  return broken
})
