import { closeSync, openSync, readFileSync, rmSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'

/** Returns the start time of a process in clock ticks since boot, or undefined when it does not exist. */
function processStartTime (pid: string): string | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
    return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19]
  } catch {
    return undefined
  }
}

/** Reads the owner from the lock file; undefined when there is none. After a power failure the file may exist without its content. */
function readOwner (path: string): { pid: string, started: string } | undefined {
  try {
    const match = /^(\d+) (\d+)$/.exec(readFileSync(path, 'utf8').trim())
    return match === null ? undefined : { pid: match[1], started: match[2] }
  } catch {
    return undefined
  }
}

/** Locks a data folder against use by a second process, and returns the function that releases it. A stale lock of an ended process is replaced. */
export function lockFolder (folder: string): Outcome<() => void> {
  const path = join(folder, 'lock')
  const owner = readOwner(path)
  if (owner !== undefined && processStartTime(owner.pid) === owner.started) return fail('dataFolderLocked', { folder, pid: owner.pid })
  rmSync(path, { force: true })
  try {
    const file = openSync(path, 'wx', 0o600)
    writeSync(file, `${process.pid} ${processStartTime(String(process.pid)) ?? ''}\n`)
    closeSync(file)
  } catch {
    return fail('dataFolderLocked', { folder, pid: readOwner(path)?.pid ?? 'unknown' })
  }
  return succeed(() => rmSync(path, { force: true }))
}
