import assert from 'node:assert/strict'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { createInstanceServer } from '../../platform/instances.ts'
import { createOperatorServer } from '../../platform/operator.ts'
import type { SidecarSettings } from '../../platform/settings.ts'
import type { Control } from '../../src/core/control/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Node } from '../../src/core/node/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

const settings = { service: 's', serverAddress: '10.0.0.9:80' } as SidecarSettings
const heartbeat = { service: 's', address: '10.0.0.9:80', slots: 2, state: 'ready', sequence: 1, born: 1 }
const configuration = { version: 'r1', limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: '1s', idleTimeout: '1s' }, listeners: [], clusters: [] }

type Ending = 'end' | 'reset'

/** Sends bytes on a connection of its own, closes it, and returns what came back. */
function sendAndClose (port: number, bytes: string, ending: Ending | 'open'): Promise<string> {
  return new Promise((resolve) => {
    let text = ''
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true }, () => {
      if (bytes !== '') socket.write(bytes)
      if (ending === 'end') socket.end()
      if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), 1)
    })
    socket.on('data', (chunk) => {
      text += String(chunk)
    })
    socket.on('end', () => socket.destroy())
    socket.on('error', () => {})
    socket.on('close', () => resolve(text))
  })
}

interface Setting {
  port: number
  /** What the calls have done. */
  done: string[]
}

async function withServer (create: (done: string[]) => Server, use: (setting: Setting) => Promise<void>): Promise<void> {
  const done: string[] = []
  const server = create(done)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  try {
    await use({ port: (server.address() as AddressInfo).port, done })
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

const environment = { clock: systemClock, random: createRandom(1), log: silentLog, metrics: createMetrics() }

function createInstances (done: string[]): Server {
  const record = (name: string) => () => done.push(name) > 0
  return createInstanceServer({ announce: record('announce'), withdraw: record('withdraw') } as unknown as Node, settings, environment)
}

function createOperator (done: string[]): Server {
  const administer = async (_operator: string, { action }: { action: string }) => {
    done.push(action)
    return { status: 200, body: {} }
  }
  return createOperatorServer({ administer } as unknown as Control)
}

function framed (body: string): string {
  return `Content-Length: ${body.length}\r\n\r\n${body}`
}

function chunked (body: string): string {
  return `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
}

for (const [call, create, document, done] of [
  ['instances.deregister&of=i-1', createInstances, {}, 'withdraw'],
  ['instances.deregister&of=i-1', createInstances, { born: 1 }, 'withdraw'],
  ['instances.heartbeat&of=i-1', createInstances, heartbeat, 'announce'],
  ['config.replace', createOperator, configuration, 'deployment.set']
] as const) {
  for (const frame of [framed, chunked]) {
    const text = `POST /-/rpc?call=${call} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Dogwoodspring-Base-Version: 0\r\n${frame(JSON.stringify(document))}`
    test(`a call ${call} with ${JSON.stringify(document).slice(0, 12)} ${frame.name} that is cut after any byte does nothing`, () => withServer(create, async (setting) => {
      for (const ending of ['end', 'reset'] as const) {
        for (let cut = 0; cut < text.length; cut++) {
          const reply = await sendAndClose(setting.port, text.slice(0, cut), ending)
          await pause(1)
          assert.deepEqual([setting.done, /^HTTP\/1.1 2/.test(reply)], [[], false], `${ending} after ${JSON.stringify(text.slice(0, cut))}: ${reply}`)
        }
      }
      await pause(50)
      assert.deepEqual(setting.done, [])
      assert.match(await sendAndClose(setting.port, text, 'open'), /^HTTP\/1.1 200/)
      assert.deepEqual(setting.done, [done])
    }))
  }
}
