/** Retries earned by each success. */
const earnedPerSuccess = 0.1

/** Most retries that one node saves up for a service when nothing bounds the fleet. */
const maxSaved = 10

/** Part of a fleet's allowance that is handed to its nodes; the rest is for nodes that come and go meanwhile. */
const allowancePart = 0.5

/** Retries that a service's calls may make, earned by successes. */
export interface RetryRatios {
  /** By service. */
  saved: Map<string, number>
  /** Most that is saved up. */
  cap: number
}

/** Creates ratios with a full allowance for every service. */
export function createRetryRatios (): RetryRatios {
  return { saved: new Map(), cap: maxSaved }
}

/** Divides the retries that a whole fleet may make beyond its ratio among its nodes. */
export function shareAllowance (ratios: RetryRatios, fleetAllowance: number, nodes: number): void {
  ratios.cap = Math.min(maxSaved, Math.max(1, fleetAllowance * allowancePart / Math.max(1, nodes)))
}

function savedFor ({ saved, cap }: RetryRatios, service: string): number {
  return Math.min(cap, saved.get(service) ?? cap)
}

/** A call succeeded. */
export function earnRetry (ratios: RetryRatios, service: string): void {
  ratios.saved.set(service, Math.min(ratios.cap, savedFor(ratios, service) + earnedPerSuccess))
}

/** Takes one retry, if the service's successes allow it. */
export function takeRetry (ratios: RetryRatios, service: string): boolean {
  const saved = savedFor(ratios, service)
  if (saved < 1) return false
  ratios.saved.set(service, saved - 1)
  return true
}
