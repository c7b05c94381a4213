import { closeSync, existsSync, fdatasyncSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readFileSync, renameSync, writeSync } from 'node:fs'
import { dirname } from 'node:path'
import type { Disk } from './types.ts'

function writeAll (file: number, content: Uint8Array): void {
  let offset = 0
  while (offset < content.length) offset += writeSync(file, content, offset)
}

function syncFolder (path: string): void {
  const folder = openSync(path, 'r')
  fsyncSync(folder)
  closeSync(folder)
}

function withFile (path: string, flags: string, callback: (file: number) => void): void {
  const file = openSync(path, flags, 0o600)
  try {
    callback(file)
  } finally {
    closeSync(file)
  }
}

/** Creates a disk on the file system of the machine. Files opened for appending stay open. */
export function createDisk (): Disk {
  const appenders = new Map<string, number>()
  const openAppender = (path: string): number => {
    const opened = appenders.get(path)
    if (opened !== undefined) return opened
    const created = !existsSync(path)
    const file = openSync(path, 'a', 0o600)
    if (created) syncFolder(dirname(path))
    appenders.set(path, file)
    return file
  }
  const closeAppender = (path: string) => {
    const file = appenders.get(path)
    if (file !== undefined) closeSync(file)
    appenders.delete(path)
  }
  return {
    makeFolder: (path) => void mkdirSync(path, { recursive: true, mode: 0o700 }),
    read: (path) => existsSync(path) ? readFileSync(path) : undefined,
    append (path, content) {
      const file = openAppender(path)
      writeAll(file, content)
      fdatasyncSync(file)
    },
    replace (path, content) {
      const partial = `${path}.partial`
      withFile(partial, 'w', (file) => {
        writeAll(file, content)
        fsyncSync(file)
      })
      closeAppender(path)
      renameSync(partial, path)
      syncFolder(dirname(path))
    },
    truncate (path, size) {
      closeAppender(path)
      withFile(path, 'r+', (file) => {
        ftruncateSync(file, size)
        fsyncSync(file)
      })
    }
  }
}
