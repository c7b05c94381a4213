/** Time constant with which a stated room and working time give way to what is known without them, in milliseconds. */
const statementDecayMs = 3000

/** Age from which a statement counts no more, in milliseconds. */
const statementLifeMs = 12_000

/** Most callees of one target whose working times are kept. The one stated least recently goes first. */
const maxCallees = 64

/** What the node of a target has stated about it. */
export interface Statements {
  room: number
  roomAt: number
  /** Working time in ms and the time of the statement, by callee; the least recent first. */
  workMs: Map<string, { value: number, at: number }>
}

/** A statement on one callee. */
export interface Statement {
  room: number
  workMs: number
  /** Weight against what is known without it, 0 to 1. */
  weight: number
  ageMs: number
}

/** Creates an empty record. */
export function createStatements (): Statements {
  return { room: 0, roomAt: -Infinity, workMs: new Map() }
}

/** Records what a report states on the room of the target and on the working time of the callee. */
export function recordStatement (statements: Statements, callee: string, { room, workMs }: { room?: number, workMs?: number }, now: number): void {
  if (room === undefined || !(room > 0)) return
  statements.room = room
  statements.roomAt = now
  if (workMs === undefined || !(workMs > 0)) return
  statements.workMs.delete(callee)
  statements.workMs.set(callee, { value: workMs, at: now })
  const [oldest] = statements.workMs.keys()
  if (statements.workMs.size > maxCallees) statements.workMs.delete(oldest)
}

/** Returns what was stated for a callee; undefined when nothing was, or too long ago. */
export function statementOf (statements: Statements, callee: string, now: number): Statement | undefined {
  const workMs = statements.workMs.get(callee)
  if (workMs === undefined) return undefined
  const ageMs = now - Math.min(workMs.at, statements.roomAt)
  if (ageMs > statementLifeMs) return undefined
  return { room: statements.room, workMs: workMs.value, weight: Math.exp(-ageMs / statementDecayMs), ageMs }
}
