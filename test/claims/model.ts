import {
  exportClaims, copySources, createClaimTally, createHolder, decideClaim, recordReply, hasEnoughCopies, majority, mergeCopy, planSlot, releaseClaim, updateSlots
} from '../../src/core/claims/index.ts'
import type { ClaimReply, ClaimRequest, ClaimTally, HolderState, PortableClaim } from '../../src/core/claims/index.ts'
import { applyReady } from '../../src/core/claims/placement.ts'
import type { ClaimSlot, Holder } from '../../src/core/config/index.ts'
import type { Model, Step } from '../support/explore.ts'

const slotName = 's0'
const key = 'k'
const holders: Holder[] = ['a', 'b', 'c', 'd', 'e'].map((node) => ({ node, boot: node, domain: node }))
const hash = (text: string) => 200 - text.charCodeAt(text.length - 1)

interface Attempt {
  view: number
  tally?: ClaimTally
  /** Members that the request was sent to in this view and that have not processed it. */
  asked: string[]
  replies: Array<{ view: number, holder: string, reply: ClaimReply }>
  ran: boolean
  cancelled: boolean
}

interface Copy {
  to: string
  from: string
  view: number
  claims: PortableClaim[]
}

/** State of the model: holders of one slot, two attempts under one key, and the placements. */
export interface ModelState {
  views: ClaimSlot[]
  holders: Record<string, HolderState>
  lost: string[]
  attempts: Record<string, Attempt>
  copies: Copy[]
  plans: number
}

/** Bounds of the search, and an optional fault to inject. */
export interface Bounds {
  views: number
  lost: number
  plans: number
  /** Sources send copies before they know the new placement. */
  copyFromOutdatedSource?: boolean
}

type Steps = Iterable<Step<ModelState>>

function createInitialState (): ModelState {
  const members = holders.slice(0, 3)
  const first: ClaimSlot = { view: 1, members, ready: members.map((member) => member.boot), copyQuorum: majority(3), blockedAt: 0 }
  const states: Record<string, HolderState> = {}
  for (const { boot } of holders) {
    states[boot] = createHolder(boot)
    updateSlots(states[boot], { [slotName]: first })
  }
  const attempt: Attempt = { view: 0, asked: [], replies: [], ran: false, cancelled: false }
  return { views: [first], holders: states, lost: [], attempts: { x: structuredClone(attempt), y: structuredClone(attempt) }, copies: [], plans: 0 }
}

function current (state: ModelState): ClaimSlot {
  return state.views[state.views.length - 1]
}

function withChange (state: ModelState, change: (copy: ModelState) => void): ModelState {
  const copy = structuredClone(state)
  change(copy)
  return copy
}

function requestFor (name: string, view: number): ClaimRequest {
  return { slot: slotName, view, key, digest: 'same', attempt: name, runsForMs: 1000 }
}

function * attemptSteps (state: ModelState, name: string): Steps {
  const attempt = state.attempts[name]
  if (attempt.ran || attempt.cancelled) return
  for (const slot of state.views) {
    if (slot.view <= attempt.view) continue
    yield {
      action: `${name} asks in view ${slot.view}`,
      reach: () => withChange(state, (copy) => {
        Object.assign(copy.attempts[name], { view: slot.view, tally: createClaimTally(slot, 'same'), asked: [...slot.ready], replies: [] })
      })
    }
  }
  for (const boot of attempt.asked) {
    if (state.lost.includes(boot)) continue
    yield {
      action: `${boot} receives the request of ${name} in view ${attempt.view}`,
      reach: () => withChange(state, (copy) => {
        const target = copy.attempts[name]
        target.asked = target.asked.filter((other) => other !== boot)
        target.replies.push({ view: target.view, holder: boot, reply: decideClaim(copy.holders[boot], requestFor(name, target.view), 0) })
      })
    }
  }
  for (const [index, { holder, reply }] of attempt.replies.entries()) {
    yield {
      action: `${name} receives ${reply.type} of ${holder}`,
      reach: () => withChange(state, (copy) => {
        const target = copy.attempts[name]
        target.replies.splice(index, 1)
        const verdict = target.tally && recordReply(target.tally, holder, reply)
        if (verdict?.type === 'granted') target.ran = true
      })
    }
  }
  if (attempt.view === 0) return
  yield {
    action: `${name} cancels`,
    reach: () => withChange(state, (copy) => {
      copy.attempts[name].cancelled = true
      for (const { boot } of current(state).members) releaseClaim(copy.holders[boot], slotName, key, name, 0)
    })
  }
}

function * holderSteps (state: ModelState, boot: string, bounds: Bounds): Steps {
  if (state.lost.includes(boot)) return
  const holder = state.holders[boot]
  for (const slot of state.views) {
    if (slot.view <= holder.slots[slotName].view) continue
    yield { action: `${boot} learns view ${slot.view}`, reach: () => withChange(state, (copy) => updateSlots(copy.holders[boot], { [slotName]: slot })) }
  }
  const { view } = holder.slots[slotName]
  for (const source of copySources(holder, slotName)) {
    if (state.lost.includes(source) || state.copies.some((copy) => copy.to === boot && copy.from === source)) continue
    const asked = bounds.copyFromOutdatedSource === true ? 0 : view
    const claims = exportClaims(state.holders[source], slotName, asked, 0)
    if (claims === undefined) continue
    yield { action: `${source} sends a copy to ${boot}`, reach: () => withChange(state, (copy) => void copy.copies.push({ to: boot, from: source, view, claims })) }
  }
  if (hasEnoughCopies(holder, slotName) && current(state).view === view && state.views.length < bounds.views) {
    const next = applyReady(current(state), boot)
    if (next !== undefined) yield { action: `${boot} is ready`, reach: () => withChange(state, (copy) => void copy.views.push(next)) }
  }
  if (state.lost.length < bounds.lost && boot < 'd') yield { action: `${boot} is lost`, reach: () => withChange(state, (copy) => void copy.lost.push(boot)) }
}

/** Yields placements in which any one member is considered lost, whether it is or not. */
function * planSteps (state: ModelState, bounds: Bounds): Steps {
  if (state.plans >= bounds.plans || state.views.length >= bounds.views) return
  for (const { boot } of current(state).members) {
    const lost = new Set([...state.lost, boot])
    const alive = holders.filter((holder) => !lost.has(holder.boot))
    const next = planSlot(slotName, current(state), { alive, lost, leaving: new Set<string>() }, hash, 0)
    if (next === undefined) continue
    yield {
      action: `placement without ${boot}`,
      reach: () => withChange(state, (copy) => {
        copy.views.push(next)
        copy.plans++
      })
    }
  }
}

function * steps (state: ModelState, bounds: Bounds): Steps {
  yield * attemptSteps(state, 'x')
  yield * attemptSteps(state, 'y')
  for (const { boot } of holders) yield * holderSteps(state, boot, bounds)
  yield * planSteps(state, bounds)
  for (const [index, { to, from, view, claims }] of state.copies.entries()) {
    if (state.lost.includes(to)) continue
    yield {
      action: `${to} merges the copy of ${from}`,
      reach: () => withChange(state, (copy) => {
        copy.copies.splice(index, 1)
        mergeCopy(copy.holders[to], slotName, view, from, claims, 0)
      })
    }
  }
}

/** Creates a model of the claim protocol as a graph of states within the bounds. */
export function createModel (bounds: Bounds): Model<ModelState> {
  return {
    initial: createInitialState(),
    next: (state) => steps(state, bounds),
    check: ({ attempts }) => attempts.x.ran && attempts.y.ran ? 'both attempts run' : undefined
  }
}
