import type { Configuration, Delta } from './types.ts'

/** Creates an empty configuration. */
export function emptyConfiguration (): Configuration {
  return { revision: 0, templates: {}, workspaces: {}, keys: {}, slots: {}, bans: {}, deployments: {} }
}

/**
 * Applies consecutive deltas. Ignores deltas at or below the configuration's revision, because a configuration must
 * never return to an older one. Stops at a gap; the missing revisions are fetched later.
 */
export function applyDeltas (configuration: Configuration, deltas: readonly Delta[]): Configuration {
  let next = configuration
  for (const delta of deltas) {
    if (delta.revision <= next.revision) continue
    if (delta.revision !== next.revision + 1) return next
    next = applyDelta(next, delta)
  }
  return next
}

function applyDelta (configuration: Configuration, delta: Delta): Configuration {
  const next: Configuration = { ...configuration, revision: delta.revision }
  for (const { collection, name, value } of delta.differences) {
    const items: Record<string, unknown> = { ...next[collection] }
    if (value === undefined) delete items[name]
    else items[name] = value
    Object.assign(next, { [collection]: items })
  }
  return next
}

/**
 * Removes every deployment but the last one from the deltas, because deployments may be large. Deltas are applied in
 * sequence, and a later deployment replaces an earlier one completely.
 */
export function dropSupersededDeployments (deltas: Delta[]): Delta[] {
  const last = deltas.findLastIndex(({ differences }) => differences.some(({ collection }) => collection === 'deployments'))
  return deltas.map((delta, index) => {
    if (index >= last) return delta
    const differences = delta.differences.filter(({ collection }) => collection !== 'deployments')
    return differences.length === delta.differences.length ? delta : { ...delta, differences }
  })
}

/** Returns the newer of two configurations. */
export function newerConfiguration (left: Configuration, right: Configuration): Configuration {
  return right.revision > left.revision ? right : left
}
