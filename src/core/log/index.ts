import { createConsola } from 'consola'
import type { LogObject } from 'consola'
import { systemClock } from '../clock/index.ts'
import type { Clock } from '../clock/index.ts'
import { createLineWriter, droppedEvent, droppedMessage } from './line-writer.ts'
import type { LineWriter } from './line-writer.ts'
import { openStandardSink } from './sink.ts'
import type { Log } from './types.ts'

export { createLineWriter, droppedEvent } from './line-writer.ts'
export type { LineSink, LineWriter } from './line-writer.ts'
export { createEventWriter } from './event-writer.ts'
export type { EventWriter } from './event-writer.ts'
export { processorEvents, requestEvents, revisionEvents, targetEvents } from './events.ts'
export type { EventFields, EventKind, EventName, StopTimes } from './events.ts'
export { createRequestLog } from './request-log.ts'
export type { LoggedRequest, RequestLog } from './request-log.ts'
export type { Log } from './types.ts'

function formatJson (entry: Pick<LogObject, 'args' | 'date' | 'type'>): string {
  const [message, ...rest] = entry.args
  return JSON.stringify({ time: entry.date.toISOString(), level: entry.type, message, details: rest[0] })
}

function formatText (entry: Pick<LogObject, 'args' | 'date' | 'type'>): string {
  const text = entry.args.map((part) => typeof part === 'string' ? part : JSON.stringify(part)).join(' ')
  return `${entry.date.toISOString()} ${entry.type} ${text}`
}

/** Creates a writer to standard error that counts dropped lines with `count`. */
export function createStandardWriter (json: boolean, clock: Clock, count: (lines: number) => void): LineWriter {
  const format = json ? formatJson : formatText
  const writer = createLineWriter(openStandardSink(), {
    count,
    format: (lines) => format({ date: clock.date(), type: 'warn', args: [droppedMessage, { event: droppedEvent, cause: 'slow or failing reader', lines }] })
  })
  process.once('exit', writer.finish)
  return writer
}

/** Creates a logger that writes one line per entry. */
export function createLog (json: boolean, writer: LineWriter = createStandardWriter(json, systemClock, () => {})): Log {
  const format = json ? formatJson : formatText
  return createConsola({ level: 3, reporters: [{ log: (entry) => writer.write(format(entry)) }] })
}

/** Logger that discards all entries. */
export const silentLog: Log = createConsola({ level: -999, reporters: [] })

export { createRefusalRecorder, shorten } from './refusals.ts'
export type { RecordRefusal } from './refusals.ts'
