// Main script of the binary: runs the bundle with the code that was compiled for it when the binary was built. V8 compiles
// the bundle anew if that code is of another version, of other flags or of another processor.
'use strict'
const { wrap } = require('node:module')
const { getRawAsset } = require('node:sea')
const { Script } = require('node:vm')

const source = wrap(Buffer.from(getRawAsset('bundle')).toString())
const script = new Script(source, { filename: __filename, cachedData: Buffer.from(getRawAsset('code')) })
script.runInThisContext()(exports, require, module, __filename, __dirname)
