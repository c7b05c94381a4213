import type { Day, Entry } from './day.ts'

/** Writes a day as a day file of the bench. */
export function formatDay (day: Day): string {
  return [
    `name = ${JSON.stringify(day.name)}`,
    'slot = "trouble"',
    ...(day.family === 'changes' ? ['small = { shrink = 6.6 }'] : []),
    formatEntries('faults', day.faults),
    formatEntries('plan', day.plan),
    `length_s = ${formatFloat(day.lengthS)}`,
    ...formatClosing(day.closing),
    ''
  ].join('\n')
}

function formatClosing (closing: Day['closing']): string[] {
  if (closing === undefined) return []
  const { kind, how, downS } = closing
  const fields = [`kind = ${JSON.stringify(kind)}`, ...(how === undefined ? [] : [`how = ${JSON.stringify(how)}`]), `down_s = ${formatFloat(downS)}`]
  return [`closing = { ${fields.join(', ')} }`]
}

function formatEntries (name: string, entries: readonly Entry[]): string {
  if (entries.length === 0) return `${name} = []`
  return [`${name} = [`, ...entries.map((entry) => `  ${formatEntry(entry)},`), ']'].join('\n')
}

function formatEntry (entry: Entry): string {
  const fields = [`at = ${formatFloat(entry.at)}`, `kind = ${JSON.stringify(entry.kind)}`]
  if (entry.share !== undefined) fields.push(`share = ${formatFloat(entry.share)}`)
  if (entry.count !== undefined) fields.push(`count = ${entry.count}`)
  if (entry.x !== undefined) fields.push(`x = ${formatFloat(entry.x)}`)
  if (entry.gapS !== undefined) fields.push(`gap_s = ${formatFloat(entry.gapS)}`)
  if (entry.forS !== undefined) fields.push(`for_s = ${formatFloat(entry.forS)}`)
  if (entry.how !== undefined) fields.push(`how = ${JSON.stringify(entry.how)}`)
  return `{ ${fields.join(', ')} }`
}

function formatFloat (value: number): string {
  return Number.isInteger(value) ? value.toFixed(1) : String(value)
}
