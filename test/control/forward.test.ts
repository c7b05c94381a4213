import assert from 'node:assert/strict'
import { test } from 'node:test'
import { systemClock as clock } from '../../src/core/clock/index.ts'
import { createForward } from '../../src/core/control/forward.ts'
import type { AdminAnswer, AdminRequest } from '../../src/core/control/types.ts'
import type { CallProgress, RpcResult } from '../../src/core/rpc/index.ts'

type Answer = (progress: CallProgress) => Promise<RpcResult<AdminAnswer>>

const done: RpcResult<AdminAnswer> = { ok: true, value: { status: 200, body: 'done' } }

/** Answers nothing until the call is cancelled. */
const staySilent: Answer = ({ signal }) => new Promise((resolve) => {
  signal.addEventListener('abort', () => resolve({ ok: false, reason: String(signal.reason) }))
})

/** An instance that knows the leader `old`, and `next` after 200 ms. */
function createForwarded (answers: Record<string, Answer>) {
  const called: string[] = []
  let leader = 'old'
  setTimeout(() => { leader = 'next' }, 200)
  const forward = createForward({
    ownAddress: 'own',
    leaderAddress: () => leader,
    handle: () => Promise.reject(new Error('not the leader')),
    call (address, _request, _timeoutMs, progress) {
      called.push(address)
      return answers[address](progress)
    },
    clock
  })
  return { forward, called }
}

const change: AdminRequest = { action: 'deployment.set', credential: '', changeId: 'c-1' }

test('a change does not wait for a silent leader once another one is elected', async () => {
  const { forward, called } = createForwarded({ old: staySilent, next: () => Promise.resolve(done) })
  const startedAt = clock.now()
  assert.equal((await forward(change)).status, 200)
  assert.deepEqual(called, ['old', 'next'])
  assert.ok(clock.now() - startedAt < 1000)
})

test('a change without an id is not made a second time', async () => {
  const { forward, called } = createForwarded({ old: staySilent, next: () => Promise.resolve(done) })
  assert.notEqual((await forward({ action: 'member.add', credential: '' })).status, 200)
  assert.deepEqual(called, ['old'])
})

test('an answer that has begun to arrive is not given up for another leader', async () => {
  const arriving: Answer = ({ onArrival, signal }) => new Promise((resolve) => {
    onArrival()
    setTimeout(() => resolve(signal.aborted ? { ok: false, reason: 'cancelled' } : done), 400)
  })
  const { forward, called } = createForwarded({ old: arriving, next: () => Promise.resolve(done) })
  assert.equal((await forward(change)).status, 200)
  assert.deepEqual(called, ['old'])
})
