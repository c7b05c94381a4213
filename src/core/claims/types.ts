/** A complete answer, stored for retries. */
export interface KeptAnswer {
  status: number
  /** Header names and values, alternating. */
  headers: string[]
  /** Body in base64. */
  body: string
}

/** Progress of the request that holds a claim. */
export type ClaimState =
  /** Granted; the request may be running. */
  | { type: 'running' }
  /** Ran to its end. The answer is missing if it was too large to store. */
  | { type: 'done', status: number, answer?: KeptAnswer }

/** One claim as a holder stores it. */
export interface Claim {
  key: string
  /** Digest of the request. Detects a key that is reused for another request. */
  digest: string
  /** Id of the attempt that owns the claim. */
  attempt: string
  /** Monotonic time of the holder at which the request must have ended. */
  runsUntil: number
  /** Monotonic time of the holder at which the claim expires. */
  expiresAt: number
  state: ClaimState
}

/** A claim as it is sent between holders, with times as remaining milliseconds. */
export interface PortableClaim {
  key: string
  digest: string
  attempt: string
  runsForMs: number
  expiresInMs: number
  state: ClaimState
}

/** Request to a holder for a claim. */
export interface ClaimRequest {
  slot: string
  view: number
  key: string
  digest: string
  attempt: string
  /** Longest time that the request may run, in milliseconds. */
  runsForMs: number
}

/** Reply of a holder to a request for a claim. */
export type ClaimReply =
  | { type: 'granted' }
  /** Another attempt owns the claim. */
  | { type: 'taken', digest: string, state: 'running' | 'lapsed' | 'done' }
  /** The holder does not vote on the request. */
  | { type: 'abstained', reason: 'view' | 'not-ready' | 'full' | 'released' }

/** Whether a holder knows a claim under a key; `unsure` if it knows none but may not vote. */
export type ClaimPeek = 'claimed' | 'unclaimed' | 'unsure'
