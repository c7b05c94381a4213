/** Path of JSON-RPC requests on the peer listener. */
export const rpcPath = '/.dogwoodspring/rpc'

/** Header that carries the signature of a message between processes. */
export const signatureHeader = 'x-dogwoodspring-signature'

/** Largest JSON-RPC message, in bytes: room for one change of the largest configuration. */
export const maxRpcBytes = 24 * 1024 * 1024

/** Reason with which a process refuses a method that its version does not have. */
export const unknownMethodReason = 'method not found'
