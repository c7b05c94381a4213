import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { takeLoopbackNetwork } from '../../scripts/support/loopback.ts'

const program = join(import.meta.dirname, '../../platform/main.ts')
export const secret = 'cluster-secret-for-tests'
const callPath = '/-/rpc'

/** How a process is started. */
export interface Program {
  /** Arguments of Node.js before the command. */
  arguments: string[]
  /** Variables that the process gets beside those of the test. */
  env?: Record<string, string>
}

const programFromSources: Program = { arguments: ['--import', 'tsx', program] }

/** A response to a request of a test, with status 0 if there was none. */
export interface Reply {
  status: number
  text: string
  headers: Record<string, string | string[] | undefined>
}

/** Cores and sidecars as processes on loopback addresses; the test acts as the platform. */
export interface Machines {
  coreIp: (number: number) => string
  sidecarIp: (number: number) => string
  /** Returns the names of the processes that were started. */
  names: () => string[]
  /** Port of the sidecars for callers. */
  outboundPort: number
  startCore: (number: number, bootstrap: boolean, program?: Program) => void
  /** Starts a sidecar and the server beside it. Its log goes to the descriptor `log`, if there is one. */
  startSidecar: (number: number, service: string, log?: number, program?: Program) => Promise<AppServer>
  /** Starts a sidecar again after its process has ended; its server kept running. */
  restartSidecar: (number: number, service: string, program?: Program) => void
  /** Returns the exit code of a process once it has ended, or the name of the signal that ended it. */
  endOf: (name: string) => Promise<number | string>
  /** Sends a signal to a process and returns its exit code. */
  kill: (name: string, signal?: NodeJS.Signals) => Promise<number | null>
  deleteData: (number: number) => void
  replaceConfiguration: (core: number, base: string, document: object) => Promise<Reply>
  readConfiguration: (core: number) => Promise<Reply>
  /** Sends a request of a caller with some default headers; a header whose value is empty is left out. */
  send: (sidecar: number, path: string, headers?: Record<string, string>) => Promise<Reply>
  /** Sends from the address that the sidecar shares with its server. */
  sendFromMachine: (sidecar: number, path: string, headers?: Record<string, string>) => Promise<Reply>
  /** Sends a heartbeat with any body to a sidecar. */
  sendHeartbeatText: (sidecar: number, id: string, body: string) => Promise<Reply>
  /** Port for traffic between processes, the same on all machines. */
  peerPort: number
  /** Port of the control listener, the same on all machines. */
  controlPort: number
  /** Port at which sidecars report whether they are ready, the last one that they open. */
  readyPort: number
  isRunning: (name: string) => boolean
  /** Returns the process id of a core or a sidecar. */
  pidOf: (name: string) => number
  /** Opens a connection of a caller that has sent nothing yet. Resolves undefined when the sidecar accepts none. */
  connect: (sidecar: number) => Promise<OpenCaller | undefined>
  readyStatus: (sidecar: number) => Promise<number>
  logOf: (name: string) => string
  /** Closes the reading end of the log of a process. */
  closeLog: (name: string) => void
  stop: () => Promise<void>
}

/** A caller with an open connection. */
export interface OpenCaller {
  /** Sends a request and resolves, once the connection has closed, with all that was received. */
  send: (path: string, requestId: string) => Promise<string>
}

/** The server beside a sidecar. */
export interface AppServer {
  /** Requests that reached the server. */
  received: IncomingMessage[]
  sendHeartbeat: (state: 'ready' | 'draining') => Promise<number>
  /** Replaces the default response. */
  respondWith: (answer: (request: IncomingMessage, response: ServerResponse) => void) => void
}

async function sendCall (url: string, options: Parameters<typeof request>[1]): Promise<Reply> {
  try {
    const answer = await request(url, { headersTimeout: 5000, bodyTimeout: 5000, ...options })
    return { status: answer.statusCode, text: await answer.body.text(), headers: answer.headers }
  } catch (error) {
    return { status: 0, text: error instanceof Error ? error.message : String(error), headers: {} }
  }
}

/** Lines of each log that a failure shows. */
const shownLogLines = 6

/** Returns the last lines that the processes of all machines that run have logged. */
export function lastLogLines (): string {
  const lines = [...running].flatMap((machines) => machines.names().map((name) => `--- ${name}\n${machines.logOf(name).trimEnd().split('\n').slice(-shownLogLines).join('\n')}`))
  return lines.join('\n')
}

/** Machines that have not been stopped yet. */
const running = new Set<Machines>()

/** Repeats `check` until it holds; throws after `withinMs`. */
export async function eventually (check: () => Promise<boolean>, withinMs = 15_000): Promise<void> {
  const until = performance.now() + withinMs
  while (performance.now() < until) {
    if (await check()) return
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
  throw new Error(`the condition was not met in ${withinMs} ms: ${String(check)}\n${lastLogLines()}`)
}

/** Prepares machines in a loopback network of their own. */
export async function createMachines (): Promise<Machines> {
  const folder = mkdtempSync(join(tmpdir(), 'machines-'))
  const network = await takeLoopbackNetwork()
  const [peer, control, outbound, ready, app] = [network.nextPort(16), network.nextPort(), network.nextPort(), network.nextPort(), network.nextPort()]
  const children = new Map<string, { child: ChildProcess, ended: Promise<number | null>, log: string[] }>()
  const servers: Server[] = []
  const coreIp = (number: number) => network.host(1, number)
  const sidecarIp = (number: number) => network.host(2, number)
  const startProcess = (command: string, name: string, ip: string, changes: object, { arguments: programArguments, env }: Program, logDescriptor?: number) => {
    const path = join(folder, `${name}.json`)
    writeFileSync(path, JSON.stringify({
      name,
      domain: `zone-${name.at(-1)}`,
      ip,
      peerPorts: [peer, peer + 15],
      seeds: [1, 2, 3].map((number) => `${coreIp(number)}:${control}`),
      bootstrap: true,
      bounds: { drain: '2000ms', grace: '6s', quotaWindow: '5s' },
      controlAddress: `${ip}:${control}`,
      ...changes
    }))
    const child = spawn(process.execPath, [...programArguments, command], {
      env: { ...process.env, ...env, DOGWOODSPRING_BOOT: path, DOGWOODSPRING_CLUSTER_SECRET: secret }, stdio: ['ignore', 'ignore', logDescriptor ?? 'pipe']
    })
    const log: string[] = []
    child.stderr?.on('data', (chunk) => log.push(String(chunk)))
    const ended = new Promise<number | null>((resolve) => child.once('exit', (code) => resolve(code)))
    children.set(name, { child, ended, log })
  }
  const startSidecarProcess = (number: number, service: string, logDescriptor?: number, program = programFromSources) => {
    const ip = sidecarIp(number)
    startProcess('sidecar', `sidecar-${number}`, ip, { callerAddress: `${ip}:${outbound}`, readyAddress: `${ip}:${ready}`, service, serverAddress: `${ip}:${app}` }, program, logDescriptor)
  }
  const startAppServer = async (number: number, service: string): Promise<AppServer> => {
    const received: IncomingMessage[] = []
    let respond = (incoming: IncomingMessage, response: ServerResponse) => {
      response.writeHead(200, { 'x-dogwoodspring-request-id': incoming.headers['x-dogwoodspring-request-id'], 'x-dogwoodspring-server-stamp': 'stamp' }).end('whole answer')
    }
    const server = createServer((incoming, response) => {
      received.push(incoming)
      incoming.resume()
      incoming.on('end', () => respond(incoming, response))
    })
    servers.push(server)
    await new Promise<void>((resolve) => server.listen(app, sidecarIp(number), resolve))
    let sequence = 0
    const sendHeartbeat = async (state: 'ready' | 'draining') => {
      const body = JSON.stringify({ service, address: `${sidecarIp(number)}:${app}`, zone: 'z', version: 'v1', slots: 4, state, coldLeft: '0ms', sequence: ++sequence, born: 1_700_000_000_000 })
      const reply = await sendCall(`http://${sidecarIp(number)}:${control}${callPath}?call=instances.heartbeat&of=i-${number}`, { method: 'POST', body })
      return reply.status
    }
    return { received, sendHeartbeat, respondWith: (next) => void (respond = next) }
  }
  const send = (sidecar: number, path: string, changes: Record<string, string> = {}, dispatcher?: Dispatcher) => {
    const all: Record<string, string> = { host: 'a.example', 'x-dogwoodspring-request-id': 'id-1', 'x-dogwoodspring-deadline-ms': '4000', 'x-dogwoodspring-key': 'secret', ...changes }
    const headers = Object.fromEntries(Object.entries(all).filter(([, value]) => value !== ''))
    const patienceMs = Number(headers['x-dogwoodspring-deadline-ms']) + 1000
    return sendCall(`http://${sidecarIp(sidecar)}:${outbound}${path}`, { method: 'GET', headers, dispatcher, headersTimeout: patienceMs, bodyTimeout: patienceMs })
  }
  const openConnection = (sidecar: number) => new Promise<OpenCaller | undefined>((resolve) => {
    const socket = connect(outbound, sidecarIp(sidecar))
    let received = ''
    const closed = new Promise<string>((_resolve) => socket.once('close', () => _resolve(received)))
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1')
    })
    socket.once('error', () => resolve(undefined))
    socket.once('connect', () => resolve({
      send (path, requestId) {
        const fields = ['host: a.example', `x-dogwoodspring-request-id: ${requestId}`, 'x-dogwoodspring-deadline-ms: 4000', 'x-dogwoodspring-key: secret', 'connection: close']
        if (socket.writable) socket.write([`GET ${path} HTTP/1.1`, ...fields, '', ''].join('\r\n'))
        return closed
      }
    }))
  })
  const machines: Machines = {
    coreIp,
    sidecarIp,
    names: () => [...children.keys()],
    outboundPort: outbound,
    startCore (number, bootstrap, program = programFromSources) {
      const dataFolder = join(folder, `data-${number}`)
      mkdirSync(dataFolder, { recursive: true })
      startProcess('core', `core-${number}`, coreIp(number), { bootstrap, dataFolder }, program)
    },
    async startSidecar (number, service, log, program) {
      startSidecarProcess(number, service, log, program)
      return await startAppServer(number, service)
    },
    restartSidecar: (number, service, program) => startSidecarProcess(number, service, undefined, program),
    async endOf (name) {
      const started = children.get(name)
      const code = await started?.ended
      return code ?? started?.child.signalCode ?? 'not started'
    },
    async kill (name, signal = 'SIGKILL') {
      const running = children.get(name)
      running?.child.kill(signal)
      return await running?.ended ?? null
    },
    deleteData: (number) => rmSync(join(folder, `data-${number}`), { recursive: true, force: true }),
    replaceConfiguration: (core, base, document) => sendCall(`http://${coreIp(core)}:${control}${callPath}?call=config.replace`, {
      method: 'POST', headers: { 'x-dogwoodspring-base-version': base, 'content-type': 'application/json' }, body: JSON.stringify(document)
    }),
    readConfiguration: (core) => sendCall(`http://${coreIp(core)}:${control}${callPath}?call=config.get`, { method: 'POST' }),
    send: (sidecar, path, headers) => send(sidecar, path, headers),
    sendFromMachine: (sidecar, path, headers) => send(sidecar, path, headers, new Agent({ localAddress: sidecarIp(sidecar) })),
    sendHeartbeatText: (sidecar, id, body) => sendCall(`http://${sidecarIp(sidecar)}:${control}${callPath}?call=instances.heartbeat&of=${id}`, { method: 'POST', body }),
    peerPort: peer,
    controlPort: control,
    readyPort: ready,
    isRunning: (name) => children.get(name)?.child.exitCode === null && children.get(name)?.child.signalCode === null,
    pidOf: (name) => children.get(name)?.child.pid ?? 0,
    connect: openConnection,
    readyStatus: async (sidecar) => (await sendCall(`http://${sidecarIp(sidecar)}:${ready}/-/ready`, { method: 'GET' })).status,
    logOf: (name) => children.get(name)?.log.join('') ?? '',
    closeLog: (name) => void children.get(name)?.child.stderr?.destroy(),
    async stop () {
      for (const { child } of children.values()) child.kill('SIGKILL')
      await Promise.all([...children.values()].map(({ ended }) => ended))
      for (const server of servers) {
        server.close()
        server.closeAllConnections()
      }
      rmSync(folder, { recursive: true, force: true })
      running.delete(machines)
      await network.release()
    }
  }
  running.add(machines)
  return machines
}

/** Builds a configuration with one route to `service` and one key. */
export function configuration (version: number, service: string, key = 'secret'): object {
  return {
    version: `r${version}`,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeout: '3000ms', idleTimeout: '15s' },
    tenants: [{ name: 'w', apiKeys: [key], ratePerS: 100, burst: 100 }],
    listeners: [{ host: 'a.example', routeRules: [{ name: 'r', kind: 'idempotent', targetLatency: '500ms', match: { pathPrefix: '/p/' }, action: { service, timeout: '3s', maxAttempts: 2 } }] }],
    clusters: [{ name: service, healthPath: '/health', maxConnections: 20, protocol: 'h1', tls: false }]
  }
}
