import type { QueuedRequest } from './queue.ts'

/** Calls of requests that run elsewhere, and requests that have not begun anywhere. Refusing the former wastes the work that was done for them. */
export type Group = 'in-progress' | 'new'

/** Returns the priority of the caller's request to which a waiting request belongs, from 0. */
export function rankOf ({ rank, priority }: QueuedRequest): number {
  return rank ?? Math.max(0, priority)
}

/** Returns the group of a waiting request. */
export function groupOf ({ inProgress, priority }: QueuedRequest): Group {
  return inProgress ?? priority < 0 ? 'in-progress' : 'new'
}
