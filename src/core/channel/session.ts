import type { Socket } from 'node:net'
import type { Clock } from '../clock/index.ts'
import { createDecoder, encodeFrame } from './codec.ts'
import { acknowledgeBytes, endGraceMs } from './constants.ts'
import { acknowledge, createDelivery, enqueue, oldestUnacknowledgedAge, resumeDelivery, takeUnsent, unreceivedStreams, withdrawUnsent } from './delivery.ts'
import { createFlow, creditFor, queueBytes, takePieces } from './flow.ts'
import type { Flow } from './flow.ts'
import { frameKind, noopListener } from './types.ts'
import type { Frame, Stream, StreamListener } from './types.ts'

interface OpenStream {
  listener: StreamListener
  flow: Flow
  drainListeners: Array<() => void>
  /** This side ends the stream once its queue is empty. */
  ending: boolean
  sentEnd: boolean
  receivedEnd: boolean
}

/**
 * Returns the streams that frames which arrived together reset, or undefined. The other side has given up on those that the same frames open:
 * a process that reads late, as it is busy, should not begin them.
 */
function abandonedStreams (frames: readonly Frame[]): Set<number> | undefined {
  let abandoned: Set<number> | undefined
  for (const frame of frames) {
    if (frame.kind !== frameKind.reset) continue
    abandoned ??= new Set()
    abandoned.add(frame.stream)
  }
  return abandoned
}

/**
 * Ends a connection with its last bytes and lets the other side close it. Closing it at once would reset it if anything lay unread, which may overtake
 * the last bytes.
 */
function endConnection (socket: Socket, lastBytes: Buffer): void {
  socket.resume()
  socket.end(lastBytes)
  const timer = setTimeout(() => socket.destroy(), endGraceMs)
  socket.once('close', () => clearTimeout(timer))
}

/** Accepts a stream that the other side opened and returns its listener. */
export type StreamAcceptor = (opening: unknown, stream: Stream) => StreamListener

/** Callbacks of a session to its owner. */
export interface SessionEvents {
  /** Bytes were written to the connection, apart from retransmissions. */
  sent: (bytes: number) => void
  /** The connection broke or sent data of another protocol. The session continues when a new one is attached. */
  disconnected: () => void
  /** The other side has ended the session as planned: it has counted all that it received, and sends nothing more. */
  ended: () => void
  accept: StreamAcceptor
}

/** One side of a session: streams over successive connections. */
export interface Session {
  /** Uses a new connection to the other side, which has received `count` frames. Returns false when that count does not match this session. */
  attach: (socket: Socket, head: Buffer, count: number) => boolean
  /** Pauses reading until `attach` or `resumeReading` and returns the number of frames received. The other side continues from that count, which must not change before. */
  pauseReading: () => number
  /** Resumes reading from the current connection, if any, after no new one could be opened. */
  resumeReading: () => void
  isConnected: () => boolean
  open: (opening: unknown, openingOnly: boolean, listener: StreamListener) => Stream
  /** Returns the number of open streams. */
  size: () => number
  /** Returns true while the current connection has open streams or bytes that were not passed to the system yet. */
  isSending: () => boolean
  /** Returns the time since data was last received, in milliseconds. */
  silenceMs: () => number
  /** Returns the age of the oldest unacknowledged frame, in milliseconds. */
  stallMs: () => number
  /** Asks the other side for an acknowledgement. */
  probe: () => void
  /** Ends the streams of which nothing was sent yet. Notifies their listeners that nothing was sent. */
  dropUnsent: () => void
  /** Notifies all streams that the dialer is disconnected, possibly only for a time. */
  notifyDialerDisconnected: () => void
  /** Ends all streams and the connection. */
  close: () => void
}

/**
 * Creates a session. Streams of the dialer have odd numbers; the other side opens none. Received frames are acknowledged with the
 * next frame that is sent, or after `acknowledgeAfterMs`, or once `acknowledgeBytes` have arrived.
 */
export function createSession (clock: Clock, events: SessionEvents, acknowledgeAfterMs: number): Session {
  const delivery = createDelivery()
  const streams = new Map<number, OpenStream>()
  let nextStream = 1
  let connection: Socket | undefined
  let lastReceivedAt = clock.now()
  let flushScheduled = false
  let acknowledgeTimer: NodeJS.Timeout | undefined
  let unacknowledgedBytes = 0
  let isClosed = false
  let hasOtherEnded = false

  const flush = () => {
    flushScheduled = false
    if (connection === undefined) return
    const queued = takeUnsent(delivery, clock.now())
    if (queued.length === 0) return
    const encoded = queued.map((frame) => frame.encoded)
    if (delivery.reported !== delivery.received) encoded.push(encodeAcknowledgement())
    const bytes = encoded.length === 1 ? encoded[0] : Buffer.concat(encoded)
    events.sent(bytes.length)
    connection.write(bytes)
  }
  const send = (frame: Extract<Frame, { stream: number }>) => {
    enqueue(delivery, { stream: frame.stream, opensStream: frame.kind === frameKind.open, encoded: encodeFrame(frame) })
    if (flushScheduled || connection === undefined) return
    flushScheduled = true
    process.nextTick(flush)
  }
  const encodeAcknowledgement = (): Buffer => {
    clearTimeout(acknowledgeTimer)
    acknowledgeTimer = undefined
    unacknowledgedBytes = 0
    delivery.reported = delivery.received
    return encodeFrame({ kind: frameKind.acknowledge, received: delivery.received, final: isClosed })
  }
  const acknowledgeNow = () => {
    acknowledgeTimer = undefined
    connection?.write(encodeAcknowledgement())
  }
  const removeWhenEnded = (id: number, stream: OpenStream) => {
    if (stream.sentEnd && stream.receivedEnd) streams.delete(id)
  }
  const notifyDrained = (stream: OpenStream) => {
    const listeners = stream.drainListeners
    stream.drainListeners = []
    for (const listener of listeners) listener()
  }
  const sendQueued = (id: number, stream: OpenStream) => {
    for (const piece of takePieces(stream.flow)) send({ kind: frameKind.bytes, stream: id, piece })
    if (stream.flow.queue.length > 0) return
    notifyDrained(stream)
    if (!stream.ending || stream.sentEnd) return
    stream.sentEnd = true
    send({ kind: frameKind.end, stream: id })
    removeWhenEnded(id, stream)
  }
  const removeStream = (id: number): OpenStream | undefined => {
    const stream = streams.get(id)
    streams.delete(id)
    if (stream !== undefined) notifyDrained(stream)
    return stream
  }
  const createHandle = (id: number, state: OpenStream): Stream => ({
    message (value) {
      if (streams.get(id) === state) send({ kind: frameKind.message, stream: id, value })
    },
    bytes (piece) {
      if (streams.get(id) !== state) return true
      queueBytes(state.flow, piece)
      sendQueued(id, state)
      return state.flow.queue.length === 0
    },
    onDrain (listener) {
      if (streams.get(id) !== state || state.flow.queue.length === 0) return listener()
      state.drainListeners.push(listener)
    },
    end () {
      state.ending = true
      if (streams.get(id) === state) sendQueued(id, state)
    },
    reset () {
      if (streams.get(id) !== state) return
      removeStream(id)
      if (!withdrawUnsent(delivery, id)) send({ kind: frameKind.reset, stream: id })
    }
  })
  const createState = (listener: StreamListener, sentEnd: boolean, receivedEnd: boolean): OpenStream =>
    ({ listener, flow: createFlow(), drainListeners: [], ending: sentEnd, sentEnd, receivedEnd })

  const handle = (frame: Frame) => {
    switch (frame.kind) {
      case frameKind.acknowledge: return receiveAcknowledgement(frame.received, frame.final)
      case frameKind.probe: return acknowledgeNow()
    }
    delivery.received++
    if (frame.kind === frameKind.open) return acceptStream(frame.stream, frame.opening, frame.ended)
    const stream = streams.get(frame.stream)
    if (stream !== undefined) receive(frame, stream)
  }
  const receiveAcknowledgement = (received: number, final: boolean) => {
    const isValid = acknowledge(delivery, received)
    if (!final || !isValid) return
    hasOtherEnded = true
    events.ended()
  }
  const acceptStream = (id: number, opening: unknown, ended: boolean) => {
    const state = createState(noopListener, false, ended)
    streams.set(id, state)
    state.listener = events.accept(opening, createHandle(id, state))
    if (ended) state.listener.end()
  }
  const receive = (frame: Extract<Frame, { stream: number }>, stream: OpenStream) => {
    const { listener, flow } = stream
    switch (frame.kind) {
      case frameKind.message: return listener.message(frame.value)
      case frameKind.bytes: return listener.bytes(frame.piece, () => {
        const bytes = creditFor(flow, frame.piece.length)
        if (bytes > 0 && streams.get(frame.stream) === stream) send({ kind: frameKind.credit, stream: frame.stream, bytes })
      })
      case frameKind.credit:
        flow.credit += frame.bytes
        return sendQueued(frame.stream, stream)
      case frameKind.end:
        stream.receivedEnd = true
        removeWhenEnded(frame.stream, stream)
        return listener.end()
      case frameKind.reset:
        removeStream(frame.stream)
        return listener.reset()
    }
  }
  const detach = (socket: Socket) => {
    if (connection !== socket) return
    connection = undefined
    socket.destroy()
    events.disconnected()
  }
  const listenOn = (socket: Socket, head: Buffer) => {
    const decoder = createDecoder()
    const read = (chunk: Buffer) => {
      if (connection !== socket) return
      lastReceivedAt = clock.now()
      const frames = decoder.read(chunk)
      if (frames === undefined) return detach(socket)
      const abandoned = abandonedStreams(frames)
      for (const frame of frames) {
        if (isClosed) return // The count that ended the session stays true.
        if (frame.kind === frameKind.open && abandoned?.has(frame.stream) === true) delivery.received++
        else handle(frame)
      }
      if (isClosed || delivery.reported === delivery.received) return
      unacknowledgedBytes += chunk.length
      if (unacknowledgedBytes >= acknowledgeBytes) acknowledgeNow()
      else acknowledgeTimer ??= setTimeout(acknowledgeNow, acknowledgeAfterMs)
    }
    socket.setNoDelay(true)
    socket.on('data', read)
    socket.on('error', () => detach(socket))
    socket.on('end', () => detach(socket))
    socket.on('close', () => detach(socket))
    if (head.length > 0) read(head)
  }
  return {
    attach (socket, head, count) {
      const retransmitted = resumeDelivery(delivery, count)
      if (retransmitted === undefined) return false
      const previous = connection
      connection = socket
      previous?.destroy()
      lastReceivedAt = clock.now()
      if (retransmitted.length > 0) socket.write(Buffer.concat(retransmitted.map((frame) => frame.encoded)))
      flush()
      listenOn(socket, head)
      return true
    },
    pauseReading () {
      connection?.pause()
      delivery.reported = delivery.received
      return delivery.received
    },
    resumeReading: () => void connection?.resume(),
    isConnected: () => connection !== undefined,
    open (opening, openingOnly, listener) {
      const id = nextStream
      nextStream += 2
      const state = createState(listener, openingOnly, false)
      streams.set(id, state)
      send({ kind: frameKind.open, stream: id, opening, ended: openingOnly })
      return createHandle(id, state)
    },
    size: () => streams.size,
    isSending: () => connection !== undefined && (streams.size > 0 || connection.writableLength > 0),
    silenceMs: () => clock.now() - lastReceivedAt,
    stallMs: () => oldestUnacknowledgedAge(delivery, clock.now()),
    probe () {
      connection?.write(encodeFrame({ kind: frameKind.probe }))
    },
    dropUnsent () {
      for (const id of [...streams.keys()]) {
        if (withdrawUnsent(delivery, id)) removeStream(id)?.listener.sessionEnded(false)
      }
    },
    notifyDialerDisconnected () {
      for (const { listener } of [...streams.values()]) listener.dialerDisconnected()
    },
    close () {
      if (isClosed) return
      isClosed = true
      const unreceived = hasOtherEnded ? unreceivedStreams(delivery) : new Set<number>()
      const lost = [...streams.keys()].map((id) => ({ id, sent: !withdrawUnsent(delivery, id) && !unreceived.has(id) }))
      flush()
      const socket = connection
      connection = undefined
      const count = encodeAcknowledgement()
      if (socket !== undefined) endConnection(socket, count)
      for (const { id, sent } of lost) removeStream(id)?.listener.sessionEnded(sent)
    }
  }
}
