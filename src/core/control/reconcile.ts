import { hasCaughtUp, membersOf } from '../consensus/index.ts'
import type { Environment, Peers } from '../peers/index.ts'
import { planMembershipChange, trackMissing } from './composition.ts'
import type { Group } from './group.ts'

const reconcileIntervalMs = 100

/** Reconciles the group members with the live instances at intervals while this instance is leader. `faultTolerance` is the number of disks that may be lost at once. */
export function reconcileMembers (
  id: string, faultTolerance: number, peers: Peers, group: Group, isLeader: () => boolean, { clock, log }: Environment
): NodeJS.Timeout {
  const missingSince = new Map<string, number>()
  let busy = false
  return setInterval(() => {
    if (!isLeader()) return missingSince.clear()
    const now = clock.now()
    const members = membersOf(group.state)
    const living = peers.members().filter(({ role }) => role === 'control').map(({ id, address, startedAt }) => ({ id, address, startedAt }))
    trackMissing(missingSince, members, living, now)
    const view = { self: id, members, liveInstances: living, missingSince, isCaughtUp: (member: string) => hasCaughtUp(group.state, member), faultTolerance }
    const planned = busy ? undefined : planMembershipChange(view, now)
    if (planned === undefined) return
    busy = true
    log.info('changing the member list', { before: members, after: planned })
    void group.changeMembers(() => planned).finally(() => {
      busy = false
    })
  }, reconcileIntervalMs)
}
