/** What the first line of every request contains. */
const requestMark = Buffer.from('HTTP/')

const lineFeed = 0x0a

/**
 * Returns the end of the first piece of a chunk: a piece in which at most `maxRequests` requests begin. It ends before a line, so that no request is
 * begun without need. What looks like a request within a body only makes pieces smaller.
 */
export function endOfPiece (chunk: Buffer, maxRequests: number): number {
  let mark = -1
  for (let count = 0; count <= maxRequests; count++) {
    mark = chunk.indexOf(requestMark, mark + 1)
    if (mark < 0) return chunk.length
  }
  const lineStart = chunk.lastIndexOf(lineFeed, mark) + 1
  return lineStart > 0 ? lineStart : mark
}
