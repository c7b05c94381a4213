import type { Clock } from '../clock/index.ts'
import { changeSlots, createTargetRoom, endCall, endRequest, restartTarget, startCall, startRequest, stateRoom, workingTimeOf } from './room.ts'
import type { RequestResult, RoomStatement } from './room.ts'

/** Records the calls and the end of one request at the target. */
export interface RequestMeter {
  startCall: () => void
  endCall: () => void
  end: (result: RequestResult) => void
}

/** The room of a node's own target, on its clock. */
export interface RoomMeter {
  startRequest: (kind: string) => RequestMeter
  /** Records a call that cannot be attributed to a request. Returns the function that records its end. */
  startCall: () => () => void
  restart: (slots: number) => void
  resize: (slots: number) => void
  state: () => RoomStatement
  /** Returns the mean working time of a kind in ms; undefined until some of its requests have ended. */
  workingMs: (kind: string) => number | undefined
}

/** Creates the meter of a target with `slots`. */
export function createRoomMeter (slots: number, clock: Clock): RoomMeter {
  const room = createTargetRoom(slots, clock.now())
  return {
    startRequest (kind) {
      const request = startRequest(room, kind, clock.now())
      return {
        startCall: () => startCall(room, request, clock.now()),
        endCall: () => endCall(room, request, clock.now()),
        end: (result) => endRequest(room, request, result, clock.now())
      }
    },
    startCall () {
      startCall(room, undefined, clock.now())
      return () => endCall(room, undefined, clock.now())
    },
    restart: (next) => restartTarget(room, next, clock.now()),
    resize: (next) => changeSlots(room, next, clock.now()),
    state: () => stateRoom(room, clock.now()),
    workingMs: (kind) => workingTimeOf(room, kind, clock.now())
  }
}
