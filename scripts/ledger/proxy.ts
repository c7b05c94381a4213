/** Bare proxy, for comparison: a server of `node:http` that sends each request on over a pool of `undici`. Usage: proxy.ts TARGET */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'

const connections = 64
const pool = new Pool(`http://${process.argv[2]}`, { connections, pipelining: 1 })

async function forward (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = incoming.method === 'GET' ? null : incoming
  const { statusCode, headers, body: answer } = await pool.request({ method: incoming.method as 'GET', path: incoming.url ?? '/', body, headers: { authorization: incoming.headers.authorization } })
  response.writeHead(statusCode, headers)
  answer.pipe(response)
}

const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
  forward(incoming, response).catch(() => response.destroy())
})
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo
  process.stdout.write(JSON.stringify({ listen: `127.0.0.1:${port}` }) + '\n')
})
