import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSealer, issueKey, parseKey } from '../../src/core/auth/index.ts'
import { defaultDialect } from '../../src/core/node/dialect.ts'
import { containsKey } from '../../src/core/node/headers.ts'

const secret = 'a-secret-of-the-cluster'
const now = new Date(1_700_000_000_000)

test('signed message is accepted once', () => {
  const [sender, receiver] = [createSealer([secret]), createSealer([secret])]
  const signature = sender.seal('text', now)
  assert.equal(receiver.open(signature, 'text', now), true)
  assert.equal(receiver.open(signature, 'text', now), false)
})

test('altered, expired and foreign messages are rejected', () => {
  const receiver = createSealer([secret])
  assert.equal(receiver.open(createSealer([secret]).seal('text', now), 'other', now), false)
  assert.equal(receiver.open(createSealer([secret]).seal('text', now), 'text', new Date(now.getTime() + 60_000)), false)
  assert.equal(receiver.open(createSealer(['another-secret-here']).seal('text', now), 'text', now), false)
  assert.equal(receiver.open('nonsense', 'text', now), false)
})

test('old and new secret are both accepted during rotation', () => {
  const old = createSealer([secret])
  const both = createSealer(['the-next-secret-here', secret])
  assert.equal(both.open(old.seal('text', now), 'text', now), true)
})

test('headers with a key, hop-by-hop headers and internal headers are not sent to a target', () => {
  const { clear } = issueKey()
  assert.ok(parseKey(clear))
  const raw = ['Authorization', `Bearer ${clear}`, 'X-Key', clear, 'Connection', 'close, X-Hop', 'X-Hop', '1', 'X-Dogwoodspring-Context', 'c', 'Accept', '*/*']
  assert.deepEqual(defaultDialect.requestHeaders(raw, null), ['accept', '*/*'])
  assert.equal(containsKey(encodeURIComponent(`?k=${clear.replace('_', '%5F')}`)), true)
  assert.equal(containsKey(`/x?k=${clear.replace('_', '%5F')}`), true)
})
