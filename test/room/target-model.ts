import { createRandom } from '../../src/core/random/index.ts'
import { createTargetRoom, endRequest, startRequest } from '../../src/core/room/index.ts'
import type { TargetRequest, TargetRoom } from '../../src/core/room/index.ts'

/** Load on one target, and how it works. Functions get the time in ms. */
export interface Load {
  seed?: number
  slots: number
  /** Mean working time in ms at speed 1. */
  workMs: number
  /** Requests offered per ms. */
  rate: (now: number) => number
  speed?: (now: number) => number
  /** Factor on the working time of a request that starts while this fraction of the slots is in use. */
  slowdown?: (fraction: number) => number
  /** Factor on single requests, from a random number. */
  noise?: (random: number) => number
  /** Part of the requests that fail after a twentieth of their working time. */
  failing?: (now: number) => number
}

/** Runs a queue in front of a target for `untilMs` of virtual time. Calls `observe` every 100 ms. */
export function runTarget (load: Load, untilMs: number, observe: (room: TargetRoom, now: number) => void): TargetRoom {
  const random = createRandom(load.seed ?? 1)
  const exponential = (mean: number) => -mean * Math.log(1 - random.next())
  const room = createTargetRoom(load.slots, 0)
  const running: Array<{ endsAt: number, request: TargetRequest, fails: boolean }> = []
  let waiting = 0
  let arrivesAt = 0
  let observedAt = 0
  const startWaiting = (now: number) => {
    for (; waiting > 0 && running.length < load.slots; waiting--) {
      const request = startRequest(room, 'a', now)
      const factor = (load.slowdown?.((running.length + 1) / load.slots) ?? 1) * (load.noise?.(random.next()) ?? 1) / (load.speed?.(now) ?? 1)
      const fails = load.failing !== undefined && random.next() < load.failing(now)
      running.push({ request, fails, endsAt: now + load.workMs * factor * (0.5 + exponential(0.5)) / (fails ? 20 : 1) })
      running.sort((left, right) => left.endsAt - right.endsAt)
    }
  }
  while (true) {
    const now = Math.min(arrivesAt, running[0]?.endsAt ?? Infinity)
    for (; observedAt < Math.min(now, untilMs); observedAt += 100) observe(room, observedAt)
    if (now >= untilMs) return room
    if (now === arrivesAt) {
      waiting = Math.min(waiting + 1, load.slots)
      arrivesAt += exponential(1 / load.rate(now))
    } else {
      endRequest(room, running[0].request, running[0].fails ? 'failed' : 'good', now)
      running.shift()
    }
    startWaiting(now)
  }
}
