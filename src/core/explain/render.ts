import type { Findings } from './collect.ts'
import type { LogEntry } from './parse.ts'
import { createTimelines } from './timeline.ts'
import type { Timeline } from './timeline.ts'

/** Time around a request in which dropped lines may have been its own, in milliseconds: reports of them come up to a second later. */
const dropMarginMs = 1500

/** Fields that the columns or the heading show. */
const shownFields = new Set(['event', 'node', 'id', 'chain', 'attempt', 'service', 'route', 'workspace', 'priority'])

function formatFields (details: Record<string, unknown>): string {
  return Object.entries(details)
    .filter(([name, value]) => !shownFields.has(name) && value !== null)
    .map(([name, value]) => `${name}=${typeof value === 'string' && !/[\s=]/.test(value) ? value : JSON.stringify(value)}`)
    .join(' ')
}

function timeOf (at: number): string {
  return new Date(at).toISOString().slice(11, 23)
}

function formatTable (rows: readonly string[][]): string[] {
  const widths = rows[0].slice(0, -1).map((_, column) => Math.max(...rows.map((row) => row[column].length)))
  return rows.map((row) => row.map((cell, column) => column < widths.length ? cell.padEnd(widths[column]) : cell).join('  ').trimEnd())
}

function headingOf (id: string, { chain, entries }: Timeline): string {
  const fields = ['service', 'route', 'workspace', 'priority'].flatMap((name) => {
    const value = entries.find(({ details }) => details[name] !== undefined && details[name] !== null)?.details[name]
    return value === undefined ? [] : [`${name} ${String(value)}`]
  })
  const nodes = new Set(entries.map(({ node }) => node)).size
  const date = new Date(entries[0].at).toISOString().slice(0, 10)
  return [`Request ${id} on ${date}, ${entries.length} lines of ${nodes} nodes`, ...(chain === undefined ? [] : [`chain ${chain}`]), ...fields].join(', ')
}

function describeEnd (end: LogEntry | undefined): string {
  if (end === undefined) return 'End: no line says how the request ended for its caller.'
  const { outcome = 'refused', status, callerLeft } = end.details
  const left = callerLeft === true ? '; its caller had left' : ''
  return `End: ${String(outcome)}, ${typeof status === 'number' ? `status ${status}` : 'connection closed without an answer'}, at ${end.node}${left}.`
}

function describeDecision ({ decision, end }: Timeline): string {
  if (decision === undefined || decision.event === 'request_answered') return 'Decided by: no line of a refusal or failure.'
  if (decision === end && decision.event === 'request_ended') return `Decided by: no line but the last one says more; code ${String(decision.details.code)}.`
  return `Decided by: ${decision.event} at ${decision.node}, ${decision.message}: ${formatFields(decision.details)}`
}

function renderTimeline (id: string, timeline: Timeline): string[] {
  const { entries } = timeline
  const rows = entries.map((entry) => [timeOf(entry.at), `+${entry.at - entries[0].at}`, entry.node, entry.event, formatFields(entry.details)])
  return [headingOf(id, timeline), ...formatTable([['time (UTC)', 'ms', 'node', 'event', 'fields'], ...rows]), describeDecision(timeline), describeEnd(timeline.end), '']
}

/** Sums up reports of dropped lines by node and kind. */
function sumUpDrops (drops: readonly LogEntry[]): string {
  const sums = new Map<string, number>()
  for (const { node, details } of drops) {
    const key = `${node} (${typeof details.of === 'string' ? details.of : 'any kind'}, ${String(details.cause)})`
    sums.set(key, (sums.get(key) ?? 0) + Number(details.lines ?? 0))
  }
  return [...sums].map(([key, lines]) => `${lines} by ${key}`).join('; ')
}

function describeDrops ({ drops }: Findings, timelines: readonly Timeline[]): string {
  if (drops.length === 0) return 'Dropped: no process reports dropped lines.'
  const isNear = ({ at }: LogEntry) => timelines.some(({ entries }) => at >= entries[0].at - dropMarginMs && at <= (entries.at(-1)?.at ?? 0) + dropMarginMs)
  const near = drops.filter(isNear)
  if (near.length === 0) return `Dropped: none near the time of the request; elsewhere ${sumUpDrops(drops)}.`
  return `Dropped: lines may be missing here, as these were dropped near the time of the request: ${sumUpDrops(near)}.`
}

function describeInput ({ linesRead, skipped, forgotten, forgottenDrops }: Findings): string {
  const parts = [...skipped].map(([reason, lines]) => `${lines} ${reason}`)
  const total = [...skipped.values()].reduce((sum, lines) => sum + lines, 0)
  const lost = forgotten > 0 ? ` ${forgotten} lines of other chains were not kept and may have belonged to the request.` : ''
  const unread = forgottenDrops > 0 ? ` ${forgottenDrops} further reports of dropped lines were not kept.` : ''
  return `Input: ${linesRead} lines read, ${total === 0 ? 'none skipped' : `${total} skipped (${parts.join(', ')})`}.${lost}${unread}`
}

/** Renders what the logs say about a request. */
export function renderFindings (findings: Findings): string {
  const timelines = createTimelines(findings.entries)
  const body = timelines.length > 0
    ? timelines.flatMap((timeline) => renderTimeline(findings.id, timeline))
    : [`No line is about request ${findings.id}. Requests that end well are only counted, and one of 500 is logged.`, '']
  return [...body, describeDrops(findings, timelines), describeInput(findings)].join('\n') + '\n'
}
