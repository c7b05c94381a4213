import { pieceBytes, windowBytes } from './constants.ts'

/** Flow control of one side of a stream: bytes that wait for credit from the receiver, and received bytes for which credit is not granted yet. */
export interface Flow {
  queue: Uint8Array[]
  /** Bytes that may be sent before the receiver grants more credit. */
  credit: number
  /** Bytes that this side received and consumed since it last granted credit. */
  consumedBytes: number
}

/** Creates the flow control of a new stream. */
export function createFlow (): Flow {
  return { queue: [], credit: windowBytes, consumedBytes: 0 }
}

/** Queues bytes, split into pieces. */
export function queueBytes (flow: Flow, bytes: Uint8Array): void {
  for (let offset = 0; offset < bytes.length; offset += pieceBytes) flow.queue.push(bytes.subarray(offset, offset + pieceBytes))
}

/** Removes and returns the queued pieces that the credit allows to send. */
export function takePieces (flow: Flow): Uint8Array[] {
  const pieces: Uint8Array[] = []
  while (flow.queue.length > 0 && flow.queue[0].length <= flow.credit) {
    const [piece] = flow.queue.splice(0, 1)
    flow.credit -= piece.length
    pieces.push(piece)
  }
  return pieces
}

/** Counts consumed bytes. Returns the credit to grant, or 0 while it is less than half a window, which saves frames. */
export function creditFor (flow: Flow, bytes: number): number {
  flow.consumedBytes += bytes
  if (flow.consumedBytes < windowBytes / 2) return 0
  const credit = flow.consumedBytes
  flow.consumedBytes = 0
  return credit
}
