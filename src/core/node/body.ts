import type { IncomingMessage } from 'node:http'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'

const noBytes = Buffer.alloc(0)

/** Reads a request body of at most `maxBodyBytes` whole. A body that breaks off or is too large is a failure. */
export function readBody (request: IncomingMessage, maxBodyBytes: number): Promise<Outcome<Buffer>> | Outcome<Buffer> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) {
    request.resume()
    return succeed(noBytes)
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
