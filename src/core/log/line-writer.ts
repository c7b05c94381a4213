import { fstatSync, writeSync } from 'node:fs'
import { Socket } from 'node:net'

/** Characters that may wait for a slow reader; further lines are dropped and counted. */
const maxWaiting = 256 * 1024

/** Where lines go. */
export interface LineSink {
  /** Writes text and calls `done` once more may be written, or with an error when nothing will be read any more. */
  write: (text: string, done: (error?: Error | null) => void) => void
  /** Writes text before the process ends, as far as that goes at once. */
  writeLast: (text: string) => void
}

/** Writes lines without ever waiting for their reader. */
export interface LineWriter {
  write: (line: string) => void
  /** Writes what is left before the process ends. */
  finish: () => void
}

/** Creates a writer. Dropped lines are counted in a line of their own once there is room again. */
export function createLineWriter (sink: LineSink): LineWriter {
  let waiting: string[] = []
  let waitingLength = 0
  let dropped = 0
  let busy = false
  let open = true
  const take = (): string => {
    const text = waiting.join('')
    waiting = []
    waitingLength = 0
    return text
  }
  const pump = () => {
    if (busy || !open || waiting.length === 0) return
    busy = true
    sink.write(take(), (error) => {
      busy = false
      if (error !== null && error !== undefined) open = false
      pump()
    })
  }
  const push = (line: string) => {
    waiting.push(line + '\n')
    waitingLength += line.length + 1
  }
  return {
    write (line) {
      if (!open) return
      if (waitingLength + line.length > maxWaiting) {
        dropped++
        return
      }
      if (dropped > 0) push(JSON.stringify({ time: new Date().toISOString(), level: 'warn', message: 'log lines dropped, as their reader is slow', details: { dropped } }))
      dropped = 0
      push(line)
      pump()
    },
    finish () {
      if (open && waiting.length > 0) sink.writeLast(take())
      open = false
    }
  }
}

/** A sink to a pipe or socket that never blocks; files are written directly. */
export function openSink (descriptor: number): LineSink {
  const writeLast = (text: string) => {
    try {
      writeSync(descriptor, text)
    } catch {
      // The reader is slow or gone, and the process ends: nobody is left to be told.
    }
  }
  const kind = fstatSync(descriptor)
  if (!kind.isFIFO() && !kind.isSocket()) {
    return {
      writeLast,
      write (text, done) {
        writeLast(text)
        done()
      }
    }
  }
  const socket = new Socket({ fd: descriptor, readable: false, writable: true })
  socket.on('error', () => {})
  socket.unref()
  return { writeLast, write: (text, done) => void socket.write(text, done) }
}
