import assert from 'node:assert/strict'
import { test } from 'node:test'
import { encodeFrame, createDecoder } from '../../src/core/channel/codec.ts'
import { frameKind } from '../../src/core/channel/types.ts'
import { decodeReply, decodeOpening, encodeHead, encodeOpening, encodeUnanswered } from '../../src/core/node/call-codec.ts'
import type { CallOpening } from '../../src/core/node/call-codec.ts'
import { unansweredOf } from '../../src/core/node/sinks.ts'
import type { CallContext } from '../../src/core/node/types.ts'
import { fail } from '../../src/core/errors/index.ts'

const context: CallContext = {
  attempt: 'a',
  chain: 'c',
  lineage: 'key:k',
  workspace: 'w',
  keyId: 'i',
  template: 't',
  route: 'r',
  service: 's',
  priority: -1,
  rank: 1,
  weight: 2,
  idempotent: false,
  needsClaim: true,
  host: 'h.example',
  digest: 'd',
  fingerprint: 'f',
  suspect: true,
  resendable: true,
  depth: 3,
  budget: 1,
  remainingMs: 12.5,
  waitMs: 7,
  heardShare: 0.5
}
const opening: CallOpening = { context, method: 'POST', path: '/p?q=1', headers: ['x-a', '1', 'x-a', '2'], bodyBytes: 9 }

/** Encodes a value as a frame of a session and decodes it again. */
function encodeAndDecode (value: unknown): unknown {
  const [frame] = createDecoder().read(encodeFrame({ kind: frameKind.message, stream: 1, value })) ?? []
  return frame.kind === frameKind.message ? frame.value : undefined
}

test('every field of a call survives encoding', () => {
  assert.deepEqual(decodeOpening(encodeAndDecode(encodeOpening(opening))), opening)
})

test('a call without claim and key is sent without digest and lineage', () => {
  const plain = { ...context, needsClaim: false, lineage: 'c', workspace: null, waitMs: undefined, heardShare: undefined }
  const arrived = decodeOpening(encodeAndDecode(encodeOpening({ ...opening, context: plain })))
  assert.deepEqual(arrived?.context, { ...plain, digest: '' })
})

test('messages of another version are rejected', () => {
  for (const value of [undefined, null, 5, [], [[], 'GET', '/', [], 0], ['x', 'GET', '/', [], 0], { context }]) assert.equal(decodeOpening(encodeAndDecode(value)), undefined)
  for (const value of [undefined, null, 5, 'x', {}]) assert.equal(decodeReply(encodeAndDecode(value)), undefined)
})

test('heads and refusals survive encoding', () => {
  const report = { used: 1, load: 0.5, shed: true, share: 0.25 }
  const failing = { ...report, room: 7, workMs: 1.5, ownFailures: 0.75 }
  assert.deepEqual(decodeReply(encodeAndDecode(encodeHead(500, [], failing))), { type: 'head', status: 500, headers: [], report: failing })
  assert.deepEqual(decodeReply(encodeAndDecode(encodeHead(204, ['a', 'b'], report))), { type: 'head', status: 204, headers: ['a', 'b'], report })
  const unanswered = unansweredOf({ type: 'refused', failure: fail('leaving'), elsewhere: true, arrived: false, report })
  const decoded = decodeReply(encodeAndDecode(encodeUnanswered(unanswered)))
  assert.equal(decoded?.type, 'unanswered')
  assert.deepEqual(JSON.parse(JSON.stringify(decoded)), JSON.parse(JSON.stringify({ type: 'unanswered', unanswered })))
})

test('frames are decoded from bytes split anywhere, and not from other bytes', () => {
  const frames = [1, 2, 3].map((stream) => ({ kind: frameKind.bytes, stream, piece: Buffer.from(`piece ${stream}`) }))
  const bytes = Buffer.concat(frames.map(encodeFrame))
  for (let cut = 1; cut < bytes.length; cut++) {
    const decoder = createDecoder()
    const read = [...decoder.read(bytes.subarray(0, cut)) ?? [], ...decoder.read(bytes.subarray(cut)) ?? []]
    assert.deepEqual(read.map((frame) => frame.kind === frameKind.bytes && Buffer.from(frame.piece).toString()), ['piece 1', 'piece 2', 'piece 3'])
  }
  for (const text of ['GET / HTTP/1.1\r\n\r\n', '\0\0\0\u0001\u00c1', '\0\0\0\u0001\u0005']) assert.equal(createDecoder().read(Buffer.from(text, 'latin1')), undefined)
})
