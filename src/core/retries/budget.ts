/**
 * Extra attempts that one caller's request may still cause over its chain. The complete budget is reserved
 * by one attempt at a time; the unused part is released when the attempt ends.
 * Parallel outgoing calls therefore never consume the same extra attempt twice.
 */
export interface Budget {
  left: number
  /** Extra attempts consumed by this part of the chain. */
  used: number
}

/** Creates a budget of `extra` attempts. */
export function createBudget (extra: number): Budget {
  return { left: extra, used: 0 }
}

/** Reserves all extra attempts that are left, and returns their number. */
export function reserveBudget (budget: Budget): number {
  const reserved = budget.left
  budget.left = 0
  return reserved
}

/** Releases the unused part of a reservation. Without a report of its use, the whole reservation counts as used. */
export function releaseBudget (budget: Budget, reserved: number, used: number | undefined): void {
  const consumed = Math.min(reserved, Math.max(0, used ?? reserved))
  budget.left += reserved - consumed
  budget.used += consumed
}

/** Consumes one extra attempt. Returns false when none is left. */
export function consumeAttempt (budget: Budget): boolean {
  if (budget.left < 1) return false
  budget.left--
  budget.used++
  return true
}
