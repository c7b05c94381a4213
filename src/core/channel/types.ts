/** Kinds of frames, with their numbers on the wire. */
export const frameKind = {
  /**
   * Number of frames of the session received so far: [kind, count, whether the sender ends the session and receives no more]. Not counted itself. Earlier
   * versions neither send nor read the third field.
   */
  acknowledge: 0,
  /** Asks for an acknowledgement: [kind]. Not counted itself. */
  probe: 1,
  /** Opens a stream: [kind, stream, opening, whether the dialer sends nothing after the opening]. */
  open: 2,
  /** Structured value on a stream: [kind, stream, value]. */
  message: 3,
  /** Piece of a body: [kind, stream, bytes]. */
  bytes: 4,
  /** The sender sends no more on the stream: [kind, stream]. */
  end: 5,
  /** Aborts the stream in both directions: [kind, stream]. */
  reset: 6,
  /** Allows the receiver of the frame to send more bytes: [kind, stream, bytes]. */
  credit: 7
} as const

/** A frame of a session. */
export type Frame =
  | { kind: typeof frameKind.acknowledge, received: number, final: boolean }
  | { kind: typeof frameKind.probe }
  | { kind: typeof frameKind.open, stream: number, opening: unknown, ended: boolean }
  | { kind: typeof frameKind.message, stream: number, value: unknown }
  | { kind: typeof frameKind.bytes, stream: number, piece: Uint8Array }
  | { kind: typeof frameKind.end, stream: number }
  | { kind: typeof frameKind.reset, stream: number }
  | { kind: typeof frameKind.credit, stream: number, bytes: number }

/** Callbacks for the events of a stream. */
export interface StreamListener {
  message: (value: unknown) => void
  /** Receives a piece of a body. `consumed` must be called once it is processed, which grants credit for more. */
  bytes: (piece: Uint8Array, consumed: () => void) => void
  /** The other side sends nothing more. */
  end: () => void
  /** The other side aborted the stream. */
  reset: () => void
  /** The dialer lost its connection and did not reconnect within `disconnectGraceMs`. It may still reconnect. */
  dialerDisconnected: () => void
  /** The session has ended. If `sent` is false, no byte of the stream was sent, or the other side has ended the session without receiving its opening. */
  sessionEnded: (sent: boolean) => void
}

/** One bidirectional exchange of messages and bytes. */
export interface Stream {
  message: (value: unknown) => void
  /** Sends bytes. Returns false while some are queued for lack of credit. */
  bytes: (piece: Uint8Array) => boolean
  /** Calls `listener` once, when the queue is empty or the stream has ended. */
  onDrain: (listener: () => void) => void
  end: () => void
  /** Aborts the stream. */
  reset: () => void
}

/** Listener that ignores all events. */
export const noopListener: StreamListener = { message () {}, bytes () {}, end () {}, reset () {}, dialerDisconnected () {}, sessionEnded () {} }
