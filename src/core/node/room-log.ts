import { createEventWriter, targetEvents } from '../log/index.ts'
import type { Environment } from '../peers/index.ts'
import type { RoomStatement } from '../room/index.ts'
import type { OwnFailures } from './own-failures.ts'
import type { OwnTarget } from './target.ts'

/** Time between two checks for a changed room, in milliseconds. */
const checkIntervalMs = 1000

/** Change of room or speed, as a factor, that is logged. */
const loggedChange = 1.25

function differs (value: number, before: number): boolean {
  return value > before * loggedChange || value < before / loggedChange
}

/** Returns true when the room or the speed has changed enough for a line since the statement `before`. */
export function isRoomChanged (state: Pick<RoomStatement, 'room' | 'speed' | 'isStarting'>, before: Pick<RoomStatement, 'room' | 'speed'>): boolean {
  return !state.isStarting && (differs(state.room, before.room) || differs(state.speed, before.speed))
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

/** Fraction of own failures from which a target counts as failing for the log, and the one below which it has recovered. */
const loggedFailures = 0.3
const loggedRecovery = 0.1

/** Returns whether a target counts as failing, by the fraction of its own failures and whether it did before. */
export function isTargetFailing (fraction: number, before: boolean): boolean {
  return fraction >= (before ? loggedRecovery : loggedFailures)
}

/** Exposes the room and the failures of the node's own target as gauges, and logs changes of them until it is closed. */
export function watchRoom (node: string, target: Pick<OwnTarget, 'gate' | 'current' | 'instance'>, ownFailures: OwnFailures | undefined, { clock, log, metrics }: Environment): { close: () => void } {
  const { meter } = target.gate
  if (meter === undefined) return { close () {} }
  metrics.gauge('target_room', target.gate.room)
  metrics.gauge('target_working', () => meter.state().working)
  metrics.gauge('target_speed', () => meter.state().speed)
  const failures = () => ownFailures?.fraction() ?? 0
  metrics.gauge('target_failures', failures)
  const writer = createEventWriter(node, log, metrics, clock)
  let before: Pick<RoomStatement, 'room' | 'speed'> | undefined
  let wasFailing = false
  const checkFailures = (service: string) => {
    const isFailing = isTargetFailing(failures(), wasFailing)
    if (isFailing === wasFailing) return
    wasFailing = isFailing
    writer.write(targetEvents.failuresChanged, () => ({ service, instance: target.instance() ?? null, isFailing, fraction: round(failures()) }))
  }
  const check = () => {
    const current = target.current()
    if (current === undefined) return
    checkFailures(current.service)
    const state = meter.state()
    const last = before ?? { room: current.slots, speed: 1 }
    if (!isRoomChanged(state, last)) return
    writer.write(targetEvents.roomChanged, () => ({
      service: current.service, instance: target.instance() ?? null, room: state.room, slots: current.slots, working: state.working, speed: round(state.speed), before: { room: last.room, speed: round(last.speed) }
    }))
    before = state
  }
  const timer = setInterval(check, checkIntervalMs)
  return { close: () => clearInterval(timer) }
}
