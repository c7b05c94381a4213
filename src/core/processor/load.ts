/** Time constant of the average utilization, in milliseconds. */
const smoothingMs = 300

/** Utilization up to which an event loop has time to spare for everybody, and counts as not loaded. */
const spareUtilization = 0.5

/** Lateness that counts as much as a whole loop, in milliseconds. */
const wholeLateMs = 1000

/** How busy an event loop has been lately. */
export interface LoopLoad {
  utilization: number
  busyMs: number
  at: number
}

/** Creates the load of a loop that has been busy for `busyMs` until now. That is not put down to what comes. */
export function createLoopLoad (busyMs: number, now: number): LoopLoad {
  return { utilization: 0, busyMs, at: now }
}

/** Takes over the time for which the loop has been busy by now. */
export function recordLoopUse (load: LoopLoad, busyMs: number, now: number): void {
  const elapsedMs = now - load.at
  if (elapsedMs <= 0) return
  const utilization = Math.min(1, (busyMs - load.busyMs) / elapsedMs)
  load.utilization += (1 - Math.exp(-elapsedMs / smoothingMs)) * (utilization - load.utilization)
  Object.assign(load, { busyMs, at: now })
}

/** Returns the load as others should reckon with it: 0 up to where there is time to spare, 1 when the loop is always busy, more when it is late. */
export function statedLoopLoad ({ utilization }: LoopLoad, latenessMs: number): number {
  const loaded = Math.max(0, utilization - spareUtilization) / (1 - spareUtilization)
  return loaded === 0 ? 0 : loaded + latenessMs / wholeLateMs
}
