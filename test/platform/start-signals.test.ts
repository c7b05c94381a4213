import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { createMachines, eventually } from './machines.ts'
import type { Machines, Program } from './machines.ts'
import { echo, graceMs, patience, withServer } from './stopping.ts'

const folder = mkdtempSync(join(tmpdir(), 'program-'))
execFileSync(process.execPath, [join(import.meta.dirname, '../../scripts/build.mjs'), '--platform', folder], { cwd: join(import.meta.dirname, '../..') })
after(() => rmSync(folder, { recursive: true }))

/** Returns the built program, started as on the platform, with the signals and delays of `signal-at.cjs`. */
function builtProgram (env: Record<string, string>): Program {
  return { arguments: ['--require', join(import.meta.dirname, 'signal-at.cjs'), '--single-threaded', '--expose-gc', join(folder, 'dogwoodspring.cjs')], env }
}

async function withMachines (use: (machines: Machines) => Promise<void>): Promise<void> {
  const machines = await createMachines()
  try {
    await use(machines)
  } finally {
    await machines.stop()
  }
}

/** Starts one process with the role of `name`. */
async function start (machines: Machines, name: 'core-1' | 'sidecar-1', env: Record<string, string>): Promise<void> {
  if (name === 'core-1') machines.startCore(1, true, builtProgram(env))
  else await machines.startSidecar(1, 'other', undefined, builtProgram(env))
}

for (const name of ['core-1', 'sidecar-1'] as const) {
  // Signals had handlers once all code was loaded; until then they ended the process.
  test(`SIGHUP while ${name} loads its code does not end it`, () => withMachines(async (machines) => {
    await start(machines, name, { TEST_SIGNALS_AT_FIRST_LOAD: 'SIGHUP,SIGHUP' })
    await eventually(async () => !machines.isRunning(name) || machines.logOf(name).includes('started'))
    assert.equal(machines.isRunning(name), true, await endNow(machines, name))
    assert.equal(machines.logOf(name).split('SIGHUP received').length - 1, 2, 'both are logged')
  }))

  for (const signals of ['SIGTERM', 'SIGHUP,SIGTERM', 'SIGTERM,SIGHUP', 'SIGTERM,SIGTERM']) {
    test(`${signals} while ${name} loads its code ends it with 0 before it takes anything`, () => withMachines(async (machines) => {
      const startedAt = performance.now()
      await start(machines, name, { TEST_SIGNALS_AT_FIRST_LOAD: signals })
      assert.equal(await machines.endOf(name), 0, machines.logOf(name))
      assert.ok(performance.now() - startedAt < graceMs)
      assert.doesNotMatch(machines.logOf(name), /started/)
    }))
  }

  for (const signals of ['SIGTERM', 'SIGHUP,SIGTERM,SIGHUP', 'SIGTERM,SIGTERM']) {
    test(`${signals} between the first listener of ${name} and its handlers ends it as a stop does`, () => withMachines(async (machines) => {
      const startedAt = performance.now()
      await start(machines, name, { TEST_SIGNALS_AT_FIRST_LISTENER: signals })
      assert.equal(await machines.endOf(name), 0, machines.logOf(name))
      assert.ok(performance.now() - startedAt < graceMs, 'in the time that a stop has')
      assert.match(machines.logOf(name), /stopped/)
    }))
  }
}

/** Returns how a process ended, for messages. */
async function endNow (machines: Machines, name: string): Promise<string> {
  if (machines.isRunning(name)) return 'running'
  return String(await machines.endOf(name))
}

// Requests of callers come in by a listener that opens before the last one; only after that the stop had its handler.
test('SIGTERM before the last listener of a process is open does not cut a request in progress', () => withServer(async ({ machines, server }) => {
  await machines.kill('sidecar-1')
  machines.restartSidecar(1, 'other', builtProgram({ TEST_LATE_PORT: String(machines.readyPort), TEST_LATE_MS: '60000' }))
  await eventually(async () => (await machines.send(1, '/p/x', patience)).status === 200)
  server.respondWith((request, response) => void setTimeout(() => response.writeHead(200, echo(request)).end('whole answer'), 2000))
  const before = server.received.length
  const reply = machines.send(1, '/p/x', { ...patience, 'x-dogwoodspring-request-id': 'in-progress' })
  await eventually(async () => server.received.length > before, 2000)
  void machines.kill('sidecar-1', 'SIGTERM')
  const { status, text } = await reply
  assert.deepEqual({ status, text }, { status: 200, text: 'whole answer' }, await endNow(machines, 'sidecar-1'))
}))

test('the end of a stop counts from SIGTERM, not from the end of the start', () => withServer(async ({ machines, server }) => {
  await machines.kill('sidecar-1')
  machines.restartSidecar(1, 'other', builtProgram({ TEST_LATE_PORT: String(machines.readyPort), TEST_LATE_MS: '4000' }))
  await eventually(async () => (await machines.send(1, '/p/x', patience)).status === 200)
  server.respondWith(() => {})
  const before = server.received.length
  const reply = machines.send(1, '/p/x', { ...patience, 'x-dogwoodspring-request-id': 'endless' })
  await eventually(async () => server.received.length > before, 2000)
  const startedAt = performance.now()
  const ended = machines.kill('sidecar-1', 'SIGTERM')
  assert.equal((await reply).status, 504)
  assert.equal(await ended, 0)
  assert.ok(performance.now() - startedAt < graceMs, `${performance.now() - startedAt} ms after SIGTERM`)
}))
