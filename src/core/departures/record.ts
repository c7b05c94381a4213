import * as v from 'valibot'

/** Longest id of a process of a target, in characters. */
const maxInstanceLength = 256

const wholeNumber = v.pipe(v.number(), v.safeInteger())

/** Schema of what a process of a target has said of its end, as the node beside it has acknowledged it. */
export const departureSchema = v.object({
  /** Id of the process. */
  instance: v.pipe(v.string(), v.minLength(1), v.maxLength(maxInstanceLength)),
  /** Wall-clock time at which the process started in ms, on the target's clock. */
  bornAt: wholeNumber,
  /** Sequence of its newest message that the node knew. */
  sequence: wholeNumber,
  /** "leaving" asks for no new requests and may be taken back by a later message; "gone" has deregistered. */
  state: v.picklist(['leaving', 'gone']),
  /** False if the deregistration did not say which process of that id it means. */
  isCertain: v.boolean()
})

export type Departure = v.InferOutput<typeof departureSchema>

/** Number of departures that are kept for a node; servers at one address follow each other seconds apart. */
const maxDepartures = 8

/** Returns true when two departures are of the same process. */
export function isSameDeparture (left: Pick<Departure, 'instance' | 'bornAt'>, right: Pick<Departure, 'instance' | 'bornAt'>): boolean {
  return left.instance === right.instance && left.bornAt === right.bornAt
}

/** Returns what is known of one process from two statements, in whatever order they arrived. */
function combine (left: Departure, right: Departure): Departure {
  const isGone = left.state === 'gone' || right.state === 'gone'
  const isCertain = [left, right].some((departure) => departure.state === 'gone' && departure.isCertain)
  return { ...left, sequence: Math.max(left.sequence, right.sequence), state: isGone ? 'gone' : 'leaving', isCertain }
}

/** Adds departures to known ones. The result doesn't depend on the order; of many, those of the processes that started last stay. */
export function mergeDepartures (known: readonly Departure[], added: readonly Departure[]): Departure[] {
  const merged: Departure[] = []
  for (const departure of [...known, ...added]) {
    const position = merged.findIndex((other) => isSameDeparture(other, departure))
    if (position < 0) merged.push(departure)
    else merged[position] = combine(merged[position], departure)
  }
  return merged.sort((left, right) => left.bornAt - right.bornAt).slice(-maxDepartures)
}
