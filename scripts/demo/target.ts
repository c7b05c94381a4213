/**
 * Simulated target: serves one service, announces itself to its local node and makes outgoing calls
 * through that node. Prints a JSON line for each request that it runs.
 */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import type { NodeWithTargetOptions } from '../support/cluster.ts'

const options = JSON.parse(process.argv[2]) as NodeWithTargetOptions & { local: string, announced?: string }
const announceIntervalMs = 1000
const manualPadBytes = 200_000
const contextHeader = 'x-dogwoodspring-context'
const keyPattern = /dws_[0-9a-f]{12}_/
let workMs = options.workMs
let running = 0
let leaving = false

function printLine (line: Record<string, unknown>): void {
  process.stdout.write(JSON.stringify(line) + '\n')
}

async function readBody (incoming: IncomingMessage): Promise<string> {
  let text = ''
  for await (const chunk of incoming) text += String(chunk)
  return text
}

/** Calls another service through the local node, as part of the request `incoming`. Returns the status, or 599 if the call failed. */
async function callThroughNode (incoming: IncomingMessage, method: 'GET' | 'POST', path: string, body?: string): Promise<number> {
  try {
    const answer = await request(`http://${options.local}${path}`, {
      method,
      body: body ?? null,
      headers: { [contextHeader]: String(incoming.headers[contextHeader]), 'x-demo-id': String(incoming.headers['x-demo-id']) }
    })
    await answer.body.dump()
    return answer.statusCode
  } catch {
    return 599
  }
}

/** Makes the outgoing calls of this service in order. Returns the status of the first that failed, else 200. */
async function callDependencies (incoming: IncomingMessage, id: string): Promise<number> {
  const calls: Array<['GET' | 'POST', string, string?]> = []
  if (options.service === 'orderdesk') calls.push(['GET', `/lots/${id}`], ['POST', '/transfers', JSON.stringify({ id })])
  if (options.service === 'chitwatch' && incoming.url?.startsWith('/trays') === true) calls.push(['GET', `/slots/${id}`])
  for (const [method, path, body] of calls) {
    const status = await callThroughNode(incoming, method, path, body)
    if (status >= 400) return status
  }
  return 200
}

function answerBody (id: string, path: string): string {
  const pad = path.startsWith('/manuals') ? createHash('sha256').update(id).digest('hex').repeat(manualPadBytes / 64) : ''
  return JSON.stringify({ id, service: options.service, pad })
}

async function serveRequest (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const path = incoming.url ?? '/'
  const body = await readBody(incoming)
  const id = String(incoming.headers['x-demo-id'] ?? '')
  if (keyPattern.test(incoming.rawHeaders.join('\n') + path + body)) printLine({ leak: path })
  printLine({ ran: `${incoming.method} ${path.split('/')[1]} ${id}`, unsafe: incoming.method === 'POST' })
  if (path.includes('poison')) process.exit(1)
  running++
  const status = await callDependencies(incoming, id)
  await new Promise((resolve) => setTimeout(resolve, workMs))
  running--
  const content = status < 400 ? answerBody(id, path) : JSON.stringify({ id, failed: status })
  response.writeHead(status < 400 ? 200 : 503, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) })
  response.end(content)
}

async function announceTarget (): Promise<void> {
  const { port } = server.address() as AddressInfo
  const { service, slots, connections } = options
  const body = JSON.stringify({ service, address: options.announced ?? `127.0.0.1:${port}`, slots, connections, state: leaving ? 'leaving' : 'up' })
  const answer = await request(`http://${options.local}/.dogwoodspring/target`, { method: 'PUT', body }).catch(() => undefined)
  await answer?.body.dump()
}

const server = createServer({ keepAliveTimeout: 30_000 }, (incoming, response) => {
  if (incoming.url?.startsWith('/.stand-in/work/') === true) {
    workMs = Number(incoming.url.split('/').at(-1))
    response.end()
    return
  }
  void serveRequest(incoming, response).catch(() => response.destroy())
})
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo
  printLine({ address: `127.0.0.1:${port}` })
  void announceTarget()
  setInterval(() => void announceTarget(), announceIntervalMs)
})
process.on('SIGTERM', () => {
  leaving = true
  void announceTarget()
  const timer = setInterval(() => {
    if (running === 0) process.exit(0)
  }, 100)
  setTimeout(() => clearInterval(timer), 30_000)
})
