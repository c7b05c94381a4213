import { droppedEvent } from '../log/index.ts'
import { parseLine } from './parse.ts'
import type { LogEntry, SkipReason } from './parse.ts'

/** Lines of requests without an id of their caller that are kept, since a later line may connect their chain with the id. */
const maxKeptLines = 100_000

/** Reports of dropped lines that are kept. */
const maxDropReports = 20_000

/** What the logs say about one request id. */
export interface Findings {
  id: string
  /** Lines about the request, in the order in which they were read. */
  entries: LogEntry[]
  /** Reports of dropped lines, of any request. */
  drops: LogEntry[]
  linesRead: number
  skipped: Map<SkipReason, number>
  /** Lines that could not be kept and may have belonged to the request. */
  forgotten: number
  /** Reports of dropped lines that could not be kept. */
  forgottenDrops: number
}

/** Reads lines of logs and collects those about one request. */
export interface Collector {
  add: (line: string, source: string) => void
  findings: () => Findings
}

/**
 * Creates the collector of one request. Lines belong to it when they have its id, or a chain that a line with its id has. Calls that
 * a target makes have the chain as their id unless the target passes the id on, so that lines of that form are kept for a while.
 */
export function createCollector (id: string): Collector {
  const chains = new Set<string>()
  const entries: LogEntry[] = []
  const drops: LogEntry[] = []
  const skipped = new Map<SkipReason, number>()
  /** Lines of the form described above, by chain, oldest first. */
  const kept = new Map<string, LogEntry[]>()
  let keptLines = 0
  let linesRead = 0
  let forgotten = 0
  let forgottenDrops = 0
  const takeKept = (chain: string) => {
    const lines = kept.get(chain) ?? []
    kept.delete(chain)
    keptLines -= lines.length
    return lines
  }
  const keep = (chain: string, entry: LogEntry) => {
    const lines = kept.get(chain) ?? []
    kept.set(chain, lines)
    lines.push(entry)
    keptLines++
    const [oldest] = kept.keys()
    if (keptLines > maxKeptLines) forgotten += takeKept(oldest).length
  }
  const collect = (entry: LogEntry) => {
    const { chain } = entry
    if (chain !== undefined && !chains.has(chain)) {
      chains.add(chain)
      entries.push(...takeKept(chain))
    }
    entries.push(entry)
  }
  const isOfRequest = (entry: LogEntry) => [entry.id, entry.chain, entry.attempt].includes(id) || (entry.chain !== undefined && chains.has(entry.chain))
  return {
    add (line, source) {
      if (line.trim() === '') return
      linesRead++
      const entry = parseLine(line, source)
      if (typeof entry === 'string') return void skipped.set(entry, (skipped.get(entry) ?? 0) + 1)
      if (entry.event === droppedEvent) {
        if (drops.length < maxDropReports) drops.push(entry)
        else forgottenDrops++
        return
      }
      if (isOfRequest(entry)) collect(entry)
      else if (entry.chain !== undefined && entry.id === entry.chain) keep(entry.chain, entry)
    },
    findings: () => ({ id, entries, drops, linesRead, skipped, forgotten, forgottenDrops })
  }
}
