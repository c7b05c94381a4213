import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createReportedFractions, createAdmissionFraction, isAdmitted, recordInProgressWait, recordReportedFraction, recordInProgressRefusal, updateAdmissionFraction, reportedFractionOf } from '../../src/core/admission/index.ts'
import type { AdmissionFraction } from '../../src/core/admission/index.ts'

/** Runs windows in which calls of requests in progress wait for `waitMs`, or not at all. */
function runWindows (fraction: AdmissionFraction, windows: number, waitMs: number): number {
  for (let count = 0; count < windows; count++) {
    if (waitMs > 0) recordInProgressWait(fraction, waitMs, fraction.windowAt)
    updateAdmissionFraction(fraction, fraction.windowAt + 400)
  }
  return fraction.value
}

test('delayed calls lower the admission fraction by the length of their wait, but never to zero', () => {
  const [little, much] = [createAdmissionFraction(0), createAdmissionFraction(0)]
  assert.ok(runWindows(little, 3, 60) > runWindows(much, 3, 400))
  assert.ok(runWindows(much, 100, 400) >= 0.05)
})

test('short waits change nothing, and the admission fraction recovers within seconds after the load has dropped', () => {
  const fraction = createAdmissionFraction(0)
  assert.equal(runWindows(fraction, 10, 30), 1)
  runWindows(fraction, 5, 400)
  assert.ok(fraction.value < 0.2)
  assert.equal(runWindows(fraction, 16, 0), 1)
})

test('admission fraction also recovers without any requests', () => {
  const fraction = createAdmissionFraction(0)
  runWindows(fraction, 5, 400)
  updateAdmissionFraction(fraction, fraction.windowAt + 60_000)
  assert.equal(fraction.value, 1)
})

test('high priorities are refused last', () => {
  const admitted = [0, 1, 2, 3].map((priority) => Array.from({ length: 100 }, (_, index) => isAdmitted(0.3, priority, index / 100)).filter(Boolean).length)
  assert.deepEqual(admitted, [100, 60, 30, 30])
})

test('reported fraction of a service is the mean over its nodes, and 1 without a recent report', () => {
  const reported = createReportedFractions()
  assert.equal(reportedFractionOf(reported, 's', 0), 1)
  recordReportedFraction(reported, 's', 'n1', 0.2, 0)
  recordReportedFraction(reported, 's', 'n2', 0.6, 1000)
  assert.equal(reportedFractionOf(reported, 's', 1000), 0.4)
  assert.equal(reportedFractionOf(reported, 's', 3500), 0.6)
  assert.equal(reportedFractionOf(reported, 's', 9000), 1)
})

test('many refused calls of requests in progress lower the admission fraction, a few do not', () => {
  const [few, many] = [createAdmissionFraction(0), createAdmissionFraction(0)]
  for (let count = 0; count < 20; count++) {
    recordInProgressWait(few, 0, 0)
    recordInProgressWait(many, 0, 0)
    if (count < 2) recordInProgressRefusal(few, 0)
    if (count < 10) recordInProgressRefusal(many, 0)
  }
  updateAdmissionFraction(few, 400)
  updateAdmissionFraction(many, 400)
  assert.deepEqual([few.value, many.value], [1, 0.6])
})
