import type { Configuration, Delta, Difference } from './types.ts'

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
 * Removes from the deltas what a later one replaces, so that together they hold each item once at most. Deltas are applied in sequence up to the newest, so that
 * a later value of an item replaces an earlier one completely.
 */
export function dropSuperseded (deltas: readonly Delta[]): Delta[] {
  const later = new Set<string>()
  const kept: Delta[] = []
  for (const delta of [...deltas].reverse()) {
    const differences = delta.differences.filter((difference) => !later.has(keyOf(difference)))
    for (const difference of delta.differences) later.add(keyOf(difference))
    kept.push(differences.length === delta.differences.length ? delta : { ...delta, differences })
  }
  return kept.reverse()
}

function keyOf ({ collection, name }: Difference): string {
  return `${collection} ${name}`
}
