/** Time constant with which the samples of a target's failures lose weight, in milliseconds. */
const failureDecayMs = 1000

/** Fewest and most samples by which a fraction of failures is averaged: with fewer, one failure would be half of all; with more, a change shows late. */
const fewestSamples = 3
const mostSamples = 25

/** Fraction of failures that changes nothing, and what chance adds to it, in samples. */
const toleratedFraction = 0.05
const chanceSamples = 0.85

/** Requests that a caller's request typically makes of one service: its success needs that all of them succeed. */
const callsOfRequest = 8

/** Part of its calls below which a target counts as failing and gets probes only. */
const failingPart = 0.05

/** Time between two probes of a failing target by one node, and the one after a probe that showed fewer failures, in milliseconds. */
const probeIntervalMs = 1000
const recoveringProbeIntervalMs = 250

/** Fall of the fraction of failures from which a target counts as recovering. */
const recoveringFall = 0.05

/** Time after which a fraction without new samples, or a statement of it, is no longer used, in milliseconds. */
const fractionLifeMs = 3000

/** Fraction of a target's requests that fail by its own fault, averaged over a short time. */
export interface FailureFraction {
  value: number
  /** Samples that it is the mean of. They lose weight with their age. */
  samples: number
  at: number
}

/** Creates the fraction of a target that has not answered yet. */
export function createFailureFraction (): FailureFraction {
  return { value: 0, samples: 0, at: -Infinity }
}

/** Records how a request at the target ended. */
export function recordRequestEnd (fraction: FailureFraction, hasFailed: boolean, now: number): void {
  if (now - fraction.at > fractionLifeMs) Object.assign(fraction, createFailureFraction())
  const kept = fraction.samples * Math.exp(-(now - fraction.at) / failureDecayMs)
  fraction.samples = Math.min(mostSamples, kept + 1)
  fraction.at = now
  fraction.value += ((hasFailed ? 1 : 0) - fraction.value) / Math.max(fewestSamples, fraction.samples)
}

/** Returns the fraction beyond what is tolerated and what so few samples show by chance, 0 to 1. */
export function significantFraction ({ value, samples, at }: FailureFraction, now: number): number {
  if (now - at > fractionLifeMs) return 0
  return Math.max(0, value - toleratedFraction - chanceSamples / Math.max(fewestSamples, samples))
}

/** What a node knows of the failures of a target, and when it last sent a probe. */
export interface StatedFailures {
  fraction: number
  statedAt: number
  /** True when the last statement was clearly better than the one before. */
  isRecovering: boolean
  probedAt: number
}

/** Creates an empty record. */
export function createStatedFailures (): StatedFailures {
  return { fraction: 0, statedAt: -Infinity, isRecovering: false, probedAt: -Infinity }
}

/** Records the fraction of failures that the target's node stated; undefined states that there is none. */
export function recordStatedFailures (failures: StatedFailures, fraction: number | undefined, now: number): void {
  if (failures.fraction === 0) failures.probedAt = now
  const stated = fraction === undefined ? 0 : Math.max(0, Math.min(1, fraction))
  failures.isRecovering = stated < failures.fraction - recoveringFall
  failures.fraction = stated
  failures.statedAt = now
}

/** Returns the fraction of failures that counts now. */
export function statedFractionOf ({ fraction, statedAt }: StatedFailures, now: number): number {
  return now - statedAt <= fractionLifeMs ? fraction : 0
}

/** Returns the fraction of failures that targets with half of the slots do not exceed. Only those beyond it are worse than their service. */
function usualFraction (targets: ReadonlyArray<{ fraction: number, slots: number }>): number {
  const half = targets.reduce((sum, { slots }) => sum + slots, 0) / 2
  let slots = 0
  for (const target of targets.toSorted((left, right) => left.fraction - right.fraction)) {
    slots += target.slots
    if (slots >= half) return target.fraction
  }
  return 0
}

/**
 * Returns for each target of a service the part of its usual calls that it should get, 1 where it fails no more often than the others: the probability that
 * a request succeeds which makes several calls there. Targets with at most half of the slots get less than 1.
 */
export function weighFailures (targets: ReadonlyArray<{ fraction: number, slots: number }>): number[] {
  const usual = usualFraction(targets)
  return targets.map(({ fraction }) => fraction <= usual ? 1 : ((1 - fraction) / (1 - usual)) ** callsOfRequest)
}

/** Returns true for a target that gets probes only, by the part of its usual calls that it should get. */
export function isFailing (part: number): boolean {
  return part < failingPart
}

/** Returns true when a failing target is due to get a call, which shows whether it has recovered. */
export function isProbeDue ({ probedAt, isRecovering }: StatedFailures, now: number): boolean {
  return now - probedAt >= (isRecovering ? recoveringProbeIntervalMs : probeIntervalMs)
}
