export { readArrived } from './read-arrived.ts'
