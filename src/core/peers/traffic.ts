import type { Metrics } from '../metrics/index.ts'

/** Counts the bytes that this process sends to other processes. */
export interface Traffic {
  /** Records `bytes` of message content of one kind, sent to host:port. */
  record: (address: string, kind: string, bytes: number) => void
  /** Records the failure domain of the process at host:port. */
  locate: (address: string, domain: string) => void
}

/** Names of the two counters of one kind of message. */
interface CounterNames {
  own: string
  other: string
}

function hostOf (address: string): string {
  const colon = address.lastIndexOf(':')
  return colon < 0 ? address : address.slice(0, colon)
}

/**
 * Creates the counters of a process in `ownDomain`. Bytes to a host whose failure domain is not known yet count as sent
 * to another one, because that is the expensive case.
 */
export function createTraffic (ownDomain: string, metrics: Metrics): Traffic {
  const ownHosts = new Set<string>()
  const names = new Map<string, CounterNames>()
  const namesOf = (kind: string): CounterNames => {
    const known = names.get(kind)
    if (known !== undefined) return known
    const created = { own: `sent_bytes_total{kind="${kind}",domain="own"}`, other: `sent_bytes_total{kind="${kind}",domain="other"}` }
    names.set(kind, created)
    return created
  }
  return {
    record (address, kind, bytes) {
      const { own, other } = namesOf(kind)
      metrics.count(ownHosts.has(hostOf(address)) ? own : other, bytes)
    },
    locate (address, domain) {
      if (domain === ownDomain) ownHosts.add(hostOf(address))
      else ownHosts.delete(hostOf(address))
    }
  }
}
