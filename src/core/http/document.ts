/** Result of reading a JSON document, or the reason why there is none. */
export type ReadDocument = { ok: true, value: unknown } | { ok: false, reason: string }

type Reader = ReadableStreamDefaultReader<Uint8Array>

/** Reads and discards the rest of a body: a cancelled one would close its connection before the answer is sent. */
async function discard (reader: Reader): Promise<void> {
  try {
    while (!(await reader.read()).done);
  } catch {
    // The body broke off; there is nothing more to discard.
  }
}

/** Reads a body of at most `maxBytes`. Returns undefined as soon as it is longer. */
async function readBytes (body: ReadableStream<Uint8Array> | null, maxBytes: number): Promise<Buffer | undefined> {
  if (body === null) return Buffer.alloc(0)
  const reader = body.getReader()
  const pieces: Uint8Array[] = []
  let size = 0
  for (let next = await reader.read(); !next.done; next = await reader.read()) {
    size += next.value.length
    if (size > maxBytes) {
      void discard(reader)
      return undefined
    }
    pieces.push(next.value)
  }
  return Buffer.concat(pieces)
}

const [quote, backslash] = [0x22, 0x5c]
const openers = new Set([0x5b, 0x7b])
const closers = new Set([0x5d, 0x7d])

/** Returns how deep arrays and objects are nested in a JSON text. Reading the text needs no recursion, which deep ones would not survive. */
function depthOf (text: string): number {
  let depth = 0
  let deepest = 0
  let inString = false
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index)
    if (inString && code === backslash) index++
    else if (code === quote) inString = !inString
    else if (!inString && openers.has(code)) deepest = Math.max(deepest, ++depth)
    else if (!inString && closers.has(code)) depth--
  }
  return deepest
}

function parse (text: string, maxDepth: number): ReadDocument {
  try {
    const value: unknown = JSON.parse(text)
    return maxDepth < Infinity && depthOf(text) > maxDepth ? { ok: false, reason: `the document is nested deeper than ${maxDepth} levels` } : { ok: true, value }
  } catch {
    return { ok: false, reason: 'the body is not valid JSON' }
  }
}

/** What a document may be. */
export interface DocumentLimits {
  maxBytes: number
  /** An empty body counts as an empty object. Default: false. */
  isOptional?: boolean
  /** Largest depth of nesting, for documents that are passed on whole; what is passed on is encoded recursively. Default: any depth. */
  maxDepth?: number
}

/** Reads a body of at most `maxBytes` of UTF-8, because anyone who reaches the listener may send any body. */
export async function readText (request: Request, maxBytes: number): Promise<{ ok: true, text: string } | { ok: false, reason: string }> {
  let bytes: Buffer | undefined
  try {
    bytes = await readBytes(request.body, maxBytes)
  } catch {
    return { ok: false, reason: 'the body broke off' }
  }
  if (bytes === undefined) return { ok: false, reason: `the body is larger than ${maxBytes} bytes` }
  try {
    return { ok: true, text: new TextDecoder('utf-8', { fatal: true }).decode(bytes) }
  } catch {
    return { ok: false, reason: 'the body is not valid UTF-8' }
  }
}

/** Reads a JSON document within limits. */
export async function readDocument (request: Request, { maxBytes, isOptional = false, maxDepth = Infinity }: DocumentLimits): Promise<ReadDocument> {
  const body = await readText(request, maxBytes)
  if (!body.ok) return body
  return body.text === '' && isOptional ? { ok: true, value: {} } : parse(body.text, maxDepth)
}
