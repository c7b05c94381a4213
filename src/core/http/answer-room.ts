import type { ServerResponse } from 'node:http'
import type { H3Event } from 'h3'

/** Size up to which an answer is sent whatever else is held, in bytes: its connection takes it at once. */
const smallBytes = 64 * 1024

/** Size of the answers held for their readers from which on no further large one is begun, in bytes. */
export const maxHeldBytes = 16 * 1024 * 1024

/** Time within which a reader has to take an answer, in milliseconds; those who asked have given up before. */
export const takeTimeoutMs = 5000

/** Room in the memory of a process for answers that their readers have not taken yet. */
export interface AnswerRoom {
  /** Returns false while no further large answer may be begun. */
  isOpen: () => boolean
  /** Holds room for an answer until its reader has taken it, and cuts one that is not taken in time. Returns false if there is no room for it. */
  hold: (response: ServerResponse, bytes: number) => boolean
}

/** Creates the room of one listener. Readers that have stopped cost its process a bounded size, and only for a bounded time. */
export function createAnswerRoom (): AnswerRoom {
  let heldBytes = 0
  const isOpen = () => heldBytes < maxHeldBytes
  return {
    isOpen,
    hold (response, bytes) {
      if (bytes > smallBytes && !isOpen()) return false
      heldBytes += bytes
      const cut = setTimeout(() => response.destroy(), takeTimeoutMs)
      response.once('close', () => {
        clearTimeout(cut)
        heldBytes -= bytes
      })
      return true
    }
  }
}

/** Holds room for a text with which a call of an operator is answered. Returns false if there is none. */
export function holdAnswer (room: AnswerRoom, event: H3Event, text: string): boolean {
  const response = event.runtime?.node?.res as ServerResponse | undefined
  return response === undefined || room.hold(response, Buffer.byteLength(text))
}
