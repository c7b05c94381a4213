import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../src/core/random/index.ts'
import { createTargetRoom, endRequest, startRequest, stateRoom, workingRequests, workingTimeOf } from '../../src/core/room/index.ts'
import type { TargetRoom } from '../../src/core/room/index.ts'
import { chooseTarget, createTargetStats, recordAnswer, recordStart, recordStatement, statsOf } from '../../src/core/routing/index.ts'
import type { Candidate } from '../../src/core/routing/index.ts'

const callee = 's/r'
const slots = 40
const workMs = 100
const changeAt = 5000

/** A target that finds out its own room. */
interface Target extends Candidate {
  room: TargetRoom
  speed: (now: number) => number
  /** Requests that it got from two to four seconds after the change. */
  observed: number
}

function createTarget (node: string, speedAfter: number): Target {
  return { node, domain: 'd', slots, room: createTargetRoom(slots, 0), speed: (now) => now < changeAt ? 1 : speedAfter, observed: 0 }
}

test('two seconds after speeds changed to 0.5 and 1.5 the slower target gets a third of the requests of the other', () => {
  for (const seed of [1, 2, 3]) {
    const random = createRandom(seed)
    const exponential = (mean: number) => -mean * Math.log(1 - random.next())
    const targets = [createTarget('slow', 0.5), createTarget('fast', 1.5)]
    const statsByNode = createTargetStats()
    const ends: Array<{ at: number, end: () => void }> = []
    let arrivesAt = 0
    const begin = (target: Target, now: number) => {
      const stats = statsOf(statsByNode, target.node)
      recordStart(stats, now)
      if (now >= changeAt + 2000) target.observed++
      const request = startRequest(target.room, 'r', now)
      const at = now + workMs * (0.5 + exponential(0.5)) / target.speed(now)
      const end = () => {
        endRequest(target.room, request, 'good', at)
        stats.inFlight--
        const { room } = stateRoom(target.room, at)
        recordAnswer(stats, at - now, workingRequests(target.room) / room, at)
        recordStatement(stats.statements, callee, { room, workMs: workingTimeOf(target.room, 'r', at) }, at)
      }
      ends.push({ at, end })
      ends.sort((left, right) => left.at - right.at)
    }
    while (arrivesAt < changeAt + 4000) {
      if (ends.length > 0 && ends[0].at <= arrivesAt) {
        ends.splice(0, 1)[0].end()
        continue
      }
      begin(chooseTarget(statsByNode, targets, 'd', arrivesAt, random, callee) as Target, arrivesAt)
      arrivesAt += exponential(workMs / (2 * slots * 0.6))
    }
    const ratio = targets[0].observed / targets[1].observed
    assert.ok(ratio > 0.26 && ratio < 0.41, `seed ${seed}: ${ratio}`)
  }
})
