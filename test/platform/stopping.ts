import { connect } from 'node:net'
import type { IncomingMessage } from 'node:http'
import { configuration, createMachines, eventually, lastLogLines } from './machines.ts'
import type { AppServer, Machines, Reply } from './machines.ts'

/** Time from SIGTERM to SIGKILL, in ms. */
export const graceMs = 6000

/** Time after SIGTERM at which a stop gives up what still runs, in ms. */
export const stopEndsMs = graceMs * 11 / 12

/** Time after SIGTERM until which callers cannot know of the stop, in ms. */
export const servingMs = 2600

/** Headers of a caller that waits longer than a stop takes. */
export const patience = { 'x-dogwoodspring-deadline-ms': '12000' }

/** Sidecar 1, where requests enter, with the server beside it, and the server beside sidecar 2, which most of them reach. */
export interface Setting {
  machines: Machines
  ownServer: AppServer
  server: AppServer
}

/** Adds the last lines of the logs to the message of a failed test. */
function addLogs (error: unknown): never {
  if (error instanceof Error) error.message += `\n${lastLogLines()}`
  throw error
}

/** Starts three cores and two sidecars with one route from the first to the server of the second, whose kind and timeout are given, an open one below /open/, and one below /own/ to the server of the first. */
export async function withServer (use: (setting: Setting) => Promise<void>, kind = 'idempotent', timeout = '9s'): Promise<void> {
  const machines = await createMachines()
  try {
    for (const number of [1, 2, 3]) machines.startCore(number, true)
    const ownServer = await machines.startSidecar(1, 'other')
    const server = await machines.startSidecar(2, 'shop')
    await eventually(async () => await ownServer.sendHeartbeat('ready') === 200 && await server.sendHeartbeat('ready') === 200)
    const [listener] = (configuration(3, 'shop') as { listeners: Array<{ host: string, routeRules: Array<{ action: object }> }> }).listeners
    const [rule] = listener.routeRules
    const action = { ...rule.action, timeout }
    const openRule = { ...rule, name: 'open', public: true, match: { pathPrefix: '/open/' }, action }
    const ownRule = { ...rule, name: 'own', match: { pathPrefix: '/own/' }, action: { ...action, service: 'other' } }
    const document = configuration(3, 'shop') as { clusters: Array<{ name: string }> }
    const clusters = [...document.clusters, { ...document.clusters[0], name: 'other' }]
    const listeners = [{ ...listener, routeRules: [{ ...rule, kind, action }, openRule, ownRule] }]
    await eventually(async () => (await machines.replaceConfiguration(1, '0', { ...document, listeners, clusters })).status === 200)
    await eventually(async () => (await machines.send(1, '/p/x', patience)).status === 200)
    const beats = setInterval(() => void Promise.all([ownServer, server].map((each) => each.sendHeartbeat('ready'))), 1500)
    await use({ machines, ownServer, server }).catch(addLogs).finally(() => clearInterval(beats))
  } finally {
    await machines.stop()
  }
}

/** Resolves after a time in ms. */
export const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Returns the header in which a server repeats the id of a request. */
export const echo = (request: IncomingMessage) => ({ 'x-dogwoodspring-request-id': request.headers['x-dogwoodspring-request-id'] })

/** Sends a request and returns its reply with the time that it took in ms. */
export async function timedSend (machines: Machines, id: string): Promise<Reply & { tookMs: number }> {
  const startedAt = performance.now()
  const reply = await machines.send(1, '/p/x', { ...patience, 'x-dogwoodspring-request-id': id })
  return { ...reply, tookMs: performance.now() - startedAt }
}

/** Opens a connection to the callers' address of sidecar 1. */
export async function rawConnection (address: string) {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  await new Promise((resolve) => socket.once('connect', resolve))
  let received = 0
  let text = ''
  let error: string | undefined
  let closed = false
  socket.on('error', (reason) => void (error = reason.message))
  socket.on('close', () => void (closed = true))
  return {
    socket,
    read: () => void socket.on('data', (chunk: Buffer) => {
      received += chunk.length
      if (text.length < 4096) text += chunk.toString('latin1')
    }),
    state: () => ({ received, text, error, closed })
  }
}

/** Returns the text of a request. */
export const get = (id: string, deadlineMs: number) => `GET /p/x HTTP/1.1\r\nhost: a.example\r\nx-dogwoodspring-request-id: ${id}\r\nx-dogwoodspring-deadline-ms: ${deadlineMs}\r\nx-dogwoodspring-key: secret\r\n\r\n`
