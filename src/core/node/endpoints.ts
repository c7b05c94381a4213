import type { Member } from '../membership/index.ts'
import type { Candidate, KnownStop, KnownStops } from '../routing/index.ts'

/** Time by which the estimated ends of stops that began together may differ, in milliseconds. */
const stopSpreadMs = 500

/** A target with the address of its node. */
export interface Endpoint extends Candidate {
  address: string
  /** End of the time in which the target gets calls, if its node stops or it leaves. */
  stop?: KnownStop
}

/** Endpoints of one service. */
export interface ServiceEndpoints {
  /** Those that are up, else those whose node is suspected. */
  staying: readonly Endpoint[]
  /** Those whose target or node leaves, else such whose node is suspected. */
  leaving: readonly Endpoint[]
}

/** What one call has tried so far. */
export interface TriedEndpoints {
  tried: ReadonlySet<string>
  /** Nodes whose targets have refused the call. */
  refusedBy: ReadonlySet<string>
  deadlineAt: number
}

const noEndpoints: ServiceEndpoints = { staying: [], leaving: [] }

/** Returns the endpoints of each service. */
export function endpointsByService (members: readonly Member[], stops: Pick<KnownStops, 'of'>): Map<string, ServiceEndpoints> {
  const select = (isWanted: (member: Member) => boolean) => selectEndpoints(members, stops, isWanted)
  const healthy = select(({ target, status }) => target?.state === 'up' && status === 'alive')
  const suspected = select(({ target, status }) => target?.state === 'up' && status !== 'alive')
  const leaving = select(({ target, status }) => target?.state === 'leaving' && status === 'alive')
  const lost = select(({ target, status }) => target?.state === 'leaving' && status !== 'alive')
  const services = new Set([...healthy.keys(), ...suspected.keys(), ...leaving.keys(), ...lost.keys()])
  return new Map([...services].map((service) => [service, {
    staying: healthy.get(service) ?? suspected.get(service) ?? [],
    leaving: leaving.get(service) ?? lost.get(service) ?? []
  }]))
}

function selectEndpoints (members: readonly Member[], stops: Pick<KnownStops, 'of'>, isWanted: (member: Member) => boolean): Map<string, Endpoint[]> {
  const endpoints = new Map<string, Endpoint[]>()
  for (const member of members) {
    const { id, boot, domain, address, target } = member
    if (target === undefined || !isWanted(member)) continue
    const known = endpoints.get(target.service) ?? []
    known.push({ node: id, domain, slots: target.slots, address, stop: stops.of(boot) })
    endpoints.set(target.service, known)
  }
  return endpoints
}

function stopEndOf ({ stop }: Endpoint): number {
  return stop?.endsAt ?? Infinity
}

/** Returns the endpoints whose nodes stop after the deadline, else those that stop last. */
function lastingEndpoints (endpoints: readonly Endpoint[], deadlineAt: number): readonly Endpoint[] {
  const lasting = endpoints.filter((endpoint) => stopEndOf(endpoint) >= deadlineAt)
  if (lasting.length > 0) return lasting
  const lastEndsAt = Math.max(...endpoints.map(stopEndOf))
  return endpoints.filter((endpoint) => stopEndOf(endpoint) >= lastEndsAt - stopSpreadMs)
}

/** Returns the leaving endpoints that may get a call. Where others stay, these are only those that are known to take calls until after the deadline. */
function usableLeaving ({ staying, leaving }: ServiceEndpoints, deadlineAt: number): readonly Endpoint[] {
  if (staying.length === 0) return leaving
  return leaving.filter(({ stop }) => stop !== undefined && stop.endsAt >= deadlineAt)
}

/** Returns the number of endpoints that a call with this deadline may try. */
export function countEndpoints (endpoints: ServiceEndpoints = noEndpoints, deadlineAt: number): number {
  return endpoints.staying.length + usableLeaving(endpoints, deadlineAt).length
}

/**
 * Returns the endpoints that may get the call next: those that stay and have not been tried, then those that leave and still have time for it, else those
 * whose targets have not refused it. What a target answers to a second sending could be its first refusal, repeated.
 */
export function nextEndpoints (endpoints: ServiceEndpoints = noEndpoints, { tried, refusedBy, deadlineAt }: TriedEndpoints): readonly Endpoint[] {
  const isUntried = ({ node }: Endpoint) => !tried.has(node)
  const staying = endpoints.staying.filter(isUntried)
  if (staying.length > 0) return staying
  const usable = usableLeaving(endpoints, deadlineAt)
  const leaving = usable.filter(isUntried)
  if (leaving.length > 0) return lastingEndpoints(leaving, deadlineAt)
  return [...endpoints.staying, ...usable].filter(({ node }) => !refusedBy.has(node))
}
