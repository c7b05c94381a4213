// Runs a bundle once and writes the code that V8 compiled for it, as the last step of a build.
// Usage: node [flags of the later processes] code-cache.cjs BUNDLE FILE
'use strict'
const { readFileSync, writeFileSync } = require('node:fs')
const { wrap } = require('node:module')
const { Script } = require('node:vm')

const [bundle, file] = process.argv.splice(2)
const script = new Script(wrap(readFileSync(bundle, 'utf8')), { filename: bundle })
// What the modules compile while they are loaded is in the cache only if it is made after that.
process.on('exit', () => writeFileSync(file, script.createCachedData()))
process.argv.push('--version')
script.runInThisContext()(exports, require, module, __filename, __dirname)
