export { createRoomMeter } from './meter.ts'
export type { RequestMeter, RoomMeter } from './meter.ts'
export { changeSlots, createTargetRoom, endCall, endRequest, restartTarget, startCall, startRequest, stateRoom, workingRequests, workingTimeOf } from './room.ts'
export type { RequestResult, RoomStatement, TargetRequest, TargetRoom } from './room.ts'
