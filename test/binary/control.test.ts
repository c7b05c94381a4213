import assert from 'node:assert/strict'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { template, createWorkspaceDocument } from '../../scripts/demo/template.ts'
import { createCluster } from '../../scripts/support/cluster.ts'
import type { Cluster } from '../../scripts/support/cluster.ts'
import { pause } from './client.ts'

let cluster: Cluster

before(async () => {
  cluster = await createCluster(['kbh-a', 'aarhus-a', 'odense-a'])
  writeFileSync(join(cluster.folder, 'template.json'), JSON.stringify(template))
  await cluster.runUntilSuccess('template', 'set', 'franchise', '--file', join(cluster.folder, 'template.json'))
})
after(async () => await cluster.stop())

function workspaceFile (rate: number): string {
  const file = join(cluster.folder, `workspace-${rate}.json`)
  writeFileSync(file, JSON.stringify(createWorkspaceDocument(rate)))
  return file
}

test('no change is lost or applied twice while each instance is killed in turn', async () => {
  const accepted: string[] = []
  let isWriting = true
  const writer = (async () => {
    for (let count = 0; isWriting; count++) {
      const changeId = `stream-${count}`
      await cluster.runUntilSuccess('workspace', 'set', `depot-${count % 5}`, '--file', workspaceFile(10 + count % 50), '--change-id', changeId)
      accepted.push(changeId)
    }
  })()
  for (const id of ['c1', 'c2', 'c3']) {
    await pause(1200)
    const child = cluster.controls.find((control) => control.name === id)
    child?.signal('SIGKILL')
    await child?.ended
    await pause(800)
    await cluster.startControl(id)
    await pause(2500)
  }
  isWriting = false
  await writer
  const entries = await cluster.runUntilSuccess('audit', '--limit', '100000') as unknown as Array<{ changeId: string, accepted: boolean }>
  const counts = new Map<string, number>()
  for (const entry of entries) {
    if (entry.accepted) counts.set(entry.changeId, (counts.get(entry.changeId) ?? 0) + 1)
  }
  assert.ok(accepted.length > 5, `${accepted.length} changes`)
  for (const changeId of accepted) assert.equal(counts.get(changeId), 1, changeId)
  assert.deepEqual(await cluster.runUntilSuccess('audit', 'verify'), { ok: true, entries: entries.length })
})

test('of two concurrent changes one is accepted, and the other fails with the name of the winner', async () => {
  const { revision } = await cluster.runUntilSuccess('workspace', 'get', 'depot-1') as { revision: number }
  const set = async (rate: number) => await cluster.run('workspace', 'set', 'depot-1', '--file', workspaceFile(rate), '--expect-revision', String(revision), '--json')
  const results = await Promise.all([set(31), set(32)])
  assert.deepEqual(results.map((result) => result.code).sort(), [0, 1])
  const rejected = results.find((result) => result.code === 1)
  assert.match(rejected?.stdout ?? '', /"error":"conflict".*last changed by root/)
})

test('a key creation retried after a lost answer shows the same key', async () => {
  const first = await cluster.runUntilSuccess('key', 'give', 'depot-1', '--change-id', 'give-once')
  const retried = await cluster.runUntilSuccess('key', 'give', 'depot-1', '--change-id', 'give-once')
  assert.deepEqual(retried, first)
})

test('a refused change prints the reason and exits with code 1', async () => {
  const refused = await cluster.run('workspace', 'set', 'depot-1', '--file', workspaceFile(99_999))
  assert.equal(refused.code, 1)
  assert.match(refused.stderr, /rate of workspace depot-1 is 99999; template franchise allows 1 to 1000/)
  const wrong = await cluster.run('status', '--token', 'wrong')
  assert.equal(wrong.code, 1)
  assert.match(wrong.stderr, /^unauthorized/)
})

test('an operator without the scope is refused', async () => {
  await cluster.runUntilSuccess('operator', 'give', 'reader', '--scopes', 'read', '--new-token', 'token-of-the-reader')
  assert.equal((await cluster.run('template', 'list', '--token', 'token-of-the-reader')).code, 0)
  const refused = await cluster.run('key', 'give', 'depot-1', '--token', 'token-of-the-reader')
  assert.match(refused.stderr, /^forbidden: .*"keys"/)
})

test('an invalid setting prints one line with its flag and exits with code 2', async () => {
  const result = await cluster.run('node', '--id', 'Bad Name', '--domain', 'd', '--cluster-secret', 'x'.repeat(16))
  assert.equal(result.code, 2)
  assert.match(result.stderr, /^invalid_setting: --id is "Bad Name"; allowed: /)
  const shortSecret = await cluster.run('node', '--id', 'n', '--domain', 'd', '--cluster-secret', 'short')
  assert.match(shortSecret.stderr, /--cluster-secret is "\(hidden\)"; allowed: at least 16/)
})

test('counters of a control instance are served as text', async () => {
  const text = await fetch(`http://${cluster.controls[0].addresses.admin}/metrics`).then((answer) => answer.text())
  assert.match(text, /^dogwoodspring_consensus_commit \d+$/m)
})

test('a fourth instance joins, becomes a voter and replaces a lost one', async () => {
  const { binary, clusterSecret } = await import('../../scripts/support/cluster.ts')
  const { startChild } = await import('../../scripts/support/process.ts')
  const host = cluster.network.host(1, 9)
  const peer = `${host}:${cluster.network.nextPort()}`
  const seeds = cluster.controls.map((control) => control.addresses.peer).join(',')
  const joined = await startChild('c4', binary, [
    'control', '--id', 'c4', '--domain', 'odense-a', '--peer', peer, '--admin', `${host}:0`, '--data', join(cluster.folder, 'c4'), '--join', 'true', '--seeds', seeds
  ], { DOGWOODSPRING_CLUSTER_SECRET: clusterSecret })
  cluster.controls.push(joined)
  await cluster.runUntilSuccess('control', 'add', 'c4', peer)
  let voter = false
  for (let tries = 0; tries < 40 && !voter; tries++) {
    const members = await cluster.runUntilSuccess('control', 'members') as unknown as Array<{ id: string, voter: boolean }>
    voter = members.find((member) => member.id === 'c4')?.voter === true
    await pause(200)
  }
  assert.equal(voter, true)
  const killed = cluster.controls.find((control) => control.name === 'c1')
  killed?.signal('SIGKILL')
  await pause(3500)
  await cluster.runUntilSuccess('control', 'remove', 'c1')
  const members = await cluster.runUntilSuccess('control', 'members') as unknown as Array<{ id: string }>
  assert.deepEqual(members.map((member) => member.id), ['c2', 'c3', 'c4'])
  await cluster.runUntilSuccess('workspace', 'set', 'depot-1', '--file', workspaceFile(44))
})

test('an instance with a corrupt log does not start and reports the position', async () => {
  const { readFileSync } = await import('node:fs')
  const stopped = cluster.controls.find((control) => control.name === 'c2') ?? assert.fail()
  stopped.signal('SIGKILL')
  await stopped.ended
  const file = join(cluster.folder, 'c2', 'log')
  const content = readFileSync(file)
  content[40] ^= 1
  writeFileSync(file, content)
  await assert.rejects(cluster.startControl('c2'), /corrupt_data: .*log is corrupt at byte \d+/)
})
