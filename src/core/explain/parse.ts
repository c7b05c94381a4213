/** One line of a log. */
export interface LogEntry {
  /** Wall-clock time in ms since 1970, by the clock of the machine that wrote the line. */
  at: number
  message: string
  event: string
  /** Node, or the name of the input for lines without one. */
  node: string
  id: string | undefined
  chain: string | undefined
  attempt: string | undefined
  details: Record<string, unknown>
}

/** Why a line was skipped. */
export type SkipReason = 'not JSON' | 'without the fields of a log line'

function textOf (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    if (error instanceof SyntaxError) return undefined
    throw error
  }
}

/** Parses one line. Text before its JSON object, such as the prefix of a log collector, is ignored. */
export function parseLine (line: string, source: string): LogEntry | SkipReason {
  const start = line.indexOf('{')
  const value = start < 0 ? undefined : parseJson(line.slice(start))
  if (value === undefined) return 'not JSON'
  if (!isObject(value)) return 'without the fields of a log line'
  const { time, message, details = {} } = value
  const at = Date.parse(String(time))
  if (Number.isNaN(at) || typeof message !== 'string' || !isObject(details)) return 'without the fields of a log line'
  const { event, node, id, chain, attempt } = details
  return { at, message, event: textOf(event) ?? '', node: textOf(node) ?? source, id: textOf(id), chain: textOf(chain), attempt: textOf(attempt), details }
}
