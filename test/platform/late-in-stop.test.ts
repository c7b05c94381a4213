import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Agent, request } from 'undici'
import { echo, pause, withServer } from './stopping.ts'

/** Time between two requests, in ms. Twenty answers at a time keep the server below its slots. */
const gapMs = 25

/** Work of the requests in turn, in ms. */
const workMs = [5, 20, 40, 60]

for (const stopping of [1, 2]) {
  const place = stopping === 1 ? 'the node where it came in' : 'the node of its server'
  test(`a request that a stop takes late is answered whole or has not run, at ${place}`, () => withServer(async ({ machines, server }) => {
    const agent = new Agent({ connections: 16, pipelining: 1, keepAliveTimeout: 20_000 })
    server.respondWith((incoming, response) => {
      const number = Number(String(incoming.headers['x-dogwoodspring-request-id']).split('-')[1])
      setTimeout(() => response.writeHead(200, echo(incoming)).end('whole answer'), workMs[number % workMs.length])
    })
    const replies = new Map<string, number>()
    const send = async (id: string) => {
      const headers = { host: 'a.example', 'x-dogwoodspring-request-id': id, 'x-dogwoodspring-deadline-ms': id.endsWith('1') || id.endsWith('3') ? '900' : '5000', 'x-dogwoodspring-key': 'secret' }
      try {
        const reply = await request(`http://${machines.sidecarIp(1)}:${machines.outboundPort}/p/x`, { method: 'GET', headers, dispatcher: agent, headersTimeout: 9000, bodyTimeout: 9000 })
        await reply.body.text()
        replies.set(id, reply.statusCode)
      } catch {
        replies.set(id, 0)
      }
    }
    const sending: Array<Promise<void>> = []
    let ended = false
    await pause(500)
    const exit = machines.kill(`sidecar-${stopping}`, 'SIGTERM').then((code) => {
      ended = true
      return code
    })
    for (let number = 0; !ended; number++) {
      sending.push(send(`late-${number}`))
      await pause(gapMs)
    }
    await Promise.all(sending)
    await agent.destroy()
    assert.equal(await exit, 0)
    const ran = new Set(server.received.map(({ headers }) => String(headers['x-dogwoodspring-request-id'])))
    const bad = [...replies].filter(([id, status]) => ran.has(id) ? status !== 200 : status === 200)
    assert.deepEqual(bad, [])
    assert.ok([...replies.values()].filter((status) => status === 200).length > 50)
  }, 'non_idempotent', '9s'))
}
