function formatCell (value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

/** Formats a record, or a list of them, as a table with one column per name. */
export function formatTable (body: unknown, columns: readonly string[]): string {
  const records = (Array.isArray(body) ? body : [body]) as Array<Record<string, unknown>>
  const rows = [columns.map((column) => column.toUpperCase()), ...records.map((record) => columns.map((column) => formatCell(record[column])))]
  const widths = columns.map((_, index) => Math.max(...rows.map((row) => row[index].length)))
  const lines = rows.map((row) => row.map((text, index) => text.padEnd(widths[index])).join('  ').trimEnd())
  return lines.join('\n') + '\n'
}
