import type { Cluster } from '../support/cluster.ts'
import { setWorkspace } from './setting.ts'

/** A key that may be withdrawn. */
export interface ExtraKey {
  id: string
  key: string
  /** Time at which the withdrawal was acknowledged, by `performance.now()`; Infinity until then. */
  withdrawnAt: number
}

/** Operators that make one change after the other and remember what was acknowledged. */
export interface Operators {
  changeWorkspace: (workspace: string, rate: number) => void
  giveKey: (workspace: string) => Promise<ExtraKey>
  withdrawKey: (key: ExtraKey) => void
  /** Waits for the changes in progress. Returns a text for each acknowledged change that is not in force. */
  findLostChanges: () => Promise<string[]>
}

/** Creates operators of a cluster. */
export function createOperators (cluster: Cluster): Operators {
  /** Rates that may be in force, by workspace: the last acknowledged one and those tried since. */
  const possibleRates = new Map<string, number[]>()
  let last: Promise<unknown> = Promise.resolve()
  const enqueue = (change: () => Promise<void>) => {
    last = last.then(change).catch(() => {})
  }
  return {
    changeWorkspace (workspace, rate) {
      enqueue(async () => {
        const tried = possibleRates.get(workspace) ?? []
        possibleRates.set(workspace, [...tried, rate])
        await setWorkspace(cluster, workspace, rate)
        possibleRates.set(workspace, [rate])
      })
    },
    async giveKey (workspace) {
      const { key, id } = await cluster.runUntilSuccess('key', 'give', workspace) as { key: string, id: string }
      return { key, id, withdrawnAt: Infinity }
    },
    withdrawKey (key) {
      enqueue(async () => {
        await cluster.runUntilSuccess('key', 'withdraw', key.id)
        key.withdrawnAt = performance.now()
      })
    },
    async findLostChanges () {
      await last
      const lost: string[] = []
      for (const [workspace, rates] of possibleRates) {
        const { value } = await cluster.runUntilSuccess('workspace', 'get', workspace) as { value?: { parameters?: { rate?: number } } }
        const rate = value?.parameters?.rate
        if (rate === undefined || !rates.includes(rate)) lost.push(`${workspace} has the rate ${rate}, acknowledged or tried since: ${rates.join(', ')}`)
      }
      return lost
    }
  }
}
