import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

const startTimeoutMs = 20_000

const running = new Set<ChildProcess>()

// A script that fails between the start of a child and its own clean-up would leave the child behind.
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

/** A child process that prints JSON lines to standard output. */
export interface Child {
  name: string
  process: ChildProcess
  /** Addresses that the process listens on, from its first line. */
  addresses: Record<string, string>
  /** Adds a listener for every line after the first. */
  onLine: (listener: (line: Record<string, unknown>) => void) => void
  signal: (name: NodeJS.Signals) => void
  /** Resolves with the exit code, or with null if a signal ended the process. */
  ended: Promise<number | null>
  /** Returns the last 200 kB that the process wrote to standard error. */
  log: () => string
}

/** Starts a child process and waits for its first line. */
export async function startChild (name: string, command: string, args: readonly string[], environment: Record<string, string> = {}): Promise<Child> {
  const child = spawn(command, args, { env: { ...process.env, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  running.add(child)
  child.once('exit', () => running.delete(child))
  let log = ''
  child.stderr.on('data', (chunk) => {
    log = (log + String(chunk)).slice(-200_000)
  })
  const listeners: Array<(line: Record<string, unknown>) => void> = []
  const ended = new Promise<number | null>((resolve) => child.once('exit', (code) => resolve(code)))
  const addresses = await new Promise<Record<string, string>>((resolve, reject) => {
    const timeout = setTimeout(() => reject(new Error(`${name} did not start in time: ${log}`)), startTimeoutMs)
    child.once('exit', (code) => reject(new Error(`${name} ended with ${code}: ${log}`)))
    let first = true
    createInterface({ input: child.stdout }).on('line', (text) => {
      const line = JSON.parse(text) as Record<string, unknown>
      if (!first) {
        for (const listener of listeners) listener(line)
        return
      }
      first = false
      clearTimeout(timeout)
      resolve(line as Record<string, string>)
    })
  })
  return {
    name,
    process: child,
    addresses,
    onLine: (listener) => void listeners.push(listener),
    signal: (signalName) => void child.kill(signalName),
    ended,
    log: () => log
  }
}
