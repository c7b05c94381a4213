export { readDocument } from './document.ts'
export type { ReadDocument } from './document.ts'
export { createConnector } from './connect.ts'
export { closeServer, listen } from './listen.ts'
