import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Clock } from '../clock/index.ts'
import { splitAddress } from '../rpc/index.ts'

/** Pause before a target that closed the connection is connected to again, in milliseconds. */
const reconnectAfterMs = 500

/** Watches whether a target's process goes on to run while no request of this node does. */
export interface TargetWatch {
  /** Watches the target at host:port until `until`, in ms of the clock. */
  extend: (address: string, until: number) => void
  close: () => void
}

/**
 * Creates a watch. It holds one connection on which nothing is sent, because a process that ends closes it at once. `onClosed` is called
 * each time the target closes or refuses that connection, which a living target may do, too.
 */
export function createTargetWatch (clock: Clock, onClosed: () => void): TargetWatch {
  let address = ''
  let watchUntil = -Infinity
  let socket: Socket | undefined
  let timer: NodeJS.Timeout | undefined

  const stop = () => {
    clearTimeout(timer)
    timer = undefined
    socket?.removeAllListeners('close')
    socket?.destroy()
    socket = undefined
  }
  const checkEnd = () => {
    if (clock.now() >= watchUntil) stop()
    else timer = setTimeout(checkEnd, watchUntil - clock.now()).unref()
  }
  const reconnect = () => {
    stop()
    if (clock.now() < watchUntil) open()
  }
  const open = () => {
    socket = connect(splitAddress(address)).unref()
    socket.on('error', () => {}) // A close follows.
    socket.resume()
    socket.once('close', () => {
      stop()
      onClosed()
      timer = setTimeout(reconnect, reconnectAfterMs).unref()
    })
    checkEnd()
  }
  return {
    extend (next, until) {
      const isMoved = next !== address
      address = next
      watchUntil = isMoved ? until : Math.max(watchUntil, until)
      if (isMoved) stop()
      if (timer === undefined) open()
    },
    close () {
      watchUntil = -Infinity
      stop()
    }
  }
}
