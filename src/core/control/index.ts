export { startControl } from './control.ts'
export type { Control } from './control.ts'
export type { ControlOptions } from './types.ts'
