import { crc32 } from 'node:zlib'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'

const headerBytes = 12 // length, checksum of the length, checksum of the payload

/** Records decoded from a file, and the size of its intact part. */
export interface DecodedRecords {
  records: unknown[]
  /** Size up to the end of the last complete record, in bytes. */
  intactBytes: number
}

/** Encodes a record as a frame: length, checksum of the length, checksum of the payload, payload as JSON. */
export function encodeRecord (record: unknown): Buffer {
  const payload = Buffer.from(JSON.stringify(record))
  const frame = Buffer.alloc(headerBytes + payload.length)
  frame.writeUInt32LE(payload.length, 0)
  frame.writeUInt32LE(crc32(frame.subarray(0, 4)), 4)
  frame.writeUInt32LE(crc32(payload), 8)
  payload.copy(frame, headerBytes)
  return frame
}

/**
 * Decodes framed records. An incomplete record at the end of the file is a torn tail, excluded from `intactBytes`.
 * Any other damage is corruption and returns a failure with the file and the offset.
 */
export function decodeRecords (file: string, content: Uint8Array): Outcome<DecodedRecords> {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength)
  const records: unknown[] = []
  let offset = 0
  while (offset < bytes.length) {
    const rest = bytes.length - offset
    if (rest < headerBytes || isZeroFrom(bytes, offset)) break
    const length = bytes.readUInt32LE(offset)
    if (crc32(bytes.subarray(offset, offset + 4)) !== bytes.readUInt32LE(offset + 4)) {
      return fail('corruptData', { file, offset, reason: 'the length of a record does not match its checksum' })
    }
    if (headerBytes + length > rest) break
    const payload = bytes.subarray(offset + headerBytes, offset + headerBytes + length)
    if (crc32(payload) !== bytes.readUInt32LE(offset + 8)) {
      return fail('corruptData', { file, offset, reason: 'a record does not match its checksum' })
    }
    records.push(JSON.parse(payload.toString('utf8')))
    offset += headerBytes + length
  }
  return succeed({ records, intactBytes: offset })
}

function isZeroFrom (bytes: Buffer, offset: number): boolean {
  for (let position = offset; position < bytes.length; position++) {
    if (bytes[position] !== 0) return false
  }
  return true
}
