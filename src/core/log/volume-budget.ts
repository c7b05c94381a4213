import type { Volume } from './events.ts'

/** What is left of a volume that refills over a second. */
export interface VolumeBudget {
  lines: number
  bytes: number
  filledAt: number
}

/** Creates a full budget. */
export function createVolumeBudget ({ lines, bytes }: Volume, now: number): VolumeBudget {
  return { lines, bytes, filledAt: now }
}

/** Refills the budget for the time since it was last filled. Returns true when it allows another line. */
export function allowsLine (budget: VolumeBudget, volume: Volume, now: number): boolean {
  const share = Math.max(0, now - budget.filledAt) / 1000
  budget.filledAt = now
  budget.lines = Math.min(volume.lines, budget.lines + share * volume.lines)
  budget.bytes = Math.min(volume.bytes, budget.bytes + share * volume.bytes)
  return budget.lines >= 1 && budget.bytes > 0
}

/** Charges a written line. Its bytes may exceed what is left; the next lines then wait for the difference. */
export function chargeLine (budget: VolumeBudget, bytes: number): void {
  budget.lines--
  budget.bytes -= bytes
}
