import { fstatSync, writeFile, writeSync } from 'node:fs'
import type { LineSink } from './line-writer.ts'

/** Writes text as far as the descriptor takes it at once. A slow or closed reader of a process that ends gets no more lines. */
function writeLast (descriptor: number, text: string): void {
  try {
    writeSync(descriptor, text)
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException
    if (code !== 'EAGAIN' && code !== 'EPIPE' && code !== 'ENOSPC') throw error
  }
}

/** Opens standard error as a sink. Its stream is asynchronous for pipes and sockets but synchronous for files, which are written by the thread pool. */
export function openStandardSink (): LineSink {
  const { fd } = process.stderr
  const kind = fstatSync(fd)
  if (!kind.isFIFO() && !kind.isSocket()) {
    return { write: (text, done) => writeFile(fd, text, done), writeLast: (text) => writeLast(fd, text) }
  }
  // Without a listener, a reader that closes its end would end the process. The callback of the write gets the same error.
  process.stderr.on('error', () => {})
  return { write: (text, done) => void process.stderr.write(text, done), writeLast: (text) => writeLast(fd, text) }
}
