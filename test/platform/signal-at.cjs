// Loaded before the program under test. Makes it signal itself at chosen places of its start, and keeps one of its listeners from opening.
const Module = require('node:module')
const { Server } = require('node:net')

/** Signals that the process gets when the program loads its first module, in this order. */
const atFirstLoad = process.env.TEST_SIGNALS_AT_FIRST_LOAD?.split(',') ?? []

/** Signals that the process gets once it listens for the first time. */
const atFirstListener = process.env.TEST_SIGNALS_AT_FIRST_LISTENER?.split(',') ?? []

/** Port whose listener opens late, and by how much in milliseconds. */
const latePort = Number(process.env.TEST_LATE_PORT)
const lateMs = Number(process.env.TEST_LATE_MS)

/** Sends signals to this process and returns only when each was delivered: the system does so before the call returns. */
function signalSelf (signals) {
  for (const signal of signals.splice(0)) process.kill(process.pid, signal)
}

const load = Module._load
Module._load = function (request, parent, ...rest) {
  if (parent?.filename?.endsWith('.cjs') && parent.filename !== __filename) signalSelf(atFirstLoad)
  return load.call(this, request, parent, ...rest)
}

const listen = Server.prototype.listen
Server.prototype.listen = function (...options) {
  this.once('listening', () => signalSelf(atFirstListener))
  const port = typeof options[0] === 'object' ? options[0].port : options[0]
  if (port !== latePort) return listen.apply(this, options)
  setTimeout(() => listen.apply(this, options), lateMs)
  return this
}
