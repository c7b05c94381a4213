/** Retry tokens deposited for each success. */
const tokensPerSuccess = 0.1

/** Most retry tokens that one node holds for a service when the retries of the fleet are not limited. */
const maxTokens = 10

/** Fraction of the fleet's retries that is divided among its nodes; the rest covers nodes that join or leave in the meantime. */
const dividedFraction = 0.5

/** Retry tokens of the services that a node calls, deposited by successful calls. */
export interface RetryTokens {
  /** Retry tokens by service. */
  tokens: Map<string, number>
  /** Most retry tokens per service. */
  cap: number
}

/** Creates a collection with the maximum of retry tokens for every service. */
export function createRetryTokens (): RetryTokens {
  return { tokens: new Map(), cap: maxTokens }
}

/** Divides among the nodes the retries that the fleet may make in addition to those that successful calls deposit. */
export function divideFleetRetries (retryTokens: RetryTokens, fleetRetries: number, nodes: number): void {
  retryTokens.cap = Math.min(maxTokens, Math.max(1, fleetRetries * dividedFraction / Math.max(1, nodes)))
}

function tokensFor ({ tokens, cap }: RetryTokens, service: string): number {
  return Math.min(cap, tokens.get(service) ?? cap)
}

/** Deposits the retry tokens of a successful call. */
export function depositRetryToken (retryTokens: RetryTokens, service: string): void {
  retryTokens.tokens.set(service, Math.min(retryTokens.cap, tokensFor(retryTokens, service) + tokensPerSuccess))
}

/** Takes one retry token. Returns false when the service has none. */
export function takeRetryToken (retryTokens: RetryTokens, service: string): boolean {
  const tokens = tokensFor(retryTokens, service)
  if (tokens < 1) return false
  retryTokens.tokens.set(service, tokens - 1)
  return true
}
