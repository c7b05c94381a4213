import { readFileSync } from 'node:fs'

/** Ticks of /proc a second (USER_HZ). */
const ticksPerSecond = 100

/** Processor time in seconds. */
export interface ProcessorTime {
  user: number
  system: number
}

/** Parses a line of /proc/PID/stat. The name of the program may contain spaces and parentheses. */
export function parseStat (stat: string): ProcessorTime {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return { user: Number(fields[11]) / ticksPerSecond, system: Number(fields[12]) / ticksPerSecond }
}

/** Returns the processor time that a process has used so far. */
export function processorTime (pid: number | undefined): ProcessorTime {
  return parseStat(readFileSync(`/proc/${pid}/stat`, 'utf8'))
}

/** Returns the processor time that a process has used so far, user and system together, in seconds. */
export function processorSeconds (pid: number | undefined): number {
  const { user, system } = processorTime(pid)
  return user + system
}
