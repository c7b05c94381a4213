import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { test } from 'node:test'
import { createLineWriter, createLog, createRequestLog } from '../../src/core/log/index.ts'
import type { LineSink, RequestEvent } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'

/** A sink whose reader takes a write only when the test says so. */
function createSlowSink (): LineSink & { texts: string[], read: () => void, last: string } {
  let done: (() => void) | undefined
  const sink = {
    texts: [] as string[],
    last: '',
    write (text: string, next: () => void) {
      sink.texts.push(text)
      done = next
    },
    writeLast (text: string) {
      sink.last += text
    },
    read: () => done?.()
  }
  return sink
}

const failed: RequestEvent = {
  kind: 'request ended', id: 'i', route: 'r', service: 's', workspace: null, priority: 1, begun: false, outcome: 'failed', reason: 'x', status: undefined, attempts: 1, tookMs: 5, leftMs: 5
}

test('lines wait for a slow reader up to a bound, then are dropped and counted', () => {
  const sink = createSlowSink()
  const writer = createLineWriter(sink)
  for (let count = 0; count < 10_000; count++) writer.write('x'.repeat(99))
  assert.equal(sink.texts.length, 1, 'one write at a time')
  sink.read()
  assert.ok(sink.texts[1].length <= 256 * 1024)
  writer.write('after')
  sink.read()
  const [note, after] = sink.texts[2].trim().split('\n')
  assert.equal(after, 'after')
  assert.equal(JSON.parse(note).details.dropped, 10_000 - 1 - Math.floor(256 * 1024 / 100))
})

test('what waits is written before the process ends', () => {
  const sink = createSlowSink()
  const writer = createLineWriter(sink)
  for (const line of ['a', 'b', 'c']) writer.write(line)
  writer.finish()
  writer.write('d')
  assert.equal(sink.last, 'b\nc\n')
})

test('a reader that is gone ends the writing, not the process', () => {
  const texts: string[] = []
  const writer = createLineWriter({
    write (text, done) {
      texts.push(text)
      done(new Error('write EPIPE'))
    },
    writeLast () {}
  })
  for (const line of ['a', 'b']) writer.write(line)
  assert.deepEqual(texts, ['a\n'])
})

test('each kind of line has its budget, at any load, and says how many were left out', () => {
  const lines: string[] = []
  let now = 0
  const log = createLog(true, { write: (line) => void lines.push(line), finish () {} })
  const metrics = createMetrics()
  const requests = createRequestLog(log, metrics, { now: () => now, date: () => new Date(now) }, () => 0.5)
  for (; now < 10_000; now++) requests.write({ ...failed, id: String(now) } as RequestEvent)
  requests.write({ ...failed, kind: 'request refused at the entry', revision: 3 } as RequestEvent)
  assert.ok(lines.length <= 40 * 11 + 1, `${lines.length} lines in 10 s`)
  const parsed = lines.map((line) => JSON.parse(line))
  assert.equal(parsed.at(-1).message, 'request refused at the entry')
  const noted = parsed.reduce((sum: number, { details }) => sum + (details.droppedBefore ?? 0), 0)
  const dropped = metrics.value('log_lines_dropped_total{kind="request ended"}')
  assert.ok(noted > 0 && noted <= dropped && dropped + parsed.length - 1 === 10_000)
})

test('a process whose log nobody reads goes on and ends in time', async () => {
  const logging = `
    const { createLog } = await import(${JSON.stringify(join(import.meta.dirname, '../../src/core/log/index.ts'))})
    const log = createLog(true)
    for (let count = 0; count < 20_000; count++) log.info('line', { count, text: 'x'.repeat(100) })
    process.stdout.write('went on')
    setTimeout(() => process.exit(0), 100)
  `
  const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', logging], { cwd: join(import.meta.dirname, '../..'), stdio: ['ignore', 'pipe', 'pipe'] })
  let said = ''
  child.stdout.on('data', (chunk) => {
    said += String(chunk)
  })
  const timeout = setTimeout(() => child.kill('SIGKILL'), 10_000)
  const code = await new Promise((resolve) => child.once('exit', (status) => resolve(status)))
  clearTimeout(timeout)
  assert.deepEqual([code, said], [0, 'went on'])
})
