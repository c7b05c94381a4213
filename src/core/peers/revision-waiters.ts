/** Somebody who waits until a revision is in force. */
interface Waiter {
  revision: number
  settle: (isHere: boolean) => void
}

/** Those who wait until revisions are in force at this process. */
export interface RevisionWaiters {
  /** Resolves with true once `revision` is in force, or with false after `timeoutMs`. */
  wait: (revision: number, timeoutMs: number) => Promise<boolean>
  /** Records that `revision` is in force. */
  reach: (revision: number) => void
  /** Ends all waits. */
  close: () => void
}

/** Creates an empty set of waiters. */
export function createRevisionWaiters (): RevisionWaiters {
  const waiters = new Set<Waiter>()
  return {
    wait: (revision, timeoutMs) => new Promise((resolve) => {
      const waiter: Waiter = {
        revision,
        settle (isHere) {
          clearTimeout(timer)
          waiters.delete(waiter)
          resolve(isHere)
        }
      }
      const timer = setTimeout(() => waiter.settle(false), timeoutMs)
      waiters.add(waiter)
    }),
    reach (revision) {
      for (const waiter of waiters) if (waiter.revision <= revision) waiter.settle(true)
    },
    close () {
      for (const waiter of waiters) waiter.settle(false)
    }
  }
}
