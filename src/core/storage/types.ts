/** File operations used by storage. Tests pass an implementation that injects faults. */
export interface Disk {
  /** Creates a folder and its parents. */
  makeFolder: (path: string) => void
  /** Returns the full content of a file, or undefined when it does not exist. */
  read: (path: string) => Uint8Array | undefined
  /** Appends to a file and syncs it. Throws when either fails. */
  append: (path: string, content: Uint8Array) => void
  /** Replaces a file atomically: writes a temporary file next to it, syncs it, renames it and syncs the folder. */
  replace: (path: string, content: Uint8Array) => void
  /** Shortens a file to `size` bytes and syncs it. */
  truncate: (path: string, size: number) => void
}
