import { demandShiftRatio, demandWindowMs, minDemand, slowDemandWindowMs, tokenTtlMs } from './constants.ts'
import type { Demand, Grant, Share } from './types.ts'

interface Bucket {
  generation: string
  sequence: number
  rate: number
  burst: number
  tokens: number
  tokensAt: number
  expiresAt: number
  /** Exponentially decayed count of arrivals. */
  arrivals: number
  /** Count of arrivals that decays more slowly. */
  slowArrivals: number
  arrivalsAt: number
  waiting: number
}

/** Token buckets of one node, by workspace. */
export type Buckets = Map<string, Bucket>

/** Creates a node's buckets. A new or restarted node holds no rate share. */
export function createBuckets (): Buckets {
  return new Map()
}

function bucketOf (buckets: Buckets, workspace: string, now: number): Bucket {
  const known = buckets.get(workspace)
  if (known !== undefined) return known
  const created: Bucket = {
    generation: '', sequence: 0, rate: 0, burst: 0, tokens: 0, tokensAt: now, expiresAt: -Infinity, arrivals: 0, slowArrivals: 0, arrivalsAt: now, waiting: 0
  }
  buckets.set(workspace, created)
  return created
}

function refill (bucket: Bucket, now: number): void {
  if (now >= bucket.expiresAt) {
    bucket.rate = 0
    bucket.burst = 0
    bucket.tokens = 0
  }
  const refilled = bucket.rate * Math.max(0, now - bucket.tokensAt) / 1000
  bucket.tokens = Math.min(bucket.burst, bucket.tokens + refilled)
  bucket.tokensAt = now
}

function decay (bucket: Bucket, now: number): void {
  const elapsedMs = Math.max(0, now - bucket.arrivalsAt)
  bucket.arrivals *= Math.exp(-elapsedMs / demandWindowMs)
  bucket.slowArrivals *= Math.exp(-elapsedMs / slowDemandWindowMs)
  bucket.arrivalsAt = now
}

/** Returns what the node may still admit of a workspace. */
export function shareOfBucket (buckets: Buckets, workspace: string, now: number): Share {
  const bucket = bucketOf(buckets, workspace, now)
  refill(bucket, now)
  return { share: bucket.rate, left: Math.floor(bucket.tokens) }
}

/** Counts an arrival and takes a token for it. Without a token, the request counts as waiting until `removeWaitingRequest` or a grant. */
export function takeToken (buckets: Buckets, workspace: string, now: number): boolean {
  const bucket = bucketOf(buckets, workspace, now)
  decay(bucket, now)
  bucket.arrivals++
  bucket.slowArrivals++
  refill(bucket, now)
  if (bucket.waiting === 0 && bucket.tokens >= 1) {
    bucket.tokens--
    return true
  }
  bucket.waiting++
  return false
}

/** Takes tokens for waiting requests as the bucket fills. Returns how many of them are admitted, oldest first. */
export function takeTokensForWaiting (buckets: Buckets, workspace: string, now: number): number {
  const bucket = bucketOf(buckets, workspace, now)
  refill(bucket, now)
  const admittedCount = Math.min(bucket.waiting, Math.floor(bucket.tokens))
  bucket.tokens -= admittedCount
  bucket.waiting -= admittedCount
  return admittedCount
}

/** Removes a waiting request that timed out or was refused. */
export function removeWaitingRequest (buckets: Buckets, workspace: string, now: number): void {
  const bucket = bucketOf(buckets, workspace, now)
  bucket.waiting = Math.max(0, bucket.waiting - 1)
}

/**
 * Accepts a grant. Its lease starts at the time at which the report was sent. Moved tokens that arrive too late are
 * dropped. The others go to waiting requests first; the remainder is capped by the bucket. Returns how many waiting
 * requests are admitted.
 */
export function acceptGrant (buckets: Buckets, grant: Grant, sentAt: number, now: number): number {
  const bucket = bucketOf(buckets, grant.workspace, now)
  refill(bucket, now)
  const isStale = grant.generation === bucket.generation && grant.sequence <= bucket.sequence
  if (isStale || sentAt + grant.leaseMs <= now) return 0
  bucket.generation = grant.generation
  bucket.sequence = grant.sequence
  bucket.rate = grant.rate
  bucket.burst = grant.burst
  bucket.expiresAt = sentAt + grant.leaseMs
  const movedTokens = now - sentAt <= tokenTtlMs ? grant.tokens : 0
  const available = Math.min(bucket.tokens, bucket.burst) + movedTokens
  const admittedCount = Math.min(bucket.waiting, Math.floor(available))
  bucket.waiting -= admittedCount
  bucket.tokens = Math.min(bucket.burst, available - admittedCount)
  return admittedCount
}

/** Returns the slow estimate while both agree, because it varies less, and the fast one after demand has shifted. */
function estimateDemand (bucket: Bucket): number {
  const fast = bucket.arrivals * 1000 / demandWindowMs
  const slow = bucket.slowArrivals * 1000 / slowDemandWindowMs
  const hasShifted = fast > slow * demandShiftRatio || slow > fast * demandShiftRatio
  return hasShifted ? fast : slow
}

/** Returns the demands to report. Removes buckets without demand and rate share. */
export function collectDemands (buckets: Buckets, now: number): Demand[] {
  const demands: Demand[] = []
  for (const [workspace, bucket] of buckets) {
    decay(bucket, now)
    refill(bucket, now)
    const rate = estimateDemand(bucket)
    const hasLease = now < bucket.expiresAt
    if (bucket.slowArrivals * 1000 / slowDemandWindowMs < minDemand && bucket.waiting === 0 && bucket.rate === 0) {
      buckets.delete(workspace)
      continue
    }
    const held = { generation: bucket.generation, sequence: bucket.sequence, rate: bucket.rate, burst: bucket.burst }
    demands.push({ workspace, rate, waiting: bucket.waiting, held: hasLease ? held : undefined })
  }
  return demands
}
