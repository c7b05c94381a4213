/** A virtual clock that runs scheduled actions in the order of their times. */
export interface Timeline {
  now: () => number
  at: (time: number, action: () => void) => void
  after: (ms: number, action: () => void) => void
  /** Runs every action that is due up to and including `time`. */
  runUntil: (time: number) => void
}

interface ScheduledAction {
  time: number
  /** Sequence number, which keeps actions of equal time in the order of their scheduling. */
  order: number
  action: () => void
}

function isBefore (left: ScheduledAction, right: ScheduledAction): boolean {
  return left.time < right.time || (left.time === right.time && left.order < right.order)
}

/** Creates a virtual clock that starts at 0. */
export function createTimeline (): Timeline {
  const heap: ScheduledAction[] = []
  let now = 0
  let order = 0
  const push = (scheduled: ScheduledAction) => {
    let index = heap.push(scheduled) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isBefore(heap[parent], scheduled)) break
      heap[index] = heap[parent]
      index = parent
    }
    heap[index] = scheduled
  }
  const pop = (): ScheduledAction => {
    const first = heap[0]
    const last = heap.pop() as ScheduledAction
    if (heap.length === 0) return first
    let index = 0
    while (true) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child++
      if (isBefore(last, heap[child])) break
      heap[index] = heap[child]
      index = child
    }
    heap[index] = last
    return first
  }
  return {
    now: () => now,
    at: (time, action) => push({ time: Math.max(now, time), order: order++, action }),
    after: (ms, action) => push({ time: now + Math.max(0, ms), order: order++, action }),
    runUntil (time) {
      while (heap.length > 0 && heap[0].time <= time) {
        const scheduled = pop()
        now = scheduled.time
        scheduled.action()
      }
      now = time
    }
  }
}
