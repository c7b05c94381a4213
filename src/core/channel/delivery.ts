/** An encoded frame that is not sent or not acknowledged yet. */
export interface QueuedFrame {
  stream: number
  /** The frame opens its stream: the other side does not know the stream before it arrives. */
  opensStream: boolean
  encoded: Uint8Array
}

interface SentFrame {
  frame: QueuedFrame
  /** Monotonic time at which the frame was first sent. */
  sentAt: number
}

/**
 * Delivery state of one side of a session, whose frames arrive in order and exactly once over successive connections.
 * Both sides count the frames that they receive. On a new connection each side sends its count,
 * and the other retransmits the frames beyond it.
 */
export interface Delivery {
  unsent: QueuedFrame[]
  unacknowledged: SentFrame[]
  /** Number of frames that the other side has acknowledged. */
  acknowledged: number
  /** Number of frames received from the other side. */
  received: number
  /** Count of received frames that was last sent to the other side. */
  reported: number
}

/** Creates the state of a new session. */
export function createDelivery (): Delivery {
  return { unsent: [], unacknowledged: [], acknowledged: 0, received: 0, reported: 0 }
}

/** Queues a frame. */
export function enqueue (delivery: Delivery, frame: QueuedFrame): void {
  delivery.unsent.push(frame)
}

/** Returns the unsent frames for writing and keeps them until they are acknowledged. */
export function takeUnsent (delivery: Delivery, now: number): QueuedFrame[] {
  const frames = delivery.unsent
  delivery.unsent = []
  for (const frame of frames) delivery.unacknowledged.push({ frame, sentAt: now })
  return frames
}

/** Applies the other side's count of received frames. Returns false for a count of more frames than were sent. */
export function acknowledge (delivery: Delivery, count: number): boolean {
  const newlyAcknowledged = count - delivery.acknowledged
  if (newlyAcknowledged > delivery.unacknowledged.length) return false
  if (newlyAcknowledged <= 0) return true
  delivery.unacknowledged.splice(0, newlyAcknowledged)
  delivery.acknowledged = count
  return true
}

/** Returns the frames to retransmit on a new connection, or undefined when the other side's count does not match this session. */
export function resumeDelivery (delivery: Delivery, count: number): QueuedFrame[] | undefined {
  if (count < delivery.acknowledged || !acknowledge(delivery, count)) return undefined
  return delivery.unacknowledged.map(({ frame }) => frame)
}

/** Removes the frames of a stream of which nothing was sent yet. Returns false if its opening frame was sent. */
export function withdrawUnsent (delivery: Delivery, stream: number): boolean {
  if (!delivery.unsent.some((frame) => frame.opensStream && frame.stream === stream)) return false
  delivery.unsent = delivery.unsent.filter((frame) => frame.stream !== stream)
  return true
}

/** Returns the streams whose opening frame was sent and not received, once the other side has acknowledged all that it will ever receive. */
export function unreceivedStreams (delivery: Delivery): Set<number> {
  const openings = delivery.unacknowledged.filter(({ frame }) => frame.opensStream)
  return new Set(openings.map(({ frame }) => frame.stream))
}

/** Returns the age of the oldest unacknowledged frame, in milliseconds. */
export function oldestUnacknowledgedAge (delivery: Delivery, now: number): number {
  const [oldest] = delivery.unacknowledged
  return oldest === undefined ? 0 : now - oldest.sentAt
}
