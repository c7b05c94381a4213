import type { Explanation } from '../../core/where/index.ts'
import { formatTable } from '../table.ts'

const targetColumns = ['node', 'domain', 'state', 'slots', 'room', 'workMs', 'inFlight', 'load', 'ejectedForMs', 'part', 'reason'] as const

type Service = Explanation['services'][number]

function roundTo (value: number | undefined, digits: number): number | undefined {
  return value === undefined ? undefined : Number(value.toFixed(digits))
}

function percent (part: number): string {
  return `${Math.round(100 * part)}%`
}

function renderRate ({ rate }: Explanation): string {
  if (rate === null) return 'no limit'
  const { limit, held } = rate
  const text = `${limit.rate} a second, burst ${limit.burst}`
  if (held === null) return `${text}; this node has had no request of it`
  return `${text}; this node holds ${roundTo(held.share, 2)}, ${held.left} left, ${held.waiting} wait, oldest unanswered report ${held.unansweredMs} ms`
}

function renderService ({ service, weight, share, passFraction, goesTo, targets }: Service): string {
  const rows = targets.map((target) => ({
    ...target,
    load: roundTo(target.load, 2),
    room: roundTo(target.room, 1),
    workMs: roundTo(target.workMs, 1),
    ejectedForMs: roundTo(target.ejectedForMs, 0),
    part: percent(target.part)
  }))
  const lines = [
    `service    ${service}, ${percent(weight)} of the route's requests`,
    `share      ${roundTo(share, 3)} of such requests may begin, ${roundTo(passFraction, 3)} of them pass the throttle`,
    `goes to    ${goesTo ?? 'no target'}`
  ]
  return `\n${lines.join('\n')}\n${targets.length === 0 ? '' : formatTable(rows, targetColumns)}`
}

/** Formats an explanation for an operator. */
export function renderExplanation (explanation: Explanation): string {
  const { node, domain, revision, route, workspace, services, refusals } = explanation
  const objective = route.objectiveMs === null ? '' : `, objective ${route.objectiveMs} ms`
  const lines = [
    `node       ${node} in ${domain}, configuration ${revision}`,
    `route      ${route.name}${route.template === '' ? '' : ` of template ${route.template}`}, rank ${route.rank}${route.open ? ', open' : ''}`,
    `           ${route.idempotent ? 'idempotent' : 'runs at most once'}, timeout ${route.timeoutMs} ms${objective}`,
    `workspace  ${workspace ?? 'none'}`,
    `rate       ${workspace === null ? 'none' : renderRate(explanation)}`
  ]
  const refused = refusals.map(({ code, reason, part }) => `refused    ${percent(part)}: ${code}, ${reason}`)
  const end = refused.length === 0 ? ['refused    nothing would refuse it'] : refused
  return `${lines.join('\n')}\n${services.map(renderService).join('')}\n${end.join('\n')}\n`
}
