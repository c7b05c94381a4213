export { createPeers } from './peers.ts'
export type { Environment, PeerOptions, Peers } from './peers.ts'
export { createTraffic } from './traffic.ts'
export type { Traffic } from './traffic.ts'
