export { readDocument, readText } from './document.ts'
export type { DocumentLimits, ReadDocument } from './document.ts'
export { createConnector } from './connect.ts'
export { closeServer, listen } from './listen.ts'
