export { startNode } from './node.ts'
export type { Node, NodeOptions } from './node.ts'
