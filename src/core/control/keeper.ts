import { hasCaughtUp, membersOf } from '../consensus/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { planComposition, watchMembers } from './composition.ts'
import type { Group } from './group.ts'

const compositionMs = 100

/** Keeps the group complete while this instance leads. */
export function keepComposition (id: string, peers: Peers, group: Group, isLeader: () => boolean, { clock, log }: Environment): NodeJS.Timeout {
  const missingSince = new Map<string, number>()
  let busy = false
  return setInterval(() => {
    if (!isLeader()) return missingSince.clear()
    const now = clock.now()
    const members = membersOf(group.state)
    const living = peers.members().filter(({ role }) => role === 'control').map(({ id, address, startedAt }) => ({ id, address, startedAt }))
    watchMembers(missingSince, members, living, now)
    const view = { self: id, members, living, missingSince, isCaughtUp: (member: string) => hasCaughtUp(group.state, member) }
    const planned = busy ? undefined : planComposition(view, now)
    if (planned === undefined) return
    busy = true
    log.info('member list changes', { before: members, after: planned })
    void group.changeMembers(() => planned).finally(() => {
      busy = false
    })
  }, compositionMs)
}
