import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { createLineWriter, droppedEvent } from '../../src/core/log/index.ts'
import type { LineSink, LineWriter } from '../../src/core/log/index.ts'

const maxWaitingBytes = 256 * 1024

/** A sink whose reader takes a batch only when the test lets it. */
interface SlowSink extends LineSink {
  batches: string[]
  last: string
  read: (error?: NodeJS.ErrnoException) => void
}

function createSlowSink (): SlowSink {
  let pending: ((error?: NodeJS.ErrnoException) => void) | undefined
  const sink: SlowSink = {
    batches: [],
    last: '',
    write (text, done) {
      sink.batches.push(text)
      pending = done
    },
    writeLast: (text) => void (sink.last += text),
    read (error) {
      const done = pending
      pending = undefined
      done?.(error)
    }
  }
  return sink
}

function createWriter (sink: LineSink): { writer: LineWriter, counted: () => number } {
  let counted = 0
  const writer = createLineWriter(sink, { format: (lines) => `dropped ${lines}`, count: (lines) => void (counted += lines) })
  return { writer, counted: () => counted }
}

function errorOf (code: string): NodeJS.ErrnoException {
  return Object.assign(new Error(code), { code })
}

/** Lets the reader take everything and returns it. */
function readAll (sink: SlowSink): string[] {
  for (let index = 0; index < sink.batches.length; index++) sink.read()
  return sink.batches.join('').trimEnd().split('\n')
}

test('slow reader costs bounded memory and the oldest lines, which are counted where they are missing', () => {
  const sink = createSlowSink()
  const { writer, counted } = createWriter(sink)
  const lines = Array.from({ length: 10_000 }, (_, number) => String(number).padStart(99, '0'))
  for (const line of lines) writer.write(line)
  assert.equal(sink.batches.length, 1, 'one batch at a time')
  const received = readAll(sink)
  const kept = Math.floor(maxWaitingBytes / 100)
  assert.equal(counted(), lines.length - 1 - kept)
  assert.deepEqual(received, [lines[0], `dropped ${counted()}`, ...lines.slice(-kept)])
  assert.ok(sink.batches.every((batch) => batch.length <= 65 * 1024))
})

test('bytes, not characters, bound the waiting lines', () => {
  const sink = createSlowSink()
  const { writer, counted } = createWriter(sink)
  for (let count = 0; count < 2000; count++) writer.write('ữ'.repeat(333))
  readAll(sink)
  assert.ok(counted() >= 1999 - maxWaitingBytes / 1000)
})

test('lines that wait are written before the process ends', () => {
  const sink = createSlowSink()
  const { writer } = createWriter(sink)
  for (const line of ['a', 'b', 'c']) writer.write(line)
  writer.finish()
  writer.write('d')
  assert.equal(sink.last, 'b\nc\n')
})

test('closed reader ends the writing and each further line is counted', () => {
  const sink = createSlowSink()
  const { writer, counted } = createWriter(sink)
  for (const line of ['a', 'b']) writer.write(line)
  sink.read(errorOf('EPIPE'))
  writer.write('c')
  assert.deepEqual([sink.batches, counted()], [['a\n'], 2])
})

test('failed write is counted and later lines are still written', () => {
  const sink = createSlowSink()
  const { writer, counted } = createWriter(sink)
  for (const line of ['a', 'b']) writer.write(line)
  sink.read(errorOf('ENOSPC'))
  assert.deepEqual([sink.batches, counted()], [['a\n', 'dropped 1\nb\n'], 1])
})

interface Line {
  message: string
  details: Record<string, unknown>
}

const repository = join(import.meta.dirname, '../..')

/** Runs a process that writes 2 MB of log lines at once, then says how long that took and ends. */
function spawnLogger (stderr: 'pipe' | number) {
  const program = `
    const { createLog } = await import(${JSON.stringify(join(repository, 'src/core/log/index.ts'))})
    const log = createLog(true)
    const startedAt = performance.now()
    for (let count = 0; count < 20000; count++) log.info('line', { count, text: 'x'.repeat(100) })
    setTimeout(() => {
      process.stdout.write('went on')
      process.exit(0)
    }, 300)
  `
  return spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', program], { cwd: repository, stdio: ['ignore', 'pipe', stderr] })
}

/** Returns the exit code of a logger and its standard output. */
async function endOf (child: ReturnType<typeof spawnLogger>): Promise<[number | null, string]> {
  let output = ''
  child.stdout?.on('data', (chunk) => {
    output += String(chunk)
  })
  const timeout = setTimeout(() => child.kill('SIGKILL'), 20_000)
  const code = await new Promise<number | null>((resolve) => child.once('exit', resolve))
  clearTimeout(timeout)
  return [code, output]
}

test('process whose log is not read goes on and ends', async () => {
  const child = spawnLogger('pipe')
  assert.deepEqual(await endOf(child), [0, 'went on'])
})

test('process whose log was closed by its reader goes on and ends', async () => {
  const child = spawnLogger('pipe')
  child.stderr?.destroy()
  assert.deepEqual(await endOf(child), [0, 'went on'])
})

test('log in a file has all lines that were not counted as dropped', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'log-'))
  const path = join(folder, 'log')
  const descriptor = openSync(path, 'w')
  assert.deepEqual(await endOf(spawnLogger(descriptor)), [0, 'went on'])
  const lines = readFileSync(path, 'utf8').trimEnd().split('\n').map((line) => JSON.parse(line) as Line)
  const dropped = lines.reduce((sum, { details }) => sum + (details.event === droppedEvent ? Number(details.lines) : 0), 0)
  const notes = lines.filter(({ details }) => details.event === droppedEvent).length
  assert.equal(lines.length - notes + dropped, 20_000)
  rmSync(folder, { recursive: true })
})
