import type { ConsolaInstance } from 'consola'

/** Logger for state changes and for decisions about requests. */
export type Log = Pick<ConsolaInstance, 'info' | 'warn' | 'error'>
