// Exports only the part of undici that nodes and control instances use. The package's main entry also loads fetch, web sockets,
// caches and proxies, which take a third of the start time of a process.
'use strict'
const api = require('../node_modules/undici/lib/api')
const buildConnector = require('../node_modules/undici/lib/core/connect')
const Agent = require('../node_modules/undici/lib/dispatcher/agent')
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher')
const Pool = require('../node_modules/undici/lib/dispatcher/pool')

Object.assign(Dispatcher.prototype, api)

module.exports = { Agent, Pool, buildConnector }
