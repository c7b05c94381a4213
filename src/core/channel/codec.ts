import { Packr } from 'msgpackr/pack'
import { maxFrameBytes } from './constants.ts'
import { frameKind } from './types.ts'
import type { Frame } from './types.ts'

const lengthBytes = 4

const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: true })

function encodeFields (frame: Frame): unknown[] {
  switch (frame.kind) {
    case frameKind.acknowledge: return frame.final ? [frame.kind, frame.received, true] : [frame.kind, frame.received]
    case frameKind.probe: return [frame.kind]
    case frameKind.open: return [frame.kind, frame.stream, frame.opening, frame.ended]
    case frameKind.message: return [frame.kind, frame.stream, frame.value]
    case frameKind.bytes: return [frame.kind, frame.stream, frame.piece]
    case frameKind.end:
    case frameKind.reset: return [frame.kind, frame.stream]
    case frameKind.credit: return [frame.kind, frame.stream, frame.bytes]
  }
}

/** Encodes a frame as its length followed by MessagePack. */
export function encodeFrame (frame: Frame): Buffer {
  const packed = codec.pack(encodeFields(frame))
  const encoded = Buffer.allocUnsafe(lengthBytes + packed.length)
  encoded.writeUInt32BE(packed.length, 0)
  packed.copy(encoded, lengthBytes)
  return encoded
}

/** Returns the frame of decoded fields, or undefined if they are not a valid frame. */
function parseFrame (fields: unknown): Frame | undefined {
  if (!Array.isArray(fields)) return undefined
  const [kind, stream, value, ended] = fields as unknown[]
  if (kind === frameKind.probe) return { kind }
  if (typeof stream !== 'number') return undefined
  switch (kind) {
    case frameKind.acknowledge: return { kind, received: stream, final: value === true }
    case frameKind.open: return { kind, stream, opening: value, ended: ended === true }
    case frameKind.message: return { kind, stream, value }
    case frameKind.bytes: return value instanceof Uint8Array ? { kind, stream, piece: value } : undefined
    case frameKind.end:
    case frameKind.reset: return { kind, stream }
    case frameKind.credit: return typeof value === 'number' ? { kind, stream, bytes: value } : undefined
    default: return undefined
  }
}

function decodeFrame (encoded: Buffer): Frame | undefined {
  try {
    return parseFrame(codec.unpack(encoded))
  } catch {
    return undefined
  }
}

/** Splits the bytes of a connection into frames. */
export interface Decoder {
  /** Returns the frames that are complete with this chunk, or undefined when the bytes are not of this protocol. */
  read: (chunk: Buffer) => Frame[] | undefined
}

/** Creates a decoder for a new connection. */
export function createDecoder (): Decoder {
  let pending: Buffer = Buffer.alloc(0)
  return {
    read (chunk) {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const frames: Frame[] = []
      let offset = 0
      while (pending.length - offset >= lengthBytes) {
        const length = pending.readUInt32BE(offset)
        if (length > maxFrameBytes) return undefined
        if (pending.length - offset - lengthBytes < length) break
        const frame = decodeFrame(pending.subarray(offset + lengthBytes, offset + lengthBytes + length))
        if (frame === undefined) return undefined
        frames.push(frame)
        offset += lengthBytes + length
      }
      pending = pending.subarray(offset)
      return frames
    }
  }
}
