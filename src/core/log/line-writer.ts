/** Name and message of the line that states how many lines are missing. */
export const droppedEvent = 'lines_dropped'
export const droppedMessage = 'log lines dropped'

/** Bytes of lines that wait for a slow reader, at most. */
const maxWaitingBytes = 256 * 1024

/** Bytes that are passed to the sink at once. */
const maxBatchBytes = 64 * 1024

/** Errors after which nobody reads any more. */
const closedCodes = new Set(['EPIPE', 'ECONNRESET', 'ERR_STREAM_DESTROYED'])

/** Destination of lines. */
export interface LineSink {
  /** Writes text without waiting, and calls `done` when more may be written, or with an error. */
  write: (text: string, done: (error?: NodeJS.ErrnoException | null) => void) => void
  /** Writes text before the process ends, as far as its reader takes it at once. */
  writeLast: (text: string) => void
}

/** Writes lines and never waits for their reader. */
export interface LineWriter {
  write: (line: string) => void
  /** Writes the lines that still wait, before the process ends. */
  finish: () => void
}

/** Reports lines that were dropped. */
export interface DropReport {
  /** Returns the line that states how many lines are missing at its place. */
  format: (lines: number) => string
  /** Counts dropped lines. */
  count: (lines: number) => void
}

/** Creates a writer with a ring of waiting lines. A full ring drops its oldest line: the newest lines describe the current trouble. */
export function createLineWriter (sink: LineSink, report: DropReport): LineWriter {
  let waiting: string[] = []
  /** Index of the oldest waiting line; those before it were taken or dropped. */
  let first = 0
  let waitingBytes = 0
  let dropped = 0
  let busy = false
  let open = true
  const recordDropped = (lines: number) => {
    dropped += lines
    report.count(lines)
  }
  const shift = (): string => {
    const line = waiting[first++]
    waitingBytes -= Buffer.byteLength(line)
    if (first > 1024 && first * 2 > waiting.length) {
      waiting = waiting.slice(first)
      first = 0
    }
    return line
  }
  const takeBatch = (maxBytes: number): { text: string, lines: number } => {
    const batch: string[] = []
    if (dropped > 0) batch.push(report.format(dropped) + '\n')
    dropped = 0
    const noted = batch.length
    for (let bytes = 0; first < waiting.length && bytes < maxBytes;) {
      const line = shift()
      bytes += Buffer.byteLength(line)
      batch.push(line)
    }
    return { text: batch.join(''), lines: batch.length - noted }
  }
  const pump = () => {
    if (busy || !open || first === waiting.length) return
    busy = true
    const { text, lines } = takeBatch(maxBatchBytes)
    sink.write(text, (error) => {
      busy = false
      if (error !== null && error !== undefined) recordDropped(lines)
      if (closedCodes.has(error?.code ?? '')) open = false
      pump()
    })
  }
  return {
    write (line) {
      if (!open) return report.count(1)
      const text = line + '\n'
      waiting.push(text)
      waitingBytes += Buffer.byteLength(text)
      while (waitingBytes > maxWaitingBytes) {
        shift()
        recordDropped(1)
      }
      pump()
    },
    finish () {
      if (open && first < waiting.length) sink.writeLast(takeBatch(Infinity).text)
      open = false
    }
  }
}
