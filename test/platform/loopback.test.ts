import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { join } from 'node:path'
import { test } from 'node:test'
import { takeLoopbackNetwork } from '../../scripts/support/loopback.ts'

const helper = join(import.meta.dirname, '../../scripts/support/loopback.ts')
/** Networks that only this test uses. */
const few = [251, 252]

/** Starts a process that takes two networks and goes on to run. */
async function takeInProcess (candidates?: readonly number[]): Promise<{ child: ChildProcess, hosts: string[] }> {
  const take = `await takeLoopbackNetwork(${JSON.stringify(candidates) ?? ''})`
  const program = `import { takeLoopbackNetwork } from ${JSON.stringify(helper)}
const networks = [${take}, ${take}]
console.log(networks.map((network) => network.host(1, 1)).join(','))
setInterval(() => {}, 1000)`
  const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', program], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  return { child, hosts: String(line).trim().split(',') }
}

test('two environments of stand-ins in different processes never share an address', { timeout: 60_000 }, async () => {
  const holders = await Promise.all([...Array(6).keys()].map(() => takeInProcess()))
  for (const { child } of holders) child.kill('SIGKILL')
  const hosts = holders.flatMap((holder) => holder.hosts)
  assert.equal(new Set(hosts).size, 12, hosts.join(' '))
})

test('a killed process leaves its addresses to others', { timeout: 60_000 }, async () => {
  const { child } = await takeInProcess(few)
  await assert.rejects(takeLoopbackNetwork(few), /all 2 loopback networks are taken/)
  child.kill('SIGKILL')
  await once(child, 'exit')
  const network = await takeLoopbackNetwork(few)
  assert.deepEqual([network.nextPort(16), network.nextPort()].map((port, _index, [first]) => port - first), [0, 16])
  await network.release()
})
