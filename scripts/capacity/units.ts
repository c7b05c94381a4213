/** One point of a slope: the values measured at one size. */
export interface Point {
  size: number
  /** Measured values by column heading. */
  values: Record<string, number>
}

/** A series of measurements at growing sizes. */
export interface Slope {
  name: string
  /** Unit of the size. */
  unit: string
  points: Point[]
}

/** Rounds to three significant digits. */
export function toThreeDigits (value: number): number {
  return Number(value.toPrecision(3))
}

/** Measures the processor time that `work` uses, in microseconds. */
export function cpuMicroseconds (work: () => void): number {
  const before = process.cpuUsage()
  work()
  const used = process.cpuUsage(before)
  return used.user + used.system
}

/** Returns the heap in use after a garbage collection, in bytes. Needs --expose-gc. */
export function heapBytes (): number {
  globalThis.gc?.()
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Formats a slope as a Markdown table with a heading. */
export function formatSlope ({ name, unit, points }: Slope): string {
  const columns = Object.keys(points[0].values)
  const rows = points.map(({ size, values }) => `| ${size} | ${columns.map((column) => values[column]).join(' | ')} |`)
  return [`### ${name}`, '', `| ${unit} | ${columns.join(' | ')} |`, `| --- |${' --- |'.repeat(columns.length)}`, ...rows, ''].join('\n')
}
