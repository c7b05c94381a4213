import { join } from 'node:path'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import type { EffectStore, Entry, HardState, Snapshot, Stored } from '../consensus/index.ts'
import { decodeRecords, encodeRecord } from './records.ts'
import type { Disk } from './types.ts'

type LogRecord =
  | { type: 'hard-state', hardState: HardState }
  | { type: 'entry', entry: Entry }

/**
 * Durable state of one control instance. Every method returns after the data is synced, or throws. After it threw, the same write is
 * to be repeated before any other; what it left behind is removed first.
 */
export type LogStore = EffectStore

/** An open log store with the data that it held. */
export interface OpenedStore {
  store: LogStore
  stored: Stored
  /** Whether the folder held no data. */
  fresh: boolean
}

function readRecords (disk: Disk, path: string): Outcome<{ records: unknown[], torn: boolean, intactBytes: number, exists: boolean }> {
  const content = disk.read(path)
  if (content === undefined) return succeed({ records: [], torn: false, intactBytes: 0, exists: false })
  const decoded = decodeRecords(path, content)
  if (!decoded.ok) return decoded
  const { records, intactBytes } = decoded.value
  return succeed({ records, torn: intactBytes < content.length, intactBytes, exists: true })
}

/**
 * Replays a log onto its snapshot. Power may have failed between the two files, so that the log still holds what the snapshot replaced: entries of a
 * term before that of the snapshot can't follow it, since what it holds is committed.
 */
function replay (file: string, records: readonly LogRecord[], snapshot: Snapshot): Outcome<Stored> {
  let hardState: HardState = { term: 0, votedFor: null }
  const entries: Entry[] = []
  for (const record of records) {
    if (record.type === 'hard-state') {
      hardState = record.hardState
      continue
    }
    const position = record.entry.index - snapshot.index - 1
    if (position > entries.length) {
      return fail('corruptData', { file, offset: 0, reason: `entry ${record.entry.index} follows a gap` })
    }
    // An entry that the snapshot covers replaces those after it, too.
    entries.length = Math.max(0, position)
    if (position >= 0) entries.push(record.entry)
  }
  const follow = entries.length > 0 && entries[0].term >= snapshot.term
  return succeed({ hardState, snapshot, entries: follow ? entries : [] })
}

/** Reads the snapshot of a folder; undefined where there is none. A file that does not hold exactly one whole snapshot is a failure. */
function readSnapshot (disk: Disk, path: string): Outcome<Snapshot | undefined> {
  const read = readRecords(disk, path)
  if (!read.ok) return read
  const { records, torn, intactBytes, exists } = read.value
  if (!exists) return succeed(undefined)
  if (torn || records.length !== 1) return fail('corruptData', { file: path, offset: intactBytes, reason: 'the file does not hold one whole snapshot' })
  return succeed(records[0] as Snapshot)
}

const emptyContent = new Uint8Array(0)

function encodeLog (hardState: HardState | undefined, entries: readonly Entry[]): Buffer {
  const records: Buffer[] = []
  if (hardState !== undefined) records.push(encodeRecord({ type: 'hard-state', hardState } satisfies LogRecord))
  for (const entry of entries) records.push(encodeRecord({ type: 'entry', entry } satisfies LogRecord))
  return Buffer.concat(records)
}

/** Opens the log and the snapshot in a folder, and syncs what an earlier process wrote. A torn tail of the log is removed; any other damage is a failure. */
export function openLogStore (disk: Disk, folder: string, initial: Snapshot): Outcome<OpenedStore> {
  const logPath = join(folder, 'log')
  const snapshotPath = join(folder, 'snapshot')
  disk.makeFolder(folder)
  const read = readSnapshot(disk, snapshotPath)
  if (!read.ok) return read
  const snapshot = read.value
  const log = readRecords(disk, logPath)
  if (!log.ok) return log
  const stored = replay(logPath, log.value.records as LogRecord[], snapshot ?? initial)
  if (!stored.ok) return stored
  // A process that was killed may have written the end of the log and not synced it. It must not count as durable before it is.
  if (log.value.torn) disk.truncate(logPath, log.value.intactBytes)
  else if (log.value.exists) disk.append(logPath, emptyContent)
  const fresh = snapshot === undefined && log.value.records.length === 0
  let syncedBytes = log.value.intactBytes
  /** A write failed: the log may end with a part of it, or with all of it unsynced. */
  let isTailUncertain = false
  const store: LogStore = {
    save (hardState, entries) {
      const encoded = encodeLog(hardState, entries)
      if (isTailUncertain) disk.truncate(logPath, syncedBytes)
      isTailUncertain = true
      disk.append(logPath, encoded)
      isTailUncertain = false
      syncedBytes += encoded.length
    },
    saveSnapshot (next, hardState, entries) {
      const encoded = encodeLog(hardState, entries)
      disk.replace(snapshotPath, encodeRecord(next))
      disk.replace(logPath, encoded)
      isTailUncertain = false
      syncedBytes = encoded.length
    }
  }
  return succeed({ store, stored: stored.value, fresh })
}
