export { createConnector } from './connect.ts'
export { closeServer, listen } from './listen.ts'
