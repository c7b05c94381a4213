import type { Disk } from '../../src/core/storage/index.ts'

interface MemoryFile {
  synced: Uint8Array
  unsynced: Uint8Array
}

/** Faults that a test can enable. */
export interface DiskFaults {
  /** Appends fail after writing this many bytes. */
  failAfterBytes?: number
  /** Appends return before the data is synced. */
  skipSync?: boolean
}

/** A simulated disk. A crash loses unsynced bytes except for a prefix, as in a torn write. */
export interface MemoryDisk extends Disk {
  faults: DiskFaults
  /** Crashes the disk. `keptFraction` in [0, 1] is the fraction of each file's unsynced bytes that is kept. */
  crash: (keptFraction: number) => void
  /** Deletes all files. */
  wipe: () => void
  /** Returns the synced content of a file. */
  contents: (path: string) => Uint8Array | undefined
  /** Replaces the content of a file, also when writes are set to fail. */
  overwrite: (path: string, content: Uint8Array) => void
}

const emptyContent = new Uint8Array(0)

/** Creates an empty disk. */
export function createMemoryDisk (): MemoryDisk {
  const files = new Map<string, MemoryFile>()
  const contentOf = (file: MemoryFile) => Buffer.concat([file.synced, file.unsynced])
  const disk: MemoryDisk = {
    faults: {},
    makeFolder () {},
    read (path) {
      const file = files.get(path)
      return file && contentOf(file)
    },
    append (path, content) {
      const file = files.get(path) ?? { synced: emptyContent, unsynced: emptyContent }
      files.set(path, file)
      const { failAfterBytes, skipSync } = disk.faults
      if (failAfterBytes !== undefined) {
        file.unsynced = Buffer.concat([file.unsynced, content.subarray(0, failAfterBytes)])
        throw new Error('ENOSPC: no space left on device')
      }
      if (skipSync === true) {
        file.unsynced = Buffer.concat([file.unsynced, content])
        return
      }
      file.synced = Buffer.concat([contentOf(file), content])
      file.unsynced = emptyContent
    },
    replace (path, content) {
      if (disk.faults.failAfterBytes !== undefined) throw new Error('ENOSPC: no space left on device')
      files.set(path, { synced: content, unsynced: emptyContent })
    },
    truncate (path, size) {
      const file = files.get(path)
      if (file !== undefined) files.set(path, { synced: contentOf(file).subarray(0, size), unsynced: emptyContent })
    },
    crash (keptFraction) {
      for (const file of files.values()) {
        file.synced = Buffer.concat([file.synced, file.unsynced.subarray(0, Math.floor(file.unsynced.length * keptFraction))])
        file.unsynced = emptyContent
      }
    },
    wipe: () => files.clear(),
    contents: (path) => files.get(path)?.synced,
    overwrite: (path, content) => void files.set(path, { synced: content, unsynced: emptyContent })
  }
  return disk
}
