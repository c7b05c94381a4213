export { createCollector } from './collect.ts'
export type { Collector, Findings } from './collect.ts'
export { renderFindings } from './render.ts'
