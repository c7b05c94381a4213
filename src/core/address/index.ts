import { isIPv4 } from 'node:net'

const maxPort = 65_535

/** Host and port of an address. */
export interface Address {
  host: string
  port: number
}

/** Parses an IPv4 address and a port, 0 to 65535, of the form host:port. */
function parseAny (text: string): Address | undefined {
  const match = /^([\d.]{7,15}):(\d{1,5})$/.exec(text)
  if (match === null || !isIPv4(match[1]) || Number(match[2]) > maxPort) return undefined
  return { host: match[1], port: Number(match[2]) }
}

/** Parses an address to which messages and connections can be sent. Sockets throw on any other, so addresses that others name are parsed first. */
export function parseAddress (text: string): Address | undefined {
  const address = parseAny(text)
  return address?.port === 0 ? undefined : address
}

/** Returns true for an address to which messages and connections can be sent. */
export function isAddress (text: string): boolean {
  return parseAddress(text) !== undefined
}

/** Returns true for an address on which a process can listen; port 0 stands for any free one. */
export function isListenAddress (text: string): boolean {
  return parseAny(text) !== undefined
}
