/** Age from which a report is ignored, in milliseconds. */
const maxAgeMs = 3000

interface ReportedFraction {
  fraction: number
  at: number
}

/** Admission fractions reported by the targets' nodes with their answers: by service and route, then by node. */
export type ReportedFractions = Map<string, Map<string, ReportedFraction>>

/** Creates an empty collection. */
export function createReportedFractions (): ReportedFractions {
  return new Map()
}

/** Records the admission fraction that a target's node reported for calls to `callee`. */
export function recordReportedFraction (known: ReportedFractions, callee: string, node: string, fraction: number, now: number): void {
  const nodes = known.get(callee) ?? new Map<string, ReportedFraction>()
  nodes.set(node, { fraction, at: now })
  known.set(callee, nodes)
}

/** Returns the mean of the fractions that a callee's nodes reported recently, or 1 when there is none. */
export function reportedFractionOf (known: ReportedFractions, callee: string, now: number): number {
  const nodes = known.get(callee)
  if (nodes === undefined) return 1
  let sum = 0
  let count = 0
  for (const [node, { fraction, at }] of nodes) {
    if (now - at > maxAgeMs) {
      nodes.delete(node)
      continue
    }
    sum += fraction
    count++
  }
  return count === 0 ? 1 : sum / count
}
