import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'

/** Logger for state changes. */
export type Log = Pick<ConsolaInstance, 'info' | 'warn' | 'error'>

function writeJson (entry: LogObject): void {
  const [message, ...rest] = entry.args
  process.stderr.write(JSON.stringify({ time: entry.date.toISOString(), level: entry.type, message, details: rest[0] }) + '\n')
}

function writeText (entry: LogObject): void {
  const text = entry.args.map((part) => typeof part === 'string' ? part : JSON.stringify(part)).join(' ')
  process.stderr.write(`${entry.date.toISOString()} ${entry.type} ${text}\n`)
}

/** Creates a logger that writes one line per entry to standard error. */
export function createLog (json: boolean): Log {
  return createConsola({ level: 3, reporters: [{ log: json ? writeJson : writeText }] })
}

/** Logger that discards all entries. */
export const silentLog: Log = createConsola({ level: -999, reporters: [] })

export { createRefusalRecorder, shorten } from './refusals.ts'
export type { RecordRefusal } from './refusals.ts'
