/** Admits one holder at a time, in order of arrival. */
export interface SerialQueue {
  /** Waits for the previous holder. Resolves with a function that releases the queue to the next one. */
  enter: () => Promise<() => void>
}

/** Creates a serial queue without a holder. */
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
