import * as v from 'valibot'
import { isListenAddress } from '../address/index.ts'

/** A setting: its flag, its environment variable and the schema that parses its text. */
export interface Setting<Value> {
  flag: string
  variable: string
  description: string
  /** Unit or format of the value. */
  unit: string
  /** Text used when neither flag nor variable is given; without one the setting is required. */
  fallback?: string
  example: string
  schema: v.GenericSchema<string, Value>
}

function defineSetting<Value> (definition: Setting<Value>): Setting<Value> {
  return definition
}

const minSecretLength = 16

const nameSchema = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63'))

const addressSchema = v.pipe(v.string(), v.check(isListenAddress, 'IPv4 address and port, such as 127.0.0.1:7000'))

const addressListSchema = v.pipe(
  v.string(),
  v.transform((text) => text.split(',').map((part) => part.trim()).filter((part) => part !== '')),
  v.array(addressSchema)
)

const secretsSchema = v.pipe(
  v.string(),
  v.transform((text) => text.split(',')),
  v.array(v.pipe(v.string(), v.minLength(minSecretLength, `at least ${minSecretLength} characters each`))),
  v.minLength(1)
)

function parseMember (text: string): { id: string, address: string, voter: boolean } | undefined {
  const [id, memberAddress, ...rest] = text.trim().split('=')
  if (rest.length > 0 || memberAddress === undefined || !isListenAddress(memberAddress) || !v.is(nameSchema, id)) return undefined
  return { id, address: memberAddress, voter: true }
}

const membersSchema = v.pipe(
  v.string(),
  v.check((text) => text === '' || text.split(',').every((part) => parseMember(part) !== undefined), 'a list such as c1=10.0.0.1:7000,c2=10.0.0.2:7000'),
  v.transform((text) => text === '' ? [] : text.split(',').map(parseMember).filter((member) => member !== undefined)),
  v.maxLength(7, 'at most 7 members')
)

const millisecondsSchema = v.pipe(
  v.string(),
  v.regex(/^\d{1,7}$/, 'a whole number of milliseconds, 0 to 9999999'),
  v.transform(Number)
)

/** Creates the schema of a whole number within a range. */
function wholeNumberSchema (min: number, max: number) {
  return v.pipe(
    v.string(),
    v.regex(/^\d{1,10}$/, `a whole number, ${min} to ${max}`),
    v.transform(Number),
    v.minValue(min, `a whole number, ${min} to ${max}`),
    v.maxValue(max, `a whole number, ${min} to ${max}`)
  )
}

const booleanSchema = v.pipe(v.picklist(['true', 'false'], 'true or false'), v.transform((text) => text === 'true'))

/** All settings of long-running processes and of operators' commands. */
export const settings = {
  /** Name of the process, unique in the cluster and stable over restarts. */
  id: defineSetting({ flag: '--id', variable: 'DOGWOODSPRING_ID', description: 'Name of this process, unique in the cluster and stable over restarts', unit: 'name', example: 'laocai-1', schema: nameSchema }),
  /** Failure domain of the process. */
  domain: defineSetting({ flag: '--domain', variable: 'DOGWOODSPRING_DOMAIN', description: 'Failure domain of this process', unit: 'name', example: 'laocai', schema: nameSchema }),
  /** Address for callers. Default: 127.0.0.1:8080. */
  listen: defineSetting({ flag: '--listen', variable: 'DOGWOODSPRING_LISTEN', description: 'Address for callers', unit: 'IP:PORT, port 0 for any', fallback: '127.0.0.1:8080', example: '10.0.0.1:8080', schema: addressSchema }),
  /** Address for other processes of the cluster, TCP and UDP. Default: 127.0.0.1:7000. */
  peer: defineSetting({ flag: '--peer', variable: 'DOGWOODSPRING_PEER', description: 'Address for other processes of the cluster, TCP and UDP', unit: 'IP:PORT, port 0 for any', fallback: '127.0.0.1:7000', example: '10.0.0.1:7000', schema: addressSchema }),
  /** Loopback address for the target beside this node. Default: 127.0.0.1:7070. */
  local: defineSetting({ flag: '--local', variable: 'DOGWOODSPRING_LOCAL', description: 'Loopback address for the target beside this node: announcements, outgoing calls, metrics', unit: 'IP:PORT, port 0 for any', fallback: '127.0.0.1:7070', example: '127.0.0.1:7070', schema: addressSchema }),
  /** Address of the administration API. Default: 127.0.0.1:7080. */
  admin: defineSetting({ flag: '--admin', variable: 'DOGWOODSPRING_ADMIN', description: 'Address of the administration API', unit: 'IP:PORT, port 0 for any', fallback: '127.0.0.1:7080', example: '10.0.0.1:7080', schema: addressSchema }),
  /** Peer addresses of some processes of the cluster, through which this one joins. */
  seeds: defineSetting({ flag: '--seeds', variable: 'DOGWOODSPRING_SEEDS', description: 'Peer addresses of some processes of the cluster', unit: 'IP:PORT,…', fallback: '', example: '10.0.0.1:7000,10.0.1.1:7000', schema: addressListSchema }),
  /** Secrets that authenticate messages; the first signs, all are accepted. */
  secrets: defineSetting({ flag: '--cluster-secret', variable: 'DOGWOODSPRING_CLUSTER_SECRET', description: 'Secrets of the cluster: the first signs, all are accepted', unit: 'at least 16 characters each, comma between', example: 'correct-horse-battery', schema: secretsSchema }),
  /** Folder for the replicated log. Default: ./data. */
  data: defineSetting({ flag: '--data', variable: 'DOGWOODSPRING_DATA', description: 'Folder for the replicated log', unit: 'path', fallback: './data', example: '/var/lib/dogwoodspring', schema: v.pipe(v.string(), v.minLength(1)) }),
  /** First members of the control group. */
  members: defineSetting({ flag: '--members', variable: 'DOGWOODSPRING_MEMBERS', description: 'Members of a new control group; ignored once the data folder holds a log', unit: 'ID=IP:PORT,…', fallback: '', example: 'c1=10.0.0.1:7000,c2=10.0.1.1:7000,c3=10.0.2.1:7000', schema: membersSchema }),
  /** Whether the control instance waits to be added to a running group. Default: false. */
  join: defineSetting({ flag: '--join', variable: 'DOGWOODSPRING_JOIN', description: 'Wait to be added to a running control group', unit: 'true or false', fallback: 'false', example: 'true', schema: booleanSchema }),
  /** Whether the control group adds discovered instances and replaces lost ones. Default: false. */
  autoMembers: defineSetting({ flag: '--auto-members', variable: 'DOGWOODSPRING_AUTO_MEMBERS', description: 'Add discovered control instances to the group and replace lost ones without an operator', unit: 'true or false', fallback: 'false', example: 'true', schema: booleanSchema }),
  /** With `autoMembers`: whether the cluster starts for the first time. Default: false. */
  bootstrap: defineSetting({ flag: '--bootstrap', variable: 'DOGWOODSPRING_BOOTSTRAP', description: 'With --auto-members: first start of the whole system, with empty data folders', unit: 'true or false', fallback: 'false', example: 'true', schema: booleanSchema }),
  /** With `autoMembers`: number of control instances whose disks may be lost at once. Default: 1. */
  faultTolerance: defineSetting({ flag: '--fault-tolerance', variable: 'DOGWOODSPRING_FAULT_TOLERANCE', description: 'With --auto-members: control instances whose disks may be lost at once without losing a change', unit: 'instances', fallback: '1', example: '2', schema: wholeNumberSchema(1, 3) }),
  /** Whether claims for non-idempotent requests are placed. Default: true. */
  claims: defineSetting({ flag: '--claims', variable: 'DOGWOODSPRING_CLAIMS', description: 'Place claims for non-idempotent requests on the nodes', unit: 'true or false', fallback: 'true', example: 'false', schema: booleanSchema }),
  /** Window over which rate and burst are enforced. Default: 0 ms. */
  rateWindowMs: defineSetting({ flag: '--rate-window', variable: 'DOGWOODSPRING_RATE_WINDOW', description: 'Window over which rate and burst of a workspace are enforced, the same on nodes and control instances; 0 enforces them at every moment', unit: 'ms', fallback: '0', example: '5000', schema: millisecondsSchema }),
  /** Whether the room of targets decides where calls go. Default: true. */
  roomPlacement: defineSetting({ flag: '--room-placement', variable: 'DOGWOODSPRING_ROOM_PLACEMENT', description: 'Place calls by the room and speed that targets are found to have, instead of their announced slots', unit: 'true or false', fallback: 'true', example: 'false', schema: booleanSchema }),
  /** Whether the room of services limits the requests that are begun. Default: true. */
  roomShares: defineSetting({ flag: '--room-shares', variable: 'DOGWOODSPRING_ROOM_SHARES', description: 'Begin no more requests than the services to which they lead have room for, divided by priority, route and workspace', unit: 'true or false', fallback: 'true', example: 'false', schema: booleanSchema }),
  /** Whether calls of requests in progress wait by the priority of their request. Default: true. */
  rankedWaiting: defineSetting({ flag: '--ranked-waiting', variable: 'DOGWOODSPRING_RANKED_WAITING', description: 'Let calls of requests in progress wait by the priority of the request that they belong to, beside requests that need their target only', unit: 'true or false', fallback: 'true', example: 'false', schema: booleanSchema }),
  /** Whether Retry-After follows the expected room. Default: true. */
  plannedReturns: defineSetting({ flag: '--planned-returns', variable: 'DOGWOODSPRING_PLANNED_RETURNS', description: 'Ask refused callers to return when room is expected, within the time that they have left', unit: 'true or false', fallback: 'true', example: 'false', schema: booleanSchema }),
  /** Connections of clients that a process holds, over all listeners. Default: 2500. */
  clientConnections: defineSetting({ flag: '--client-connections', variable: 'DOGWOODSPRING_CLIENT_CONNECTIONS', description: 'Connections of clients that this process holds; beyond, the one for which most is held or that is idle longest is closed', unit: 'connections', fallback: '2500', example: '1000', schema: wholeNumberSchema(16, 100_000) }),
  /** Requests of clients that a process has read and not answered. Default: 2000. */
  clientRequests: defineSetting({ flag: '--client-requests', variable: 'DOGWOODSPRING_CLIENT_REQUESTS', description: 'Requests that this process has read and not answered; beyond, each connection is read one request at a time', unit: 'requests', fallback: '2000', example: '1000', schema: wholeNumberSchema(16, 1_000_000) }),
  /** Requests of one connection that a process has read and not answered. Default: 40. */
  connectionRequests: defineSetting({ flag: '--connection-requests', variable: 'DOGWOODSPRING_CONNECTION_REQUESTS', description: 'Requests of one connection that this process has read and not answered; beyond, it is not read', unit: 'requests', fallback: '40', example: '16', schema: wholeNumberSchema(1, 10_000) }),
  /** Bytes that a process holds of answers that were not taken and of requests that are not parsed. Default: 50331648. */
  clientBytes: defineSetting({ flag: '--client-bytes', variable: 'DOGWOODSPRING_CLIENT_BYTES', description: 'Bytes that this process holds for clients: answers not taken and requests not parsed; beyond, the connection for which most is held is closed', unit: 'bytes', fallback: '50331648', example: '33554432', schema: wholeNumberSchema(1024 * 1024, 1024 * 1024 * 1024) }),
  /** Bytes of unfinished heads that a process holds. Default: 1048576. */
  clientHeadBytes: defineSetting({ flag: '--client-head-bytes', variable: 'DOGWOODSPRING_CLIENT_HEAD_BYTES', description: 'Bytes of request heads that are not whole that this process holds for clients; beyond, the connection with the longest one is closed', unit: 'bytes', fallback: '1048576', example: '2097152', schema: wholeNumberSchema(64 * 1024, 256 * 1024 * 1024) }),
  /** Bytes of answers that were not taken from which a connection is not read. Default: 16384. */
  connectionBytes: defineSetting({ flag: '--connection-bytes', variable: 'DOGWOODSPRING_CONNECTION_BYTES', description: 'Bytes of answers not taken from which on a connection is not read and its answers wait', unit: 'bytes', fallback: '16384', example: '65536', schema: wholeNumberSchema(4096, 16 * 1024 * 1024) }),
  /** Token of the first operator. */
  operatorToken: defineSetting({ flag: '--operator-token', variable: 'DOGWOODSPRING_OPERATOR_TOKEN', description: 'Token of the first operator, created when the group has none', unit: 'text', fallback: '', example: 'a-long-random-text', schema: v.string() }),
  /** Longest time that a stop waits for running calls. Default: 30000 ms. */
  stopTimeoutMs: defineSetting({ flag: '--stop-timeout', variable: 'DOGWOODSPRING_STOP_TIMEOUT', description: 'Longest time that a stop waits for running calls', unit: 'ms', fallback: '30000', example: '60000', schema: millisecondsSchema }),
  /** Whether log lines are JSON. Default: false. */
  jsonLog: defineSetting({ flag: '--json-log', variable: 'DOGWOODSPRING_JSON_LOG', description: 'Write log lines as JSON', unit: 'true or false', fallback: 'false', example: 'true', schema: booleanSchema }),
  /** Administration API addresses for operators' commands. Default: 127.0.0.1:7080. */
  control: defineSetting({ flag: '--control', variable: 'DOGWOODSPRING_CONTROL', description: 'Addresses of the administration API, tried in order', unit: 'IP:PORT,…', fallback: '127.0.0.1:7080', example: '10.0.0.1:7080,10.0.1.1:7080', schema: addressListSchema }),
  /** Local address of the node that an operator's command asks. */
  node: defineSetting({ flag: '--node', variable: 'DOGWOODSPRING_NODE', description: 'Address of one node, which it prints as "local" at its start', unit: 'IP:PORT', example: '127.0.0.1:7070', schema: addressSchema }),
  /** Key of a caller for whom an operator asks. */
  key: defineSetting({ flag: '--key', variable: 'DOGWOODSPRING_KEY', description: 'Key of the caller; sent to the node only, never printed', unit: 'text', fallback: '', example: 'dws_…', schema: v.pipe(v.string(), v.regex(/^[\x20-\x7e]*$/, 'printable ASCII characters')) }),
  /** Token of the operator. */
  token: defineSetting({ flag: '--token', variable: 'DOGWOODSPRING_TOKEN', description: 'Token of the operator', unit: 'text', example: 'a-long-random-text', schema: v.pipe(v.string(), v.minLength(1)) })
}

/** Name of a setting. */
export type SettingName = keyof typeof settings

/** Validated value of a setting. */
export type SettingValue<Name extends SettingName> = (typeof settings)[Name] extends Setting<infer Value> ? Value : never
