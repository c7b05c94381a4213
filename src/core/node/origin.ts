/** Properties of a request that distinguish a call of the node's own target from a request of a caller, where calls do not carry a context. */
export interface Origin {
  /** True when it came from the target's address, which callers on the same machine share. */
  fromTargetAddress: boolean
  /** True when it carries a key; targets have none. */
  hasKey: boolean
  /** True when its route needs no key. */
  isOpen: boolean
  /** True when callers have keys, which is the case when the configuration has workspaces. */
  callersHaveKeys: boolean
}

/**
 * Returns true for a call that the node's own target makes for a request in progress. Such calls run first and skip the
 * admission of new requests, so a caller's request must not be mistaken for one. A request of uncertain origin counts as new.
 */
export function isInProgress ({ fromTargetAddress, hasKey, isOpen, callersHaveKeys }: Origin): boolean {
  return fromTargetAddress && !hasKey && isOpen && callersHaveKeys
}
