import { Pool } from 'undici'
import { createRandom } from '../../src/core/random/index.ts'
import type { Random } from '../../src/core/random/index.ts'
import type { Outcome, RunCounter, Tally } from './tally.ts'

const callerTimeoutMs = 4000
const maxRetries = 3
const manualPadLength = 200_000

/** A caller of one workspace. */
export interface Caller {
  workspace: string
  key: string
  /** Requests per second. */
  rate: number
}

/** The end of a request, after all retries. */
export interface RequestEnd {
  caller: Caller
  outcome: Outcome
  /** Error code or other reason; undefined for a whole answer. */
  code: string | undefined
  /** Time at which the last attempt was sent, by `performance.now()`. */
  sentAt: number
}

/** Callers that send requests to nodes over persistent connections. */
export interface Traffic {
  /** Adds a caller and starts its requests. */
  add: (caller: Caller) => void
  /** Sends no further requests to a node, which is to serve those in progress. */
  avoid: (address: string) => void
  /** Sends requests to a node again. */
  use: (address: string) => void
  /** Counts, from now on or no longer, only requests to a node that end without an answer as cut by its stop, because other faults disturb it too. */
  expectAnswers: (address: string, expected: boolean) => void
  /** Returns the number of requests with another outcome than `whole`, by error code. */
  codes: () => ReadonlyMap<string, number>
  /** Stops sending, waits for the requests in progress and closes the connections. */
  stop: () => Promise<void>
}

/** Answer to one attempt. The status is 0 if none arrived. */
interface Attempt {
  status: number
  /** Value of the header x-dogwoodspring-run. */
  run: string | undefined
  text: string
  error?: string
  /** The connection ended or broke before the head of an answer. */
  cut?: boolean
}

interface CallerRequest {
  id: string
  method: 'GET' | 'POST'
  path: string
  idempotent: boolean
}

function createRequest (random: Random, id: string): CallerRequest {
  const draw = random.next()
  if (draw < 0.4) return { id, method: 'GET', path: `/trays/${id}`, idempotent: true }
  if (draw < 0.6) return { id, method: 'GET', path: `/lots/${id}`, idempotent: true }
  if (draw < 0.8) return { id, method: 'POST', path: '/orders', idempotent: false }
  if (draw < 0.95) return { id, method: 'POST', path: '/transfers', idempotent: false }
  return { id, method: 'GET', path: `/manuals/${id}`, idempotent: true }
}

/** Returns true if an answer is complete and belongs to the request. */
function isCompleteAnswer (request: CallerRequest, text: string): boolean {
  try {
    const answer = JSON.parse(text) as { id: string, pad: string }
    const padLength = request.path.startsWith('/manuals') ? manualPadLength : 0
    return answer.id === request.id && answer.pad.length === padLength
  } catch {
    return false
  }
}

/** Creates connections to the nodes at the addresses `nodes`. Requests start once a caller is added. */
export function startTraffic (nodes: readonly string[], tally: Tally, runs: RunCounter, seed: number, onEnd: (end: RequestEnd) => void): Traffic {
  const random = createRandom(seed)
  const pools = new Map(nodes.map((address) => [address, new Pool(`http://${address}`, { connections: 16, pipelining: 1 })]))
  const avoided = new Set<string>()
  const stopping = new Set<string>()
  const refusedIds = new Set<string>()
  const timers: NodeJS.Timeout[] = []
  const running = new Set<Promise<void>>()
  const codes = new Map<string, number>()
  let requestCount = 0

  const send = async (address: string, caller: Caller, request: CallerRequest): Promise<Attempt> => {
    let hasHead = false
    try {
      const pool = pools.get(address)
      if (pool === undefined) return { status: 0, run: undefined, text: '', error: 'no such node' }
      const answer = await pool.request({
        method: request.method,
        path: request.path,
        body: request.method === 'POST' ? JSON.stringify({ id: request.id }) : null,
        headers: { authorization: `Bearer ${caller.key}`, 'x-demo-id': request.id, ...(request.idempotent ? {} : { 'idempotency-key': request.id }) },
        signal: AbortSignal.timeout(callerTimeoutMs)
      })
      hasHead = true
      return { status: answer.statusCode, run: answer.headers['x-dogwoodspring-run'] as string | undefined, text: await answer.body.text() }
    } catch (error) {
      const { name, message } = error instanceof Error ? error : new Error(String(error))
      return { status: 0, run: undefined, text: '', error: message, cut: !hasHead && name !== 'TimeoutError' }
    }
  }
  /** Among other faults only a connection that ended without an answer is certainly cut by the stop; without them, every error is. */
  const isCutByStop = (address: string, { error, cut }: Attempt) => stopping.has(address) ? cut === true : error !== undefined && avoided.has(address)
  const pickNode = () => {
    const usable = nodes.filter((address) => !avoided.has(address))
    return usable[random.below(usable.length)]
  }
  const recordOutcome = (caller: Caller, request: CallerRequest, attempts: readonly Attempt[], sentAt: number) => {
    const last = attempts[attempts.length - 1]
    const outcome = outcomeOf(request, last)
    if (outcome === 'whole') tally.whole++
    if (outcome === 'wrong') tally.wrong++
    if (outcome === 'unknown' || outcome === 'failed') tally.unknown++
    if (outcome === 'refused') tally.refusedNotRun++
    // A refusal is checked at the end, because it has to stay true.
    if (outcome === 'refused' && attempts.every((attempt) => attempt.run === 'not-run')) refusedIds.add(request.id)
    const code = outcome === 'whole' ? undefined : codeOf(last)
    if (code !== undefined) codes.set(code, (codes.get(code) ?? 0) + 1)
    onEnd({ caller, outcome, code, sentAt })
  }
  const sendWithRetries = async (caller: Caller) => {
    const request = createRequest(random, `r${seed}-${++requestCount}`)
    tally.sent++
    const attempts: Attempt[] = []
    let sentAt = 0
    for (let retry = 0; retry <= maxRetries; retry++) {
      const address = pickNode()
      sentAt = performance.now()
      const attempt = await send(address, caller, request)
      attempts.push(attempt)
      if (isCutByStop(address, attempt)) tally.cutByStop++
      const outcome = outcomeOf(request, attempt)
      if (outcome === 'whole' || outcome === 'wrong' || outcome === 'refused') break
      await new Promise((resolve) => setTimeout(resolve, 100))
    }
    recordOutcome(caller, request, attempts, sentAt)
  }
  return {
    add (caller) {
      const intervalMs = 1000 / caller.rate
      timers.push(setInterval(() => {
        const pending = sendWithRetries(caller)
        running.add(pending)
        void pending.finally(() => running.delete(pending))
      }, intervalMs))
    },
    avoid: (address) => void avoided.add(address),
    use: (address) => void avoided.delete(address),
    expectAnswers: (address, expected) => void (expected ? stopping.add(address) : stopping.delete(address)),
    codes: () => codes,
    async stop () {
      for (const timer of timers) clearInterval(timer)
      await Promise.all(running)
      await new Promise((resolve) => setTimeout(resolve, 600))
      for (const id of refusedIds) if (runs.hasRun(id)) tally.wrong++
      for (const pool of pools.values()) await pool.close()
    }
  }
}

function codeOf ({ status, text, error }: Attempt): string {
  return error ?? /"error":"(\w+)"/.exec(text)?.[1] ?? `status ${status}`
}

function outcomeOf (request: CallerRequest, attempt: Attempt): Outcome {
  if (attempt.status === 200) return isCompleteAnswer(request, attempt.text) ? 'whole' : 'wrong'
  if (attempt.run === 'not-run') return 'refused'
  if (attempt.run === 'unknown' || attempt.status === 0) return 'unknown'
  return 'failed'
}
