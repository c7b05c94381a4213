// Machines of the core are replaced one after the other. The group keeps members that are gone for good, and then does not bear the loss of one machine.
import { configuration, need, pause, runCase } from '../lib-2/harness.mjs'

const contactMs = 3000
const catchUpMs = 4000
const successorAfterMs = 1000
const replacements = 4
/** The quickest storm of changes on the sites. */
const stormMs = 1500
const stormGapMs = 60

await runCase(import.meta.dirname, { cores: 4 }, async (fleet, trouble) => {
  const running = [1, 2, 3, 4]
  for (const number of running) fleet.startCore(number)
  fleet.startSidecar(1, 'front')
  const server = await fleet.startServer(1, 'front')
  let version = 1
  const document = (next) => configuration(next, [{ prefix: '/p/', service: 'front' }])
  need(await fleet.replaceConfiguration('r0', document(version)) === 200, 'the first configuration was not accepted')
  await fleet.until(async () => await server.beat() === 200)
  server.startBeats()

  /** Returns the member list that a leader has last asked for, by the logs. */
  const members = () => {
    const lines = Array.from({ length: 4 + replacements }, (_, index) => `core-${index + 1}`).filter(fleet.isKnown).flatMap((name) => fleet.logOf(name).split('\n'))
    const changes = lines.filter((line) => line.includes('changing the member list')).map((line) => JSON.parse(line))
    return changes.sort((left, right) => left.time.localeCompare(right.time)).at(-1).details.after
  }
  const describe = () => members().map(({ id, voter }) => `${id}${voter ? ' votes' : ''}`).join(', ')
  const isVoter = (number) => members().some(({ address, voter }) => voter && address.startsWith(`${fleet.coreIp(number)}:`))
  /** Sends the next change to the cores that run until it is acknowledged or the time is over. */
  const change = async (withinMs) => {
    for (const until = fleet.nowMs() + withinMs; fleet.nowMs() < until; await pause(200)) {
      for (const number of running) {
        const reply = await fleet.call(`http://${fleet.coreIp(number)}:${fleet.ports.control}/-/rpc?call=config.replace`, {
          headers: { 'content-type': 'application/json', 'x-dogwoodspring-base-version': `r${version}` }, body: JSON.stringify(document(version + 1)), timeoutMs: 1500
        })
        if (reply.status !== 200) continue
        version++
        fleet.record(`operator: r${version} is acknowledged by core-${number}`)
        return true
      }
    }
    fleet.record(`operator: r${version + 1} is not acknowledged in ${withinMs} ms`)
    return false
  }
  /** Sends changes in quick succession, each on the one before, for as long as the storms of the sites last. */
  const storm = async () => {
    const until = fleet.nowMs() + stormMs
    for (let dueAt = fleet.nowMs(); dueAt < until; dueAt = Math.max(dueAt + stormGapMs, fleet.nowMs())) {
      await pause(dueAt - fleet.nowMs())
      const reply = await fleet.call(`http://${fleet.coreIp(running[0])}:${fleet.ports.control}/-/rpc?call=config.replace`, {
        headers: { 'content-type': 'application/json', 'x-dogwoodspring-base-version': `r${version}` }, body: JSON.stringify(document(version + 1)), timeoutMs: 1500
      })
      if (reply.status === 200) version++
    }
    fleet.record(`operator: a storm of changes, up to r${version}`)
  }
  const readBack = async (withinMs) => {
    const seen = []
    for (const until = fleet.nowMs() + withinMs; fleet.nowMs() < until; await pause(300)) {
      for (const number of running) {
        const reply = await fleet.readConfiguration(number)
        const text = reply.status === 200 ? JSON.parse(reply.bytes).version : reply.status === 0 ? reply.error : String(reply.status)
        seen.push(text)
        fleet.record(`operator reads at core-${number}: ${text}`)
        if (text === `r${version}`) return { isRead: true, seen }
      }
    }
    return { isRead: false, seen }
  }
  const lose = async (number) => {
    fleet.record(`core-${number} is lost for good; members: ${describe()}`)
    fleet.signal(`core-${number}`, 'SIGKILL')
    await fleet.endOf(`core-${number}`)
    running.splice(running.indexOf(number), 1)
  }

  await pause(contactMs + catchUpMs)
  need(await fleet.until(async () => members().length === 4, 5000), 'the fourth core did not join')
  for (let count = 0; count < (trouble ? replacements : 0); count++) {
    // The first two that are replaced are those without a vote, the next two have one.
    const victim = running.find((number) => isVoter(number) === (count >= 2))
    need(victim !== undefined, 'there is no such core')
    await lose(victim)
    const stormEnd = count < 2 ? storm() : undefined
    await pause(successorAfterMs)
    const successor = 5 + count
    fleet.startCore(successor, { bootstrap: false })
    running.push(successor)
    await stormEnd
    await pause(catchUpMs + contactMs + 500)
    need(await change(5000), 'a change between the losses was not acknowledged')
  }
  // The loss of one machine, which is to be borne at any time.
  if (trouble) await lose(running.find(isVoter))
  await pause(contactMs + 2000)
  const isAcknowledged = await change(12_000)
  const { isRead } = await readBack(8000)
  fleet.record(`members: ${describe()}; running: ${running.map((number) => `core-${number}`).join(', ')}`)
  const broken = []
  if (!isRead) broken.push(`CONFIG: the configuration r${version} is read back from none of the ${running.length} cores that run`)
  if (!isAcknowledged) broken.push('Acks: a change has no acknowledgement, more than contact after the loss of one core')
  return isRead ? [] : broken
})
