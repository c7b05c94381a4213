/** Result of reading a JSON document, or the reason why there is none. */
export type ReadDocument = { ok: true, text: string, value: unknown } | { ok: false, reason: string }

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

function parse (text: string): ReadDocument {
  try {
    return { ok: true, text, value: JSON.parse(text) }
  } catch {
    return { ok: false, reason: 'the body is not valid JSON' }
  }
}

/** Reads a JSON document of at most `maxBytes`, because anyone who reaches the listener may send any body. An empty body is an empty object if `isOptional`. */
export async function readDocument (request: Request, maxBytes: number, isOptional = false): Promise<ReadDocument> {
  let bytes: Buffer | undefined
  try {
    bytes = await readBytes(request.body, maxBytes)
  } catch {
    return { ok: false, reason: 'the body broke off' }
  }
  if (bytes === undefined) return { ok: false, reason: `the body is larger than ${maxBytes} bytes` }
  if (bytes.length === 0 && isOptional) return { ok: true, text: '', value: {} }
  try {
    return parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  } catch {
    return { ok: false, reason: 'the body is not valid UTF-8' }
  }
}
