/** Queue that one task at a time may enter, in order of arrival. */
export interface SerialQueue {
  /** Waits until the previous task has released the queue. Resolves with the function that releases it again. */
  enter: () => Promise<() => void>
}

/** Creates a serial queue that no task has entered. */
export function createSerialQueue (): SerialQueue {
  let tail: Promise<void> = Promise.resolve()
  return {
    async enter () {
      const previous = tail
      let release = () => {}
      tail = new Promise((resolve) => {
        release = resolve
      })
      await previous
      return release
    }
  }
}
