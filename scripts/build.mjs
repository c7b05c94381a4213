// Bundles the program and injects it, with its compiled code, into a copy of the Node.js executable.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, existsSync, mkdirSync, readFileSync, readdirSync, renameSync, statSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { inject } from 'postject'

const binary = 'dist/dogwoodspring'
const bundle = 'dist/dogwoodspring.cjs'
const codeCache = 'dist/dogwoodspring.code'
const seaFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

/** Returns the newest modification time below a folder, in milliseconds. */
function newestModificationMs (folder) {
  let latest = 0
  for (const entry of readdirSync(folder, { recursive: true })) {
    latest = Math.max(latest, statSync(join(folder, entry)).mtimeMs)
  }
  return latest
}

/** Returns true if the binary is newer than its sources. */
function isUpToDate () {
  const files = ['package.json', 'scripts/launcher.cjs', 'scripts/code-cache.cjs']
  const newestMs = Math.max(newestModificationMs('src'), ...files.map((file) => statSync(file).mtimeMs))
  return existsSync(binary) && statSync(binary).mtimeMs > newestMs
}

const { version } = JSON.parse(readFileSync('package.json', 'utf8'))

/** Bundles a program with all that it imports into one file. */
async function bundleProgram (entryPoint, outfile, options = {}) {
  await build({
    ...options,
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    define: { 'process.env.DOGWOODSPRING_VERSION': JSON.stringify(version) },
    logLevel: 'warning'
  })
}

/** Leaves the module that does the work out of the bundle of a first module, which loads it from a file beside its own. */
function loadBeside (module, file) {
  return {
    name: 'load-beside',
    setup: ({ onResolve }) => onResolve({ filter: /^\.\/program\.ts$/ }, ({ path }) => path === module ? { path: file, external: true } : undefined)
  }
}

/**
 * Bundles the program of the platform as two files. The first one holds the signals and is small, because Node.js reads a file whole before it runs
 * its first statement, and a signal that arrives until then ends the process.
 */
async function bundlePlatform (folder) {
  mkdirSync(folder, { recursive: true })
  const program = 'program.cjs'
  await bundleProgram('platform/program.ts', join(folder, program), { minifyWhitespace: true, alias: { undici: './scripts/undici-entry.cjs' } })
  await bundleProgram('platform/main.ts', join(folder, 'dogwoodspring.cjs'), { plugins: [loadBeside('./program.ts', `./${program}`)], supported: { 'dynamic-import': false } })
  console.log(`built ${join(folder, 'dogwoodspring.cjs')} ${version}`)
}

const platformAt = process.argv.indexOf('--platform')
if (platformAt !== -1) {
  await bundlePlatform(process.argv[platformAt + 1] ?? 'target')
} else if (!(process.argv.includes('--if-stale') && isUpToDate())) {
  mkdirSync('dist', { recursive: true })
  await bundleProgram('src/cli/index.ts', bundle)
  execFileSync(process.execPath, ['scripts/code-cache.cjs', bundle, codeCache], { stdio: 'ignore' })
  writeFileSync('dist/sea.json', JSON.stringify({
    main: 'scripts/launcher.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true,
    assets: { bundle, code: codeCache }
  }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'ignore' })
  const partialBinary = `${binary}.partial`
  copyFileSync(process.execPath, partialBinary)
  chmodSync(partialBinary, 0o755)
  await inject(partialBinary, 'NODE_SEA_BLOB', readFileSync('dist/sea.blob'), { sentinelFuse: seaFuse })
  renameSync(partialBinary, binary)
  console.log(`built ${binary} ${version}`)
}
