export { createSealer } from './sealer.ts'
export type { Sealer } from './sealer.ts'
export { createReplayFilter } from './replay-filter.ts'
export { digest, equalDigests, issueKey, hashKey, parseKey, randomId } from './keys.ts'
