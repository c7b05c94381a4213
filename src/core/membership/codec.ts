import * as v from 'valibot'
import { isAddress } from '../address/index.ts'
import { maxCapacity, maxIncarnation, maxStopMs, maxTextLength, maxTimestampMs } from './constants.ts'
import { statuses } from './types.ts'
import type { Member, Packet, Version } from './types.ts'

const roles = ['node', 'control'] as const
const targetStates = ['up', 'leaving', 'down'] as const

/** Kinds of packets, by their number on the wire. */
const packetTypes = ['ping', 'ack', 'ping-request', 'push'] as const satisfies ReadonlyArray<Packet['type']>

/** Returns the schema of a whole number in a range. */
const range = (min: number, max: number) => v.pipe(v.number(), v.integer(), v.minValue(min), v.maxValue(max))
const indexOf = (list: readonly unknown[]) => range(0, list.length - 1)
const count = range(-Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER)
const text = v.pipe(v.string(), v.maxLength(maxTextLength))
const timestamp = range(0, maxTimestampMs)
const capacity = range(1, maxCapacity)
const address = v.pipe(text, v.check(isAddress, 'an address is IP:PORT'))
const targetSchema = v.tuple([text, capacity, capacity, indexOf(targetStates), timestamp])
const memberSchema = v.tuple([
  v.pipe(text, v.minLength(1)), timestamp, text, range(0, maxIncarnation), indexOf(statuses), indexOf(roles), text, address, v.nullable(targetSchema), v.boolean(),
  v.optional(v.nullable(range(0, maxStopMs)), null)
])
const packetSchema = v.tuple([indexOf(packetTypes), v.unknown(), v.array(v.unknown()), count, v.nullable(count), v.nullable(address)])

/**
 * A member record as it is sent: its fields in a fixed order, without their names. id, start (ms), boot, incarnation, status,
 * role, domain, address, target (service, slots, connections, state, start in ms) or null, leaving, duration of its stop in ms or null (missing in records of earlier versions).
 */
export type EncodedMember = v.InferOutput<typeof memberSchema>

/** A packet as it is sent: type, sender, updates, digest, sequence or null, address to ping or null. */
export type EncodedPacket = [type: number, from: EncodedMember, updates: EncodedMember[], digest: number, sequence: number | null, address: string | null]

/** Receives the reason why a record of a message was left out. */
export type RefuseRecord = (reason: string) => void

/** Encodes a member record. */
export function encodeMember (member: Member): EncodedMember {
  const { id, startedAt, boot, incarnation, status, role, domain, address, target, leaving, stopMs } = member
  const encodedTarget = target && [target.service, target.slots, target.connections, targetStates.indexOf(target.state), target.startedAt] as const
  return [
    id, startedAt, boot, incarnation, statuses.indexOf(status), roles.indexOf(role), domain, address,
    encodedTarget === undefined ? null : [...encodedTarget], leaving === true, stopMs ?? null
  ]
}

function createMember (encoded: EncodedMember): Member {
  const [id, startedAt, boot, incarnation, status, role, domain, address, target, leaving, stopMs] = encoded
  const member: Member = { id, startedAt, boot, incarnation, status: statuses[status], role: roles[role], domain, address }
  if (target !== null) {
    const [service, slots, connections, state, targetStartedAt] = target
    member.target = { service, slots, connections, state: targetStates[state], startedAt: targetStartedAt }
  }
  if (leaving) member.leaving = true
  if (stopMs !== null) member.stopMs = stopMs
  return member
}

function decodeMember (value: unknown, refuse: RefuseRecord): Member | undefined {
  const { success, output, issues } = v.safeParse(memberSchema, value)
  if (success) return createMember(output)
  const id = Array.isArray(value) && typeof value[0] === 'string' ? value[0].slice(0, maxTextLength) : 'without an id'
  refuse(`member ${id}, field ${v.getDotPath(issues[0]) ?? 'none'}: ${issues[0].message}`)
  return undefined
}

/** Decodes the member records of a list. Leaves out each record that this version of the program cannot read, so that the others are taken. */
export function decodeMembers (value: unknown, refuse: RefuseRecord): Member[] {
  if (!Array.isArray(value)) {
    refuse('a list of members is no array')
    return []
  }
  return value.map((record) => decodeMember(record, refuse)).filter((member) => member !== undefined)
}

const versionSchema = v.tuple([text, timestamp, range(0, maxIncarnation), indexOf(statuses)])

/** Decodes the versions that another process sent for a sync. Leaves out those that it cannot read, whose records are then sent again. */
export function decodeVersions (values: readonly unknown[], refuse: RefuseRecord): Version[] {
  const versions = values.filter((value) => v.is(versionSchema, value))
  if (versions.length < values.length) refuse(`${values.length - versions.length} versions of members cannot be read`)
  return versions
}

/** Encodes a packet. */
export function encodePacket (packet: Packet): EncodedPacket {
  const sequence = 'sequence' in packet ? packet.sequence : null
  const address = 'address' in packet ? packet.address : null
  return [packetTypes.indexOf(packet.type), encodeMember(packet.from), packet.updates.map(encodeMember), packet.digest, sequence, address]
}

/** Decodes a packet, without the updates that cannot be read. Returns undefined for a packet of another form, or whose sender cannot be read. */
export function decodePacket (value: unknown, refuse: RefuseRecord): Packet | undefined {
  const { success, output, issues } = v.safeParse(packetSchema, value)
  if (!success) {
    refuse(`packet, field ${v.getDotPath(issues[0]) ?? 'none'}: ${issues[0].message}`)
    return undefined
  }
  const [typeNumber, encodedSender, encodedUpdates, digest, sequence, address] = output
  const from = decodeMember(encodedSender, refuse)
  if (from === undefined) return undefined
  const type = packetTypes[typeNumber]
  const common = { from, updates: decodeMembers(encodedUpdates, refuse), digest }
  if (type === 'push') return { type, ...common }
  if (sequence !== null && type !== 'ping-request') return { type, sequence, ...common }
  if (sequence !== null && address !== null && type === 'ping-request') return { type, sequence, address, ...common }
  refuse(`packet of type ${type} without a sequence or an address`)
  return undefined
}
