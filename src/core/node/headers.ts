import type { IncomingHttpHeaders } from 'node:http'

const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
const credentialHeaders = new Set(['authorization', 'cookie'])
const keyPattern = /dws_[0-9a-f]{12}_[A-Za-z0-9_-]{32}/

const maxDecodings = 3

function decodePercent (text: string): string {
  return text.replace(/%([0-9a-f]{2})/gi, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
}

/** Returns true when a text contains something that looks like a key, also if it was percent-encoded up to three times. */
export function containsKey (text: string): boolean {
  let decoded = text
  for (let count = 0; count <= maxDecodings; count++) {
    if (keyPattern.test(decoded)) return true
    if (!decoded.includes('%')) return false
    decoded = decodePercent(decoded)
  }
  return false
}

const noNames: ReadonlySet<string> = new Set()

/** Returns the names of headers that a Connection header lists. The usual values name none. */
function namesIn (connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined || connection === '' || connection === 'keep-alive' || connection === 'close') return noNames
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()))
}

function connectionHeaderNames (rawHeaders: readonly string[]): ReadonlySet<string> {
  let names = noNames
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].length !== 'connection'.length || rawHeaders[index].toLowerCase() !== 'connection') continue
    const listed = namesIn(rawHeaders[index + 1])
    names = names === noNames ? listed : new Set([...names, ...listed])
  }
  return names
}

/** Returns true for a header that contains a key. */
export function isCredential (name: string, value: string): boolean {
  return (credentialHeaders.has(name) && keyPattern.test(value)) || containsKey(value)
}

/** Returns the headers that are forwarded with a request: all but hop-by-hop headers, host, content-length and those that `isDropped` selects. */
export function requestHeaders (rawHeaders: readonly string[], isDropped: (name: string, value: string) => boolean): string[] {
  const connectionHeaders = connectionHeaderNames(rawHeaders)
  const kept: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    const value = rawHeaders[index + 1]
    if (hopByHopHeaders.has(name) || connectionHeaders.has(name) || name === 'content-length' || name === 'host') continue
    if (isDropped(name, value)) continue
    kept.push(name, value)
  }
  return kept
}

/** Returns the headers that are passed back with an answer: all but hop-by-hop headers and those that `isDropped` selects. */
export function answerHeaders (headers: IncomingHttpHeaders, isDropped: (name: string) => boolean): string[] {
  const connectionHeaders = namesIn(headers.connection)
  const kept: string[] = []
  for (const name of Object.keys(headers)) {
    const value = headers[name]
    if (value === undefined || hopByHopHeaders.has(name) || connectionHeaders.has(name) || isDropped(name)) continue
    if (typeof value === 'string') kept.push(name, value)
    else for (const item of value) kept.push(name, item)
  }
  return kept
}

/** Returns the value of a header in an alternating list, by lower-case name. */
export function headerOf (headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index] === name) return headers[index + 1]
  }
  return undefined
}
