import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { createCollector, renderFindings } from '../../src/core/explain/index.ts'

const startedAt = Date.UTC(2026, 0, 2, 3, 4, 5)

/** Returns a log line that was written `ms` after the start of the test's time. */
function lineAt (ms: number, node: string, event: string, details: object): string {
  return JSON.stringify({ time: new Date(startedAt + ms).toISOString(), level: 'warn', message: `message of ${event}`, details: { event, node, ...details } })
}

function explain (id: string, ...inputs: string[][]): string {
  const collector = createCollector(id)
  for (const [index, lines] of inputs.entries()) for (const line of lines) collector.add(line, `file-${index}`)
  return renderFindings(collector.findings())
}

/** Returns the events of the table, in order. */
function eventsOf (text: string): string[] {
  return [...text.matchAll(/^\d\d:\d\d:\d\d\.\d{3} +\+\d+ +\S+ +([a-z_]+)/gm)].map(([, event]) => event)
}

const request = { id: 'r-1', chain: 'c-1' }
const entryLines = [
  lineAt(30, 'n-1', 'attempt_ended', { ...request, code: 'overloaded', next: 'end' }),
  lineAt(31, 'n-1', 'request_ended', { ...request, code: 'overloaded', outcome: 'refused', status: 503, depth: 0, callerLeft: false })
]
const targetLines = [
  lineAt(20, 'n-2', 'call_shed', { id: 'r-9', chain: 'c-9', code: 'overloaded' }),
  lineAt(29, 'n-2', 'call_shed', { ...request, attempt: 'a-1', code: 'overloaded', shedReason: 'displaced', running: 4, limit: 4 })
]

test('lines of several processes make one timeline with the decision and the end', () => {
  const text = explain('r-1', entryLines, targetLines)
  assert.deepEqual(eventsOf(text), ['call_shed', 'attempt_ended', 'request_ended'])
  assert.match(text, /^Request r-1 on 2026-01-02, 3 lines of 2 nodes, chain c-1$/m)
  assert.match(text, /^Decided by: call_shed at n-2, message of call_shed: code=overloaded shedReason=displaced running=4 limit=4$/m)
  assert.match(text, /^End: refused, status 503, at n-1\.$/m)
  assert.match(text, /^Input: 4 lines read, none skipped\.$/m)
})

test('chain or attempt finds the request as well', () => {
  assert.equal(eventsOf(explain('c-1', entryLines, targetLines)).length, 3)
  assert.equal(eventsOf(explain('a-1', targetLines, entryLines)).length, 3)
})

test('call of a target under another id is found by its chain, before and after the line with the id', () => {
  const inner = lineAt(10, 'n-3', 'target_failed', { id: 'c-1', chain: 'c-1', cause: 'broken' })
  assert.deepEqual(eventsOf(explain('r-1', [inner], entryLines)), ['target_failed', 'attempt_ended', 'request_ended'])
  assert.deepEqual(eventsOf(explain('r-1', entryLines, [inner])), ['target_failed', 'attempt_ended', 'request_ended'])
})

test('failure of an earlier attempt decides when the end has its code', () => {
  const text = explain('r-1', [
    lineAt(1, 'n-2', 'call_refused', { ...request, code: 'deadline_exceeded' }),
    lineAt(2, 'n-3', 'call_shed', { ...request, code: 'overloaded' }),
    lineAt(3, 'n-1', 'request_ended', { ...request, code: 'deadline_exceeded', outcome: 'failed', status: 504, depth: 0 })
  ])
  assert.match(text, /^Decided by: call_refused at n-2/m)
})

test('two requests under one id are told apart', () => {
  const again = lineAt(500, 'n-1', 'request_refused', { id: 'r-1', chain: null, code: 'over_rate', status: 429 })
  const text = explain('r-1', entryLines, [again])
  assert.equal([...text.matchAll(/^Request r-1/gm)].length, 2)
  assert.match(text, /^Decided by: request_refused at n-1/m)
})

test('missing end is said, not guessed', () => {
  assert.match(explain('r-1', targetLines), /^End: no line says how the request ended/m)
})

test('dropped lines are said when they may have been those of the request', () => {
  const report = (ms: number) => lineAt(ms, 'n-2', 'lines_dropped', { cause: 'volume', of: 'call_shed', lines: 7 })
  assert.match(explain('r-1', entryLines, [report(900)]), /^Dropped: lines may be missing here.*: 7 by n-2 \(call_shed, volume\)\.$/m)
  assert.match(explain('r-1', entryLines, [report(60_000)]), /^Dropped: none near the time of the request; elsewhere 7 by n-2/m)
  assert.match(explain('r-1', entryLines), /^Dropped: no process reports dropped lines\.$/m)
  assert.match(explain('unknown', [report(0)]), /^No line is about request unknown[\s\S]*elsewhere 7 by n-2/m)
})

test('report of a slow reader without a node has the name of its input', () => {
  const report = JSON.stringify({ time: new Date(startedAt).toISOString(), level: 'warn', message: 'log lines dropped', details: { event: 'lines_dropped', cause: 'slow or failing reader', lines: 3 } })
  assert.match(explain('r-1', entryLines, [report]), /3 by file-1 \(any kind, slow or failing reader\)/)
})

test('bad lines are skipped and counted, and prefixes of collectors are ignored', () => {
  const cut = entryLines[0].slice(0, 60)
  const text = explain('r-1', [cut, 'plain text', '{"a":1}', '[1]', '{"time":"x","message":"m","details":{}}', '', `n-1 | ${entryLines[0]}`, entryLines[1]])
  assert.equal(eventsOf(text).length, 2)
  assert.match(text, /^Input: 7 lines read, 5 skipped \(3 not JSON, 2 without the fields of a log line\)\.$/m)
})

test('lines kept for a later connection are bounded, and it is said when some were not kept', () => {
  const collector = createCollector('r-1')
  const first = lineAt(0, 'n-3', 'target_failed', { id: 'c-0', chain: 'c-0' })
  for (let index = 0; index < 100_010; index++) collector.add(first.replaceAll('c-0', `c-${index + 100}`), 'file')
  assert.match(renderFindings(collector.findings()), /10 lines of other chains were not kept/)
})

const program = join(import.meta.dirname, '../../src/cli/index.ts')

async function runExplain (args: string[], input: string): Promise<{ code: number | null, output: string, errors: string }> {
  const child = spawn(process.execPath, ['--import', 'tsx', program, 'explain', ...args], { stdio: 'pipe' })
  const texts = { output: '', errors: '' }
  child.stdout.on('data', (chunk) => void (texts.output += String(chunk)))
  child.stderr.on('data', (chunk) => void (texts.errors += String(chunk)))
  child.stdin.end(input)
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
  return { code, ...texts }
}

test('command reads standard input or files, and its exit code says whether a line was found', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'explain-'))
  const files = [entryLines, targetLines].map((lines, index) => {
    const path = join(folder, `node-${index}.log`)
    writeFileSync(path, lines.join('\n') + '\n')
    return path
  })
  const [piped, named, missing, unreadable] = await Promise.all([
    runExplain(['r-1'], [...targetLines, ...entryLines].join('\n')), runExplain(['r-1', ...files], ''), runExplain(['other', ...files], ''), runExplain(['r-1', join(folder, 'none')], '')
  ])
  rmSync(folder, { recursive: true })
  assert.deepEqual([piped.code, eventsOf(piped.output).length, named.output], [0, 3, piped.output])
  assert.equal(missing.code, 1)
  assert.deepEqual([unreadable.code, unreadable.output], [2, ''])
  assert.match(unreadable.errors, /unreadable_log/)
})
