export { verdictOnReplies, createClaimTally, recordReply } from './claimant.ts'
export type { ClaimTally, Verdict } from './claimant.ts'
export * from './constants.ts'
export {
  completeClaim, exportClaims, copySources, createHolder, decideClaim, expireClaims, hasEnoughCopies, mergeCopy, peekClaim, readClaim, releaseClaim, updateSlots
} from './holder.ts'
export type { HolderState } from './holder.ts'
export { majority, planSlot, slotNames, slotOf } from './placement.ts'
export type { Fleet, Hash } from './placement.ts'
export type { Claim, ClaimPeek, ClaimReply, ClaimRequest, ClaimState, KeptAnswer, PortableClaim } from './types.ts'
