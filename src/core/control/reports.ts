/** Report of a node about the configuration that it applies. */
export interface NodeReport {
  node: string
  domain: string
  revision: number
  /** Age of the node's newest beacon, in ms; -1 when it has none. */
  beaconAgeMs: number
}

/** Configuration in force in one failure domain. */
export interface DomainState {
  /** Lowest revision that a node of the domain applies. */
  revision: number
  /** Greatest age of a node's newest beacon in the domain, in ms. */
  beaconAgeMs: number
  /** Age of the oldest report behind these values, in ms. */
  reportAgeMs: number
}

/** The newest report of each node, kept by the leader. */
export interface NodeReports {
  record: (report: NodeReport, now: number) => void
  /** Returns the state of a domain from the reports of its live nodes, or undefined if none of them has reported. */
  describeDomain: (nodes: readonly string[], now: number) => DomainState | undefined
}

/** Creates an empty collection of reports. */
export function createNodeReports (): NodeReports {
  const newestByNode = new Map<string, { report: NodeReport, at: number }>()
  return {
    record: (report, now) => void newestByNode.set(report.node, { report, at: now }),
    describeDomain (nodes, now) {
      let state: DomainState | undefined
      for (const node of nodes) {
        const latest = newestByNode.get(node)
        if (latest === undefined) continue
        const { report, at } = latest
        state = {
          revision: Math.min(state?.revision ?? Infinity, report.revision),
          beaconAgeMs: Math.max(state?.beaconAgeMs ?? 0, report.beaconAgeMs),
          reportAgeMs: Math.round(Math.max(state?.reportAgeMs ?? 0, now - at))
        }
      }
      return state
    }
  }
}
