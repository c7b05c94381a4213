import type { IncomingMessage } from 'node:http'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'

const emptyBody = Buffer.alloc(0)

/** Reads a complete request body of at most `maxBodyBytes`. Fails for a body that is larger or incomplete. */
export function readBody (request: IncomingMessage, maxBodyBytes: number): Promise<Outcome<Buffer>> | Outcome<Buffer> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) {
    request.resume()
    return succeed(emptyBody)
  }
  if (Number(length ?? 0) > maxBodyBytes) return fail('bodyTooLarge', { limit: maxBodyBytes })
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBodyBytes) resolve(fail('bodyTooLarge', { limit: maxBodyBytes }))
      else chunks.push(chunk)
    })
    request.on('end', () => resolve(succeed(Buffer.concat(chunks))))
    request.on('close', () => resolve(fail('badRequest', { reason: 'the request body broke off' })))
    request.on('error', () => resolve(fail('badRequest', { reason: 'the request body broke off' })))
  })
}
