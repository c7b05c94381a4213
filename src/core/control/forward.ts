import type { Clock } from '../clock/index.ts'
import { fail } from '../errors/index.ts'
import type { CallProgress, RpcResult } from '../rpc/index.ts'
import type { AdminAnswer, AdminRequest } from './types.ts'

/** Time within which a call passed on to the leader has to be answered, in milliseconds. */
const forwardTimeoutMs = 4000

/** Time between two checks whether there is another leader, in milliseconds. */
const leaderCheckMs = 50

/** What a control instance needs to pass calls on. */
export interface ForwardContext {
  /** Peer address of this instance. */
  ownAddress: string
  /** Returns the peer address of the leader, as far as it is known. */
  leaderAddress: () => string | undefined
  /** Handles a call here. */
  handle: (request: AdminRequest) => Promise<AdminAnswer>
  call: (address: string, request: AdminRequest, timeoutMs: number, progress: CallProgress) => Promise<RpcResult<AdminAnswer>>
  clock: Clock
}

/** Returns true for a call that has the same effect when it is made twice: one that only reads, or a change with an id. */
function isRepeatable ({ action, changeId }: AdminRequest): boolean {
  return changeId !== undefined || /\.(list|get)$/.test(action) || action === 'status' || action === 'audit'
}

/** Creates a function that handles a call at the leader. A call that a leader has not answered when another one is elected goes to that one. */
export function createForward ({ ownAddress, leaderAddress, handle, call, clock }: ForwardContext): (request: AdminRequest) => Promise<AdminAnswer> {
  /** Calls the leader at `address`. Resolves with the failure of a cancelled call once there is another leader, unless an answer has begun to arrive. */
  const callUntilReplaced = async (address: string, request: AdminRequest, timeoutMs: number) => {
    const cancellation = new AbortController()
    const isReplaced = () => (leaderAddress() ?? address) !== address
    const check = setInterval(() => {
      if (isReplaced()) cancellation.abort(new Error('another leader was elected'))
    }, leaderCheckMs)
    const answer = await call(address, request, timeoutMs, { signal: cancellation.signal, onArrival: () => clearInterval(check) })
    clearInterval(check)
    return answer
  }
  return async (request) => {
    const endsAt = clock.now() + forwardTimeoutMs
    while (true) {
      const address = leaderAddress()
      if (address === undefined || address === ownAddress) return await handle(request)
      const answer = await callUntilReplaced(address, request, endsAt - clock.now())
      if (answer.ok) return answer.value
      const hasAnotherLeader = (leaderAddress() ?? address) !== address
      if (hasAnotherLeader && isRepeatable(request) && clock.now() < endsAt) continue
      const { status, name, message, hint } = fail('outcomeUnknown', { reason: answer.reason })
      return { status, body: { error: name, message, hint } }
    }
  }
}
