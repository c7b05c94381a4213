import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'
import { createLineWriter, openSink } from './line-writer.ts'
import type { LineWriter } from './line-writer.ts'

export { createLineWriter, openSink } from './line-writer.ts'
export type { LineSink, LineWriter } from './line-writer.ts'
export { createRequestLog } from './request-log.ts'
export type { RequestEvent, RequestLog } from './request-log.ts'

/** Logger for changes of state. */
export type Log = Pick<ConsolaInstance, 'info' | 'warn' | 'error'>

function jsonLine (entry: LogObject): string {
  const [message, ...rest] = entry.args
  return JSON.stringify({ time: entry.date.toISOString(), level: entry.type, message, details: rest[0] })
}

function textLine (entry: LogObject): string {
  const text = entry.args.map((part) => typeof part === 'string' ? part : JSON.stringify(part)).join(' ')
  return `${entry.date.toISOString()} ${entry.type} ${text}`
}

/** Creates a logger that writes one line an entry, without waiting for whoever reads them. */
export function createLog (json: boolean, writer: LineWriter = createStandardWriter()): Log {
  const format = json ? jsonLine : textLine
  return createConsola({ level: 3, reporters: [{ log: (entry) => writer.write(format(entry)) }] })
}

/** Writes to standard error, as scripts read addresses from standard output. */
function createStandardWriter (): LineWriter {
  const writer = createLineWriter(openSink(process.stderr.fd))
  process.once('exit', writer.finish)
  return writer
}

/** A logger that drops everything. */
export const silentLog: Log = createConsola({ level: -999, reporters: [] })
