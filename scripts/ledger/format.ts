import { toThreeDigits } from '../capacity/units.ts'
import type { ProcessorTime } from '../support/processor.ts'
import { total } from './arithmetic.ts'
import { largestUnserved } from './measure.ts'
import type { BuildLedger, Ledger, Phase, Split } from './measure.ts'

const phases: readonly Phase[] = ['start', 'idle', 'cold', 'warm']
const headings: Record<Phase, string> = {
  start: 'a start, s',
  idle: 'an idle node, ms/s',
  cold: 'a call, first part, ms',
  warm: 'a call, then, ms'
}
/** Smallest part of any entry that a module is listed with. */
const listedFraction = 0.01

function formatRow (cells: ReadonlyArray<string | number>): string {
  return `| ${cells.map((cell) => typeof cell === 'number' ? toThreeDigits(cell) : cell).join(' | ')} |`
}

function formatTable (header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  return [formatRow(header), formatRow(header.map(() => '---')), ...rows.map(formatRow), ''].join('\n')
}

function formatTime ({ user, system }: ProcessorTime): number[] {
  return [user, system, user + system]
}

function formatEntries (ledger: Ledger): string {
  const rows = ledger.builds.flatMap(({ name, entries, idleControl }) => [
    ...phases.map((phase) => [`${name}: ${headings[phase]}`, ...formatTime(entries[phase].time), entries[phase].ratio]),
    [`${name}: an idle control instance, ms/s`, ...formatTime(idleControl), total(idleControl) / total(ledger.bareCall.warm)]
  ])
  return formatTable(['entry', 'user', 'system', 'both', 'ratio to bare'], [
    ['Node.js without a program: a start, s', ...formatTime(ledger.bareStart), 1],
    ['bare proxies: a call, first part, ms', ...formatTime(ledger.bareCall.cold), 1],
    ['bare proxies: a call, then, ms', ...formatTime(ledger.bareCall.warm), 1],
    ...rows
  ])
}

function partOf ({ modules }: Split, name: string): number {
  return modules.find(([known]) => known === name)?.[1] ?? 0
}

function formatSplits ({ name, entries, splits }: BuildLedger): string {
  if (splits === undefined) return ''
  const names = new Set(phases.flatMap((phase) => splits[phase].modules.map(([module]) => module)))
  const fraction = (module: string) => Math.max(...phases.map((phase) => partOf(splits[phase], module) / total(entries[phase].time)))
  const listed = [...names].filter((module) => fraction(module) >= listedFraction)
  listed.sort((left, right) => partOf(splits.warm, right) - partOf(splits.warm, left))
  return formatTable([name, ...phases.map((phase) => headings[phase])], listed.map((module) => [module, ...phases.map((phase) => partOf(splits[phase], module))]))
}

/** Formats a ledger as Markdown tables. */
export function formatLedger (ledger: Ledger): string {
  const unserved = `Largest part of calls that were not served: ${toThreeDigits(largestUnserved(ledger))}\n`
  return [formatEntries(ledger), unserved, ...ledger.builds.map(formatSplits)].join('\n')
}
